#include "camphorknot/lease.hpp"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace camphorknot {
namespace {

using namespace internal;

// Fractions of the term: a failed or lost request is repeated after term / retries_per_term, and another
// holder's row is read again after term / reads_per_term.
constexpr int retries_per_term = 20;
constexpr int reads_per_term = 8;

std::string encode(const lease& state, const lease_write& write)
{
    return std::to_string(write.token) + " " + std::to_string(write.operation) + " " + state.settings.owner;
}

std::uint64_t parse_number(std::string_view& text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    if (!text.empty()) {
        text.remove_prefix(1);
    }
    return number;
}

// Schedules the next request after a random time between half of @p period and all of it, so that competing
// instances don't send at the same time.
void schedule_request(lease& state, duration period, time_point now)
{
    state.next_request_at = now + period / 2 + duration(uniform(state.random, period.count() / 2 + 1));
}

time_point renewal_time(const lease& state)
{
    return state.held->sent + state.settings.term / 2;
}

// Starts the term at the time when the write, now known to have taken effect, was sent.
void on_write_confirmed(lease& state, const lease_write& write)
{
    if (!state.held || state.held->sent < write.sent) {
        state.held = write;
    }
}

void on_row(lease& state, const table_answer& answer, time_point now)
{
    lease_view read_view;
    if (answer.row) {
        std::string_view text = answer.row->value;
        read_view.version = answer.row->version;
        read_view.token = parse_number(text);
        read_view.operation = parse_number(text);
    }
    const bool is_same_version = state.view && state.view->version == read_view.version;
    read_view.first_seen = is_same_version ? state.view->first_seen : now;
    state.view = read_view;
    const auto own = std::find_if(state.writes.begin(), state.writes.end(), [&](const lease_write& write) {
        return write.operation == read_view.operation;
    });
    if (own == state.writes.end()) {
        state.held.reset();
    } else {
        on_write_confirmed(state, *own);
    }
    if (holds(state, now)) {
        state.next_request_at = renewal_time(state);
        return;
    }
    const duration term = state.settings.term;
    const time_point free_at = read_view.version == 0 ? now : read_view.first_seen + with_drift(term);
    schedule_request(state, term / reads_per_term, now);
    if (now >= free_at) {
        state.next_request_at = now;
    }
}

void on_write(lease& state, table_status status, time_point now)
{
    const duration retry = state.settings.term / retries_per_term;
    switch (status) {
    case table_status::ok:
        on_write_confirmed(state, state.writes.back());
        // The answer doesn't contain the row's new version; only a read returns it.
        state.view.reset();
        state.next_request_at = now;
        break;
    case table_status::conflict:
    case table_status::not_found:
        state.view.reset();
        state.next_request_at = now;
        break;
    case table_status::unavailable:
        schedule_request(state, retry, now);
        break;
    case table_status::unknown:
        state.must_resolve = true;
        schedule_request(state, retry, now);
        break;
    }
}

void on_resolved(lease& state, table_status status, time_point now)
{
    if (status == table_status::ok || status == table_status::not_found) {
        state.must_resolve = false;
        if (status == table_status::ok) {
            on_write_confirmed(state, state.writes.back());
        }
        // A write that was not found may still take effect later; the operation id in the row then shows it.
        state.view.reset();
        state.next_request_at = now;
        return;
    }
    schedule_request(state, state.settings.term / retries_per_term, now);
}

bool is_free(const lease& state, time_point now)
{
    return state.view->version == 0 || now >= state.view->first_seen + with_drift(state.settings.term);
}

table_transaction make_write(lease& state, time_point now)
{
    lease_write write;
    write.operation = state.random();
    // A holder whose term ended uses a new token, since it may have been idle past the end of the term.
    write.token = holds(state, now) ? state.held->token : state.view->token + 1;
    write.sent = now;
    std::erase_if(state.writes, [&](const lease_write& old) { return now - old.sent > state.settings.term; });
    state.writes.push_back(write);
    return {write.operation,
            {{state.settings.row, state.view->version}},
            {{state.settings.row, encode(state, write)}}};
}

} // namespace

lease make_lease(const lease_settings& settings, time_point now)
{
    lease state;
    state.settings = settings;
    state.random.state = mix_hash(settings.seed, hash_name(settings.owner));
    state.next_request_at = now;
    return state;
}

lease_request tick(lease& state, time_point now)
{
    lease_request request;
    if (state.under_way != lease_step::none || now < state.next_request_at) {
        return request;
    }
    if (state.must_resolve) {
        state.under_way = lease_step::resolving;
        request.resolve = operation_read{state.writes.back().operation};
    } else if (state.view && (holds(state, now) || is_free(state, now))) {
        state.under_way = lease_step::writing;
        request.transaction = make_write(state, now);
    } else {
        state.under_way = lease_step::reading;
        request.read = table_read{state.settings.row};
    }
    return request;
}

void on_table_answer(lease& state, const table_answer& answer, time_point now)
{
    const lease_step step = state.under_way;
    state.under_way = lease_step::none;
    switch (step) {
    case lease_step::reading:
        if (answer.status == table_status::ok || answer.status == table_status::not_found) {
            on_row(state, answer, now);
        } else {
            schedule_request(state, state.settings.term / retries_per_term, now);
        }
        break;
    case lease_step::writing:
        on_write(state, answer.status, now);
        break;
    case lease_step::resolving:
        on_resolved(state, answer.status, now);
        break;
    case lease_step::none:
        break;
    }
}

std::optional<std::uint64_t> holds(const lease& state, time_point now)
{
    if (!state.held || now >= state.held->sent + state.settings.term - state.settings.margin) {
        return std::nullopt;
    }
    return state.held->token;
}

} // namespace camphorknot
