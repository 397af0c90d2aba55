#include "camphorknot/daemon/traffic_server.hpp"

namespace camphorknot {

traffic_decisions bind_decisions(const std::shared_ptr<traffic_state>& shared,
                                 const std::function<std::shared_ptr<const traffic_snapshot>()>& current)
{
    traffic_decisions decisions;
    decisions.admit = [=](const request_head& head, time_point now) {
        return admit(*shared, *current(), head, now);
    };
    decisions.begin_attempt = [=](const admitted_request& request, std::span<const target_id> tried_targets,
                                  time_point now) {
        return begin_attempt(*shared, *current(), request, tried_targets, now);
    };
    decisions.end_attempt = [=](admitted_request& request, const attempt_report& report, time_point now) {
        return end_attempt(*shared, *current(), request, report, now);
    };
    decisions.end_request = [=](const admitted_request& request, outcome ended, std::uint16_t status,
                                std::string_view body,
                                time_point now) { end_request(*shared, request, ended, status, body, now); };
    decisions.abort_reason = [=](const admitted_request& request, time_point now) {
        return abort_reason(*current(), request, now);
    };
    decisions.report_silent_connection = [=](target_id target, std::uint64_t generation, bool works) {
        report_silent_connection(*shared, target, generation, works);
    };
    decisions.look_up = [=](std::string_view service, std::string_view route, std::uint32_t client,
                            const std::optional<key_hash>& key, time_point now) {
        return look_up(*shared, *current(), service, route, client, key, now);
    };
    return decisions;
}

} // namespace camphorknot
