#include <algorithm>

#include "camphorknot/node/views.hpp"

namespace camphorknot {
namespace {

constexpr std::int64_t one_request = 1000; ///< Budgets count thousandths.
constexpr duration authority_retry_after = std::chrono::seconds(1);
constexpr duration configuration_retry_after = std::chrono::seconds(1);

admission_answer refuse(refusal_reason reason, duration retry_after = {})
{
    return {std::nullopt, {reason, outcome::not_run, retry_after}, std::nullopt};
}

const route_view* match_route(const traffic_snapshot& view, std::string_view method, std::string_view path)
{
    const std::string_view bare = path.substr(0, path.find('?'));
    const auto matches = [&](const route_view& route) {
        return route.object.method == method && bare.starts_with(route.object.path_prefix);
    };
    const auto found = std::ranges::find_if(view.configured->routes, matches);
    return found == view.configured->routes.end() ? nullptr : &*found;
}

duration allowed_time(const route_view& route, const request_head& head)
{
    const duration limit = std::chrono::milliseconds(route.object.timeout_ms);
    return head.caller_deadline > duration::zero() ? std::min(limit, head.caller_deadline) : limit;
}

admitted_request make_request(const route_view& route, const request_head& head, time_point now)
{
    admitted_request request;
    request.service = route.service;
    request.route = route.route;
    request.idempotent = route.object.idempotent;
    request.can_wait = route.object.can_wait;
    request.timeout = allowed_time(route, head);
    request.deadline = now + request.timeout;
    request.body_limit_kb = route.object.body_limit_kb;
    request.body_kb = head.body_kb;
    if (!head.version_seen.empty()) {
        request.min_version = make_id<version_id>(head.version_seen);
    }
    return request;
}

// Finds the customer, or the reason why the key does not open the route.
refusal_reason check_key(const traffic_snapshot& view, const request_head& head, admitted_request& request)
{
    if (!head.key) {
        return refusal_reason::key_missing;
    }
    const key_answer answer = find_customer(view.keys, *head.key);
    if (answer.status != key_status::valid) {
        return answer.status == key_status::revoked ? refusal_reason::key_revoked
                                                    : refusal_reason::key_unknown;
    }
    const auto customer = view.configured->customers.find(answer.customer);
    if (customer == view.configured->customers.end()) {
        return refusal_reason::key_unknown;
    }
    request.customer = customer->second.name;
    request.customer_identifier = answer.customer;
    request.key = head.key;
    return refusal_reason::none;
}

// Begins the ticket's operation; an answer with a reason or with an earlier run ends the admission.
std::optional<admission_answer> check_ticket(traffic_state& shared, const request_head& head,
                                             admitted_request& request, time_point now)
{
    if (head.ticket.empty()) {
        return refuse(refusal_reason::ticket_missing);
    }
    const auto parsed = parse_ticket(head.ticket);
    if (!parsed || !head.ticket_mac_valid) {
        return refuse(refusal_reason::ticket_invalid);
    }
    const std::lock_guard lock(shared.operations_mutex);
    operation_begin begin =
        begin_operation(shared.operations, parsed->value, request.customer_identifier, request.route, now);
    if (begin.step == operation_step::run) {
        request.presented_ticket = parsed->value;
        return std::nullopt;
    }
    if (begin.step == operation_step::refused) {
        return admission_answer{std::nullopt, begin.why, std::nullopt};
    }
    request.presented_ticket = parsed->value;
    return admission_answer{request, {}, std::move(begin)};
}

// An operation that was begun but not run may be begun again.
void release_ticket(traffic_state& shared, const admitted_request& request, time_point now)
{
    if (request.presented_ticket) {
        const std::lock_guard lock(shared.operations_mutex);
        finish_operation(shared.operations, *request.presented_ticket, outcome::not_run, 0, {}, now);
    }
}

admission take_rate(const traffic_snapshot& view, const admitted_request& request, time_point now)
{
    const auto& account = view.configured->customers.at(request.customer_identifier).account;
    return account ? try_take(*account, one_request, now) : admission{};
}

void choose_rollout_version(traffic_state& shared, const traffic_snapshot& view, const route_view& route,
                            admitted_request& request, time_point now)
{
    const std::lock_guard lock(shared.rollout_mutex);
    request.version = choose_version(shared.rollout, view.configured->services[route.service_index], now);
}

} // namespace

admission_answer admit(traffic_state& shared, const traffic_snapshot& view, const request_head& head,
                       time_point now)
{
    if (!view.trusted) {
        return refuse(refusal_reason::configuration_missing, configuration_retry_after);
    }
    const route_view* route = match_route(view, head.method, head.path);
    if (route == nullptr) {
        return refuse(refusal_reason::route_unknown);
    }
    admitted_request request = make_request(*route, head, now);
    if (head.body_kb > static_cast<std::uint64_t>(request.body_limit_kb)) {
        return refuse(refusal_reason::body_too_large);
    }
    if (!route->object.open) {
        if (const refusal_reason reason = check_key(view, head, request); reason != refusal_reason::none) {
            return refuse(reason);
        }
        if (!has_authority(shared, now)) {
            return refuse(refusal_reason::authority_lost, authority_retry_after);
        }
    }
    if (!request.idempotent) {
        if (auto ended = check_ticket(shared, head, request, now)) {
            return std::move(*ended);
        }
    }
    if (!route->object.open) {
        if (const admission rate = take_rate(view, request, now); !rate.admitted) {
            release_ticket(shared, request, now);
            return refuse(refusal_reason::rate_exceeded, rate.retry_after);
        }
    }
    choose_rollout_version(shared, view, *route, request, now);
    return {std::move(request), {}, std::nullopt};
}

void end_request(traffic_state& shared, const admitted_request& request, outcome ended, std::uint16_t status,
                 std::string_view body, time_point now)
{
    if (request.presented_ticket) {
        const std::lock_guard lock(shared.operations_mutex);
        finish_operation(shared.operations, *request.presented_ticket, ended, status, body, now);
    }
}

refusal_reason abort_reason(const traffic_snapshot& view, const admitted_request& request, time_point)
{
    if (!request.key) {
        return refusal_reason::none;
    }
    const bool revoked = find_customer(view.keys, *request.key).status == key_status::revoked;
    return revoked ? refusal_reason::key_revoked : refusal_reason::none;
}

} // namespace camphorknot
