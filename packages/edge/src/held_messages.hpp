// The bodies that the traffic thread holds, and the connections that are ended to make room for others.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>

#include "camphorknot/kernel.hpp"
#include "camphorknot/steering.hpp"

namespace camphorknot::edge {

/// Metrics; null until they are registered.
struct held_message_metrics {
    std::atomic<std::int64_t>* held_bytes = nullptr;
    std::atomic<std::uint64_t>* refused_at_head = nullptr; ///< No room for the declared length.
    std::atomic<std::uint64_t>* refused_growth = nullptr;  ///< No room for a further piece.
    std::atomic<std::uint64_t>* given_up = nullptr;        ///< Without progress, for another message.
    std::atomic<std::uint64_t>* dropped_answers = nullptr;
};

struct held_messages {
    steering::message_memory ledger;
    std::map<std::uint64_t, std::function<void()>> cancel_reads; ///< By id; of the requests being read.
    held_message_metrics metrics;
};

void register_metrics(held_messages& held, metrics& registry);

/// The reservation of one message; removed with the last copy of the handle. @p held must outlive it.
struct message_hold {
    message_hold(held_messages& owner, std::uint64_t message) : held(owner), id(message) {}
    ~message_hold();
    message_hold(const message_hold&) = delete;
    message_hold& operator=(const message_hold&) = delete;
    message_hold(message_hold&&) = delete;
    message_hold& operator=(message_hold&&) = delete;

    held_messages& held;
    std::uint64_t id;
};
using message_hold_handle = std::shared_ptr<message_hold>;

/// Adds a message without any bytes.
/// @param now time of the start, from which the time without progress counts; of no use for answers.
/// @param cancel_read called if the message is given up for another one; null for messages that are complete.
message_hold_handle hold_message(held_messages& held, steering::message_kind kind, time_point now,
                                 std::function<void()> cancel_read);

/// Reserves @p bytes in total. Ends the reads of the messages that are given up for it.
/// @return whether there is room.
bool reserve(const message_hold& hold, std::size_t bytes);

/// @param received_bytes of the body so far.
void record_progress(const message_hold& hold, std::size_t received_bytes);

/// The message has been read to its end.
void complete(const message_hold& hold);

/// @return whether the message was given up for another one.
bool is_given_up(const message_hold& hold);

} // namespace camphorknot::edge
