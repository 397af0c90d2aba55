#include "held_messages.hpp"

namespace camphorknot::edge {
namespace {

void show_held_bytes(const held_messages& held)
{
    if (held.metrics.held_bytes != nullptr) {
        const std::size_t bytes =
            held.ledger.ordinary_bytes + held.ledger.small_bytes + held.ledger.large_bytes;
        held.metrics.held_bytes->store(static_cast<std::int64_t>(bytes), std::memory_order_relaxed);
    }
}

void cancel_read(held_messages& held, std::uint64_t id)
{
    const auto found = held.cancel_reads.find(id);
    if (found != held.cancel_reads.end()) {
        found->second();
    }
}

} // namespace

void register_metrics(held_messages& held, metrics& registry)
{
    const auto refused = [&](const std::string& reason) {
        return &counter(registry, "camphorknot_refused_bodies_total", "reason=\"" + reason + "\"");
    };
    held.metrics.held_bytes = &gauge(registry, "camphorknot_held_message_bytes", "");
    held.metrics.refused_at_head = refused("no_room");
    held.metrics.refused_growth = refused("no_room_to_grow");
    held.metrics.given_up = refused("no_progress");
    held.metrics.dropped_answers = refused("answer");
}

message_hold::~message_hold()
{
    steering::remove_message(held.ledger, id);
    held.cancel_reads.erase(id);
    show_held_bytes(held);
}

message_hold_handle hold_message(held_messages& held, steering::message_kind kind, time_point now,
                                 std::function<void()> cancel_read)
{
    const std::uint64_t id = steering::add_message(held.ledger, kind, now);
    if (cancel_read != nullptr) {
        held.cancel_reads.emplace(id, std::move(cancel_read));
    }
    return std::make_shared<message_hold>(held, id);
}

bool reserve(const message_hold& hold, std::size_t bytes)
{
    held_messages& held = hold.held;
    bool granted = steering::resize_in_free_room(held.ledger, hold.id, bytes);
    if (!granted) {
        const steering::room_decision decision =
            steering::resize_message(held.ledger, hold.id, bytes, boot_now());
        for (const std::uint64_t id : decision.given_up) {
            cancel_read(held, id);
        }
        granted = decision.granted;
    }
    show_held_bytes(held);
    return granted;
}

void record_progress(const message_hold& hold, std::size_t received_bytes)
{
    if (received_bytes >= hold.held.ledger.budget.progress_bytes) { // Less is none.
        steering::record_progress(hold.held.ledger, hold.id, received_bytes, boot_now());
    }
}

void complete(const message_hold& hold)
{
    steering::complete_message(hold.held.ledger, hold.id);
    hold.held.cancel_reads.erase(hold.id);
}

bool is_given_up(const message_hold& hold)
{
    return steering::is_given_up(hold.held.ledger, hold.id);
}

} // namespace camphorknot::edge
