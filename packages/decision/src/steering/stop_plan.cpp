#include "camphorknot/steering/stop_plan.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

// The process may receive the signal late, and needs time to end.
constexpr duration max_answer_margin = std::chrono::milliseconds(500);
// Part of the stop time for the answers that are written at the end, if the stop time is short.
constexpr double answer_margin_fraction = 0.125;
// Time to end the threads, as a part of the margin for the answers.
constexpr double end_margin_fraction = 0.4;
// Requests that come later than this fraction of the stop time might have to be broken off at the end.
constexpr double taking_fraction = 0.5;
// By then callers have received other addresses from the directory.
constexpr duration max_taking_time = std::chrono::milliseconds(3000);
// Callers use an answer of the directory until it expires.
constexpr double accepting_fraction = 0.6;
// Idle connections stay open until the directory's answers with the instance's address have expired.
constexpr duration max_idle_time = std::chrono::milliseconds(2500);
constexpr double idle_fraction = 0.45;
// Service times vary: a request that must not run twice needs the larger reserve.
constexpr double reserve_repeatable = 1.25;
constexpr double reserve_once = 1.6;
// Differences of the network and of scheduling, which matter to fast services.
constexpr duration tolerance = std::chrono::milliseconds(100);
constexpr duration retention = std::chrono::minutes(1);

duration scaled(duration time, double factor)
{
    return duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

stop_plan make_stop_plan(time_point began_at, duration stop_time)
{
    const duration margin = std::min(max_answer_margin, scaled(stop_time, answer_margin_fraction));
    stop_plan plan;
    plan.began_at = began_at;
    plan.take_until = began_at + std::min(max_taking_time, scaled(stop_time, taking_fraction));
    plan.close_idle_at = began_at + std::min(max_idle_time, scaled(stop_time, idle_fraction));
    plan.accept_until = began_at + scaled(stop_time, accepting_fraction);
    plan.answer_by = began_at + stop_time - margin;
    plan.end_at = began_at + stop_time - scaled(margin, end_margin_fraction);
    return plan;
}

void on_service_time(longest_answer& known, duration service_time, time_point now)
{
    if (service_time >= known.longest || now - known.at > retention) {
        known = {service_time, now};
    }
}

time_point latest_send(const stop_plan& plan, const stop_send& send)
{
    if (send.deadline <= plan.answer_by) {
        return send.deadline;
    }
    if (send.on_route.longest == duration{}) {
        const duration needed = std::max(plan.answer_by - plan.take_until, send.expected + send.queue_wait);
        return plan.answer_by - needed;
    }
    const duration usual = std::max(send.on_route.longest, send.expected) + send.queue_wait;
    const double reserve = send.may_repeat ? reserve_repeatable : reserve_once;
    return plan.answer_by - scaled(usual, reserve) - tolerance;
}

} // namespace camphorknot::steering
