#include "status_json.hpp"

#include <charconv>

namespace camphorknot::daemon_internal {
namespace {

using nlohmann::json;

std::string_view label_of(change_status status)
{
    constexpr std::array<std::string_view, 6> names = {"pending", "accepted",          "version_conflict",
                                                       "invalid", "store_unavailable", "authority_lost"};
    return names.at(static_cast<std::size_t>(status));
}

std::string_view label_of(member_state state)
{
    constexpr std::array<std::string_view, 5> names = {"alive", "suspect", "leaving", "fenced", "left"};
    return names.at(static_cast<std::size_t>(state));
}

std::string_view label_of(move_stage stage)
{
    constexpr std::array<std::string_view, 5> names = {"waiting", "running", "soaking", "done",
                                                       "rolled_back"};
    return names.at(static_cast<std::size_t>(stage));
}

std::string_view label_of(move_reason reason)
{
    constexpr std::array<std::string_view, 7> names = {"none",           "version_failing",  "version_slow",
                                                       "deadline",       "operator_request", "targets_idle",
                                                       "cut_at_deadline"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view label_of(move_kind kind)
{
    constexpr std::array<std::string_view, 3> names = {"drain", "rollout", "withdrawal"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string string_field(const json& body, const char* field)
{
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool read_hash(const std::string& text, key_hash& hash)
{
    if (text.size() != hash.size() * 2) {
        return false;
    }
    for (std::size_t index = 0; index < hash.size(); ++index) {
        const char* digits = text.data() + 2 * index;
        const auto parsed = std::from_chars(digits, digits + 2, hash.at(index), 16);
        if (parsed.ec != std::errc{} || parsed.ptr != digits + 2) {
            return false;
        }
    }
    return true;
}

} // namespace

json to_json(const change_progress& progress)
{
    json body{{"status", label_of(progress.status)},
              {"version", progress.version},
              {"lagging_instances", progress.lagging_instances},
              {"problems", json::array()}};
    for (const change_problem& problem : progress.problems) {
        body["problems"].push_back({{"error", name_of(problem.error)},
                                    {"kind", name_of(problem.object.kind)},
                                    {"name", problem.object.name},
                                    {"field", problem.field},
                                    {"seen", problem.seen},
                                    {"allowed", problem.allowed}});
    }
    return body;
}

json to_json(const node_status& status)
{
    json body{{"authority", status.authority},
              {"configuration_trusted", status.configuration_trusted},
              {"store_reachable", status.store_reachable},
              {"configuration_version", status.configuration_version},
              {"members", json::array()}};
    for (const member_record& member : status.members) {
        body["members"].push_back({{"peer_address", member.peer_address},
                                   {"traffic_address", member.traffic_address},
                                   {"incarnation", member.number},
                                   {"state", label_of(member.state)},
                                   {"configuration_version", member.configuration_version},
                                   {"has_authority", member.has_authority}});
    }
    return body;
}

json moves_json(const node_status& status)
{
    json body{{"moves", json::array()}};
    for (const auto& [move, state] : status.moves) {
        body["moves"].push_back({{"name", move.name},
                                 {"kind", label_of(move.kind)},
                                 {"service", move.service},
                                 {"version", move.version},
                                 {"deadline", move.deadline},
                                 {"stage", label_of(state.stage)},
                                 {"share_percent", state.share_percent},
                                 {"reason", label_of(state.reason)}});
    }
    return body;
}

json to_json(const std::vector<inability>& list, time_point now)
{
    json body{{"cannot", json::array()}};
    for (const inability& entry : list) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.since).count();
        body["cannot"].push_back({{"what", entry.what}, {"since_ms_ago", age}});
    }
    return body;
}

std::optional<fact> read_fact(std::string_view text)
{
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return std::nullopt;
    }
    const std::string kind = string_field(body, "kind");
    const std::string target = string_field(body, "target");
    const std::string instance = string_field(body, "instance");
    const std::string service = string_field(body, "service");
    const std::string version = string_field(body, "version");
    fact value;
    if (kind == "key_revoked" && read_hash(string_field(body, "key_hash"), value.key)) {
        value.kind = fact_kind::key_revoked;
        return value;
    }
    if (kind == "version_stopped" && !service.empty() && !version.empty()) {
        value.kind = fact_kind::version_stopped;
        value.subject = make_id<version_id>(version).value;
        value.detail = make_id<service_id>(service).value;
        return value;
    }
    if (kind == "target_leaving" && !target.empty()) {
        value.kind = fact_kind::target_leaving;
        value.subject = make_id<target_id>(target).value;
        return value;
    }
    if (kind == "instance_leaving" && !instance.empty()) {
        value.kind = fact_kind::instance_leaving;
        value.subject = make_id<instance_id>(instance).value;
        return value;
    }
    return std::nullopt;
}

} // namespace camphorknot::daemon_internal
