#include <algorithm>
#include <utility>

#include "camphorknot/operations.hpp"

namespace camphorknot {
namespace {

using internal::operation_key;
using internal::operation_record;
using internal::operation_state;

// A ticket is accepted in its own epoch and this many after it.
constexpr std::uint64_t accepted_epochs = 2;

// Counted from the first presentation. A ticket of epoch e is first presented in e or later and accepted
// until the end of e + 2, so its record outlives its acceptance by at least the longest request.
duration record_lifetime(const operation_settings& settings)
{
    return (accepted_epochs + 1) * settings.epoch_length + settings.max_request_duration;
}

operation_key key_of(const ticket& presented)
{
    return {presented.epoch, presented.sequence, presented.customer, presented.route};
}

operation_begin refuse(refusal_reason reason, outcome run, duration retry_after = {})
{
    operation_begin begin;
    begin.why = {reason, run, retry_after};
    return begin;
}

// Whether a record of a ticket of the epoch may have been dropped by now.
bool record_may_be_gone(const operation_ledger& ledger, std::uint64_t epoch, time_point now)
{
    const auto epoch_start = ledger.started + (epoch - 1) * ledger.settings.epoch_length;
    return now >= epoch_start + record_lifetime(ledger.settings);
}

outcome outcome_of(const operation_ledger& ledger, const ticket& presented, const operation_record* record,
                   time_point now)
{
    if (record != nullptr) {
        return record->state == operation_state::not_run ? outcome::not_run : outcome::unknown;
    }
    return record_may_be_gone(ledger, presented.epoch, now) ? outcome::unknown : outcome::not_run;
}

operation_begin answer_from(const operation_record& record)
{
    operation_begin begin;
    begin.step = record.state == operation_state::running ? operation_step::join : operation_step::repeat;
    begin.ended = record.state == operation_state::ran ? outcome::ran : outcome::unknown;
    begin.answer_status = record.answer_status;
    begin.answer_body = record.answer_body;
    begin.body_complete = record.body_complete;
    return begin;
}

operation_begin run()
{
    operation_begin begin;
    begin.step = operation_step::run;
    return begin;
}

void record_body(operation_ledger& ledger, operation_record& record, std::string_view body)
{
    const std::size_t room = ledger.settings.body_memory_limit - ledger.body_bytes;
    const std::size_t kept = body.size() <= room ? std::min(body.size(), ledger.settings.body_limit) : 0;
    record.answer_body = body.substr(0, kept);
    record.body_complete = kept == body.size();
    ledger.body_bytes += kept;
}

void drop_record(operation_ledger& ledger, const operation_key& key)
{
    const auto found = ledger.records.find(key);
    ledger.body_bytes -= found->second.answer_body.size();
    ledger.records.erase(found);
}

// Refuses a ticket of another instance or process, or one that was never issued for this process.
std::optional<operation_begin> refuse_foreign(const operation_ledger& ledger, const ticket& presented,
                                              std::uint64_t epoch)
{
    if (presented.instance != ledger.settings.self) {
        return refuse(refusal_reason::ticket_of_other_instance, outcome::unknown);
    }
    if (presented.process_nonce != ledger.settings.process_nonce) {
        return refuse(refusal_reason::outcome_unknown, outcome::unknown);
    }
    if (presented.epoch == 0 || presented.epoch > epoch) {
        return refuse(refusal_reason::ticket_invalid, outcome::not_run);
    }
    return std::nullopt;
}

operation_begin run_first_time(operation_ledger& ledger, const ticket& presented, time_point now)
{
    check_invariant(!record_may_be_gone(ledger, presented.epoch, now), promise::p8_at_most_once,
                    "accepted_ticket_has_record_time");
    if (ledger.records.size() >= ledger.settings.record_limit) {
        return refuse(refusal_reason::instance_busy, outcome::not_run, ledger.settings.epoch_length);
    }
    ledger.records.emplace(key_of(presented), operation_record{});
    ledger.expiries.push_back({now + record_lifetime(ledger.settings), key_of(presented)});
    return run();
}

} // namespace

operation_ledger make_operation_ledger(const operation_settings& settings, time_point now)
{
    operation_ledger ledger;
    ledger.settings = settings;
    ledger.started = now;
    return ledger;
}

std::uint64_t current_epoch(const operation_ledger& ledger, time_point now)
{
    // Starts at 1, so that 0 in a member record means that its epoch is not known.
    return 1 + static_cast<std::uint64_t>((now - ledger.started) / ledger.settings.epoch_length);
}

ticket issue_ticket(operation_ledger& issuer, instance_id executing, std::uint64_t process_nonce,
                    std::uint64_t epoch, customer_id customer, route_id route)
{
    // mix_hash is one-to-one in its second argument, so no sequence repeats within a process.
    const std::uint64_t sequence = mix_hash(issuer.settings.process_nonce, issuer.issued++);
    return {executing, process_nonce, epoch, sequence, customer, route};
}

operation_begin begin_operation(operation_ledger& ledger, const ticket& presented, customer_id customer,
                                route_id route, time_point now)
{
    const std::uint64_t epoch = current_epoch(ledger, now);
    if (const auto refused = refuse_foreign(ledger, presented, epoch)) {
        return *refused;
    }
    const auto found = ledger.records.find(key_of(presented));
    operation_record* record = found == ledger.records.end() ? nullptr : &found->second;
    if (presented.customer != customer || presented.route != route) {
        return refuse(refusal_reason::ticket_invalid, outcome_of(ledger, presented, record, now));
    }
    if (record != nullptr && record->state != operation_state::not_run) {
        return answer_from(*record);
    }
    if (presented.epoch + accepted_epochs < epoch) {
        return refuse(refusal_reason::ticket_expired, outcome_of(ledger, presented, record, now));
    }
    if (record != nullptr) {
        record->state = operation_state::running;
        return run();
    }
    return run_first_time(ledger, presented, now);
}

void finish_operation(operation_ledger& ledger, const ticket& presented, outcome ended,
                      std::uint16_t answer_status, std::string_view answer_body, time_point now)
{
    static_cast<void>(now);
    const auto found = ledger.records.find(key_of(presented));
    const bool was_running = found != ledger.records.end() && found->second.state == operation_state::running;
    check_invariant(was_running, promise::p8_at_most_once, "finished_operation_was_running");
    if (!was_running) {
        return;
    }
    operation_record& record = found->second;
    switch (ended) {
    case outcome::not_run:
        record.state = operation_state::not_run;
        break;
    case outcome::ran:
        record.state = operation_state::ran;
        record.answer_status = answer_status;
        record_body(ledger, record, answer_body);
        break;
    case outcome::unknown:
        record.state = operation_state::unknown;
        break;
    }
}

void tick(operation_ledger& ledger, time_point now)
{
    while (!ledger.expiries.empty() && ledger.expiries.front().due <= now) {
        const operation_key key = ledger.expiries.front().key;
        ledger.expiries.pop_front();
        if (ledger.records.at(key).state == operation_state::running) {
            // It runs longer than any request should; its record must not go before it has ended.
            ledger.expiries.push_back({now + record_lifetime(ledger.settings), key});
        } else {
            drop_record(ledger, key);
        }
    }
}

} // namespace camphorknot
