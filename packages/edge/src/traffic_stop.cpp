// The graceful stop: which requests are still sent, and the answers to those in progress at its end.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "relay.hpp"

namespace camphorknot::edge {

namespace asio = boost::asio;

namespace {

// The answers at the end are written within a fraction of a second.
constexpr duration stop_check_period = std::chrono::milliseconds(20);

steering::longest_answer find_longest_answer(const traffic_state& state, const std::string& service,
                                             const std::string& route)
{
    const auto known = state.longest_answers.find({service, route});
    return known == state.longest_answers.end() ? steering::longest_answer{} : known->second;
}

// For a request whose service is not chosen yet: the time of the service that allows the most.
time_point latest_send_on_route(const traffic_state& state, const caller_request& request,
                                const steering::route& route)
{
    time_point latest = time_point::min();
    for (const auto& weighted : route.services) {
        steering::stop_send send;
        send.deadline = find_deadline(request, route);
        send.may_repeat = route.repeats == steering::repeat_policy::idempotent;
        send.on_route = find_longest_answer(state, weighted.service, route.name);
        latest = std::max(latest, steering::latest_send(*state.stop, send));
    }
    return latest;
}

void refuse_incoming(traffic_state& state, time_point now)
{
    for (incoming_request& incoming : state.incoming) {
        if (is_refused_by_stop(state, incoming, now)) {
            incoming.is_refused = true;
            incoming.cancel();
        }
    }
}

void wake_all_waiters(traffic_state& state)
{
    for (const auto& [service, queue] : state.queues) {
        wake_waiters(state, service, queue.waiters.size());
    }
}

// Requests that wait are refused, and those at targets are answered with a timeout. Repeated until all are
// answered, since an exchange that is between two reads is not ended at once.
void end_requests(traffic_state& state)
{
    for (const auto& [id, request] : state.active_requests) {
        if (request->active_exchange != nullptr) {
            end_at_stop(*request->active_exchange);
        }
    }
    for (const auto& [id, pending] : state.pending_tokens) {
        pending->timeout.cancel();
    }
    wake_all_waiters(state);
}

void check_stop(traffic_state& state, time_point now)
{
    const steering::stop_plan& stop = *state.stop;
    const bool is_idle = state.unfinished_requests == 0 && now >= stop.take_until;
    if (is_idle || now >= stop.accept_until) {
        accept_last_sessions(state, state.acceptor, session_kind::caller);
        accept_last_sessions(state, state.relay_acceptor, session_kind::peer);
    }
    refuse_incoming(state, now);
    if (now >= stop.answer_by) {
        end_requests(state);
    }
    // An open connection may hold a request that has not been read: it is closed by its own session.
    const std::size_t open_connections = state.sessions.table.connections.size();
    const bool is_listening = state.acceptor.is_open() || state.relay_acceptor.is_open();
    const bool is_done = !is_listening && open_connections == 0;
    if ((is_done || now >= stop.end_at) && state.on_stopped) {
        log_event(log_severity::info, "traffic_stopped",
                  {{"running", std::to_string(state.running_requests)},
                   {"unfinished", std::to_string(state.unfinished_requests)},
                   {"connections", std::to_string(open_connections)}});
        state.on_stopped();
        state.on_stopped = nullptr;
    }
}

void schedule_stop_check(traffic_state& state)
{
    state.stop_ticker.expires_after(stop_check_period);
    state.stop_ticker.async_wait([&state](boost::system::error_code cancelled) {
        if (!cancelled) {
            schedule_stop_check(state); // An exception in the check does not end the stop.
            check_stop(state, boot_now());
        }
    });
}

} // namespace

bool is_taken(const traffic_state& state, const caller_request& request)
{
    return !state.stop || request.arrived_at <= state.stop->take_until;
}

time_point find_latest_send(const traffic_state& state, const request_plan& plan,
                            const steering::placement* placement)
{
    if (!state.stop) {
        return time_point::max();
    }
    steering::stop_send send;
    send.deadline = plan.deadline;
    send.may_repeat = plan.route->repeats == steering::repeat_policy::idempotent;
    send.on_route = find_longest_answer(state, plan.service, plan.route->name);
    if (placement != nullptr && placement->chosen != nullptr) {
        send.queue_wait = placement->expected_wait;
        const bool is_miss = plan.object && !placement->expected_warm;
        send.expected = is_miss ? placement->expected_service : duration{};
    }
    return steering::latest_send(*state.stop, send);
}

platform::http_response refuse_stopping(traffic_state& state, const caller_request& request)
{
    const duration left = state.stop ? state.stop->answer_by - boot_now() : duration{};
    return refuse(state, request, unavailable, "stopping", jittered_pause(state, short_retry_after),
                  {{"left_ms", to_ms(left)}});
}

bool is_refused_by_stop(const traffic_state& state, const incoming_request& incoming, time_point now)
{
    if (!state.stop) {
        return false;
    }
    if (now >= state.stop->answer_by) {
        return true;
    }
    if (!incoming.target) {
        return false;
    }
    if (!is_taken(state, *incoming.request)) {
        return true;
    }
    const steering::route* route =
        state.view.routes == nullptr
            ? nullptr
            : steering::find_route(*state.view.routes, incoming.request->metadata.host, *incoming.target);
    return route != nullptr && now > latest_send_on_route(state, *incoming.request, *route);
}

void post_stop(traffic_state& state)
{
    asio::post(state.context, [&state] {
        if (state.stop) {
            return;
        }
        state.stop = steering::make_stop_plan(boot_now(), state.settings.bounds.stop_time);
        wake_all_waiters(state);
        schedule_stop_check(state);
    });
}

} // namespace camphorknot::edge
