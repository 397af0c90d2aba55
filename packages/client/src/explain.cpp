#include "camphorknot/client/explain.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace camphorknot::client {
namespace {

using nlohmann::json;

// Events that change an instance's state of one target, and those that change its state of anything else.
constexpr std::array<std::string_view, 6> target_events = {"target_seen",  "target_gone", "target_leaving",
                                                           "target_quiet", "limit_named", "limit_lifted"};
constexpr std::array<std::string_view, 11> state_events = {
    "targets_unreachable", "targets_reached", "configuration_applied", "store_lost",    "store_regained",
    "instance_away",       "instance_heard",  "evacuation_ordered",    "rollout_moved", "evacuation_ended",
    "stop_began"};
constexpr std::array<std::string_view, 4> dependency_events = {"store_lost", "instance_away",
                                                               "peer_link_down", "log_lines_dropped"};

template <std::size_t Size>
bool is_one_of(const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

std::string field(const log_line& line, const std::string& name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

std::uint64_t number_in(const log_line& line, const std::string& name)
{
    const std::string text = field(line, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<log_line> decode_line(const std::string& text, const std::string& instance)
{
    const json decoded = json::parse(text, nullptr, false);
    if (!decoded.is_object() || !decoded.contains("time") || !decoded.contains("event")) {
        return std::nullopt;
    }
    log_line line;
    line.instance = instance;
    for (const auto& [name, value] : decoded.items()) {
        const std::string content = value.is_string() ? value.get<std::string>() : value.dump();
        if (name == "time") {
            line.time = content;
        } else if (name == "event") {
            line.event = content;
        } else {
            line.fields[name] = content;
        }
    }
    return line;
}

// The state of the instance at the time of @p decision: the latest line up to then about each subject (the
// target, the store, an instance, ...).
std::vector<log_line> find_state_before(std::span<const log_line> lines, const log_line& decision,
                                        std::string_view target)
{
    std::map<std::string, const log_line*> latest_by_subject;
    for (const log_line& line : lines) {
        if (line.instance != decision.instance || line.time > decision.time) {
            continue;
        }
        const bool is_target_line = is_one_of(target_events, line.event) && field(line, "target") == target;
        if (!is_target_line && !is_one_of(state_events, line.event)) {
            continue;
        }
        // Events such as store_lost and store_regained describe the same subject.
        std::string subject = line.event;
        if (is_target_line) {
            subject = "target";
        } else if (line.event.starts_with("store_")) {
            subject = "store";
        } else if (line.event.starts_with("targets_")) {
            subject = "targets of " + field(line, "service");
        } else if (line.event.starts_with("instance_")) {
            subject = "instance " + field(line, "instance");
        }
        const log_line*& latest = latest_by_subject[subject];
        if (latest == nullptr || latest->time <= line.time) {
            latest = &line;
        }
    }
    std::vector<log_line> state_lines;
    state_lines.reserve(latest_by_subject.size());
    for (const auto& [subject, line] : latest_by_subject) {
        state_lines.push_back(*line);
    }
    return state_lines;
}

// The ends of targets, at any instance, for which the request was condemned.
std::vector<log_line> find_condemning_ends(std::span<const log_line> lines, const log_line& refusal)
{
    std::vector<log_line> ends;
    const std::string identity = field(refusal, "identity");
    std::ranges::copy_if(lines, std::back_inserter(ends), [&](const log_line& line) {
        return line.event == "target_ended_under_request" && field(line, "identity") == identity &&
               line.time <= refusal.time;
    });
    std::ranges::stable_sort(ends, {}, &log_line::time);
    return ends;
}

std::string describe_condemnation(std::span<const log_line> lines, const log_line& refusal)
{
    std::string ends;
    for (const log_line& end : find_condemning_ends(lines, refusal)) {
        ends += (ends.empty() ? "" : ", ") + field(end, "target") + " (at " + end.time + ", seen by " +
                end.instance + ")";
    }
    return "Targets of service " + field(refusal, "service") +
           " ended while they ran this request under other attempt ids" +
           (ends.empty() ? std::string() : ": " + ends) + ".";
}

std::string describe_refusal(const log_line& refusal, const log_line* send,
                             std::span<const log_line> all_lines)
{
    const std::string service = field(refusal, "service");
    const std::string target = send == nullptr ? "a target" : "target " + field(*send, "target");
    const std::string reason = field(refusal, "reason");
    if (reason == "rate_exceeded") {
        const std::string rate_owner = field(refusal, "keeper");
        const bool is_split = rate_owner.empty() || rate_owner == "divided";
        return "Customer " + field(refusal, "customer") + " was above its rate of " +
               field(refusal, "rate_per_s") + " per second" +
               (is_split ? " in this instance's share of " + field(refusal, "share")
                         : "; instance " + rate_owner +
                               ", which holds its token bucket, had no token left or did not answer") +
               ".";
    }
    if (reason == "targets_full" || reason == "waited_too_long") {
        return "Service " + service + " had no free slot: utilization " + field(refusal, "utilization") +
               ", " + field(refusal, "waiting") + " requests waiting.";
    }
    if (reason == "targets_limited") {
        return "The usable targets of service " + service +
               " name limits, and this instance's part of them was used up.";
    }
    if (reason == "targets_quiet") {
        return "The usable targets of service " + service +
               " rejected requests and asked for none for a time.";
    }
    if (reason == "request_condemned") {
        return describe_condemnation(all_lines, refusal);
    }
    if (reason == "no_target" && send != nullptr) {
        const bool refused = field(*send, "not_run") == "true";
        return (refused ? "The request was refused by " + target + " without running it"
                        : "No connection to " + target + " could be made") +
               ", and no other target was left.";
    }
    if (reason == "no_target") {
        return "This instance had no usable target of service " + service +
               " in the regions allowed for the request.";
    }
    if (reason == "answer_lost") {
        return "The request reached " + target +
               ", whose connection ended before the answer was complete; it may have run.";
    }
    if (reason == "target_timeout") {
        return "The request reached " + target + ", which did not answer in the time that was left.";
    }
    if (reason == "target_unreachable") {
        return "No connection to " + target + " could be made; the request has not run.";
    }
    if (reason == "targets_unreachable") {
        return "No connection to any probed target of service " + service +
               " could be made by this instance, and no other instance that reaches them took the request; "
               "it has not run.";
    }
    if (reason == "target_shed") {
        return "The request was refused by " + target + " without running it, and no retry was left.";
    }
    if (reason == "target_failed") {
        return "The request failed at " + target +
               ", which answered with a status that promises, without proof, that the request has not run.";
    }
    if (reason == "key_unknown" || reason == "key_missing") {
        return "The caller's key is missing or not in configuration " + field(refusal, "configuration") + ".";
    }
    if (reason == "route_unknown") {
        return "Configuration " + field(refusal, "configuration") + " has no route for host " +
               field(refusal, "host") + " and this path.";
    }
    if (reason == "configuration_missing") {
        return "The process had just started, and neither the store nor a peer had sent it a configuration "
               "yet.";
    }
    if (reason == "stopping") {
        return "The instance was stopping, and the request came too late to be finished by then.";
    }
    if (reason == "memory_full") {
        return "This instance had reached its limit for bytes of messages held in memory (cause: " +
               field(refusal, "cause") + ").";
    }
    if (reason == "caller_left") {
        return "The caller closed its connection before the request was sent to a target.";
    }
    return "The instance refused the request: " + reason + ".";
}

std::string describe_send(const log_line& send)
{
    const std::string elapsed = field(send, "took_ms") + " ms";
    const std::string target = "target " + field(send, "target");
    if (send.event == "send_answered") {
        return "It was answered by " + target + " after " + elapsed +
               (field(send, "expected_warm") == "true" ? "." : ", which had to fetch the object first.");
    }
    if (field(send, "end") == "answered") {
        return "It failed at " + target + " with status " + field(send, "status") + " after " + elapsed + ".";
    }
    return "The send to " + target + " ended as " + field(send, "end") + " after " + elapsed + ".";
}

std::string describe_hop(const log_line& hop)
{
    const std::string status = field(hop, "status");
    return " Instance " + hop.instance + " reached no target of service " + field(hop, "service") +
           " and passed it on to " + field(hop, "to") +
           (status == "0" ? ", which did not answer." : ", which answered with status " + status + ".");
}

// The sends that lines "refused_after_send" record, each with its parts as the fields of a send's line.
std::vector<log_line> find_recorded_sends(std::span<const log_line> request_lines)
{
    std::vector<log_line> sends;
    for (const log_line& line : request_lines) {
        std::istringstream recorded(line.event == "refused_after_send" ? field(line, "sends") : "");
        for (std::string text; std::getline(recorded, text, ';');) {
            log_line& send = sends.emplace_back(log_line{line.time, line.instance, "send_failed", {}});
            std::istringstream parts(text);
            for (std::string part; parts >> part;) {
                const std::size_t name_end = part.find('=');
                if (name_end != std::string::npos) {
                    send.fields[part.substr(0, name_end)] = part.substr(name_end + 1);
                }
            }
            send.fields["not_run"] = field(send, "proof") == "not_connected" ? "false" : "true";
        }
    }
    return sends;
}

std::string describe_proof(const log_line& send)
{
    const std::string proof = field(send, "proof");
    const std::string answered = field(send, "answer_to");
    const bool is_peer = send.fields.contains("instance");
    const std::string to =
        is_peer ? "instance " + field(send, "instance") : "target " + field(send, "target");
    std::string text = "the send to " + to + " ended as " + field(send, "end") + ", which proves nothing";
    if (proof == "not_connected") {
        return "no connection to " + to + " could be made";
    }
    if (proof == "rejected") {
        text = to + " answered that it has not run it";
    } else if (proof == "replaced") {
        text = "another server answered at the address of " + to;
    } else if (proof == "peer_refusal") {
        text = to + " promised it";
    }
    if (answered.starts_with("other:")) {
        text += " in an answer to request " + answered.substr(answered.find(':') + 1);
    } else if (answered != "this" && proof != "none") {
        text += " in an answer that names no request";
    }
    return text;
}

// The refusal as far as its line "refused_after_send" shows it.
std::string describe_promise(const log_line& promise, std::span<const log_line> sends)
{
    std::string proofs;
    for (const log_line& send : sends) {
        proofs += (proofs.empty() ? ": " : "; ") + describe_proof(send);
    }
    if (number_in(promise, "unrecorded_sends") > 0) {
        proofs += "; " + field(promise, "unrecorded_sends") + " further sends are not shown";
    }
    return "It was refused with status " + field(promise, "status") + ", which promises that it has not run" +
           proofs + "." +
           (field(promise, "send_running") == "true" ? " A send of it was still running." : "");
}

std::string describe_cause(std::span<const log_line> request_lines, std::span<const log_line> all_lines)
{
    const std::vector<log_line> recorded_sends = find_recorded_sends(request_lines);
    const log_line* promise = nullptr;
    const log_line* refusal = nullptr;
    const log_line* send = nullptr;
    const log_line* hop = nullptr;
    bool caller_left = false;
    // Stands in for the send's own line, which the limit may have left out.
    for (const log_line& recorded : recorded_sends) {
        send = recorded.fields.contains("target") ? &recorded : send;
    }
    for (const log_line& line : request_lines) {
        hop = line.event == "request_passed_on" ? &line : hop;
        refusal = line.event == "request_refused" ? &line : refusal;
        send = line.event.starts_with("send_") ? &line : send;
        promise = line.event == "refused_after_send" ? &line : promise;
        caller_left = caller_left || line.event == "caller_left";
    }
    if (refusal == nullptr && promise != nullptr) {
        return describe_promise(*promise, recorded_sends) +
               (hop != nullptr ? describe_hop(*hop) : std::string());
    }
    if (refusal == nullptr && send == nullptr && hop != nullptr) {
        return describe_hop(*hop).substr(1);
    }
    if (refusal == nullptr && send == nullptr) {
        return caller_left ? "The caller closed its connection before the answer." : std::string();
    }
    std::string cause =
        refusal != nullptr ? describe_refusal(*refusal, send, all_lines) : describe_send(*send);
    if (caller_left && send != nullptr && field(*send, "end") == "abandoned") {
        cause = "The caller closed its connection, and the send to target " + field(*send, "target") +
                " was cancelled.";
    }
    if (send != nullptr && send->event == "send_failed") {
        const std::string target = field(*send, "target");
        const bool target_left = std::ranges::any_of(all_lines, [&](const log_line& line) {
            return line.event == "target_gone" && field(line, "target") == target && line.time >= send->time;
        });
        cause += target_left ? " The target left afterwards." : "";
    }
    cause += hop != nullptr ? describe_hop(*hop) : std::string();
    return cause;
}

} // namespace

void read_log(std::istream& in, const std::string& source, collected_logs& logs)
{
    std::string instance = source;
    const std::size_t first_new_line = logs.lines.size();
    for (std::string text; std::getline(in, text);) {
        if (text.empty()) {
            continue;
        }
        std::optional<log_line> line = decode_line(text, instance);
        if (!line) {
            ++logs.unreadable;
            continue;
        }
        if (line->event == "started" && line->fields.contains("instance")) {
            instance = field(*line, "instance");
        }
        logs.lines.push_back(std::move(*line));
    }
    for (std::size_t index = first_new_line; index < logs.lines.size(); ++index) {
        logs.lines[index].instance = instance;
    }
}

explanation explain_request(std::span<const log_line> lines, std::string_view request)
{
    explanation result;
    for (const log_line& line : lines) {
        if (field(line, "request") == request) {
            result.lines.push_back(line);
        }
    }
    std::ranges::stable_sort(result.lines, {}, &log_line::time);
    result.cause = describe_cause(result.lines, lines);
    if (result.lines.empty()) {
        return result;
    }
    std::string target;
    for (const log_line& send : find_recorded_sends(result.lines)) {
        target = send.fields.contains("target") ? field(send, "target") : target;
    }
    for (const log_line& line : result.lines) {
        target = line.fields.contains("target") ? field(line, "target") : target;
    }
    const log_line decision = result.lines.back();
    const std::vector<log_line> state_lines = find_state_before(lines, decision, target);
    result.lines.insert(result.lines.end(), state_lines.begin(), state_lines.end());
    if (field(decision, "reason") == "request_condemned") {
        const std::vector<log_line> ends = find_condemning_ends(lines, decision);
        result.lines.insert(result.lines.end(), ends.begin(), ends.end());
    }
    std::ranges::stable_sort(result.lines, {}, &log_line::time);
    return result;
}

log_summary summarize_logs(std::span<const log_line> lines, std::string_view from, std::string_view to)
{
    log_summary summary;
    for (const log_line& line : lines) {
        if (line.time < from || (!to.empty() && line.time > to)) {
            continue;
        }
        summary.lines_left_out += number_in(line, "lines_left_out");
        if (line.event == "request_refused") {
            const std::string reason = field(line, "reason");
            ++summary.refusals[reason];
            if (reason == "rate_exceeded") {
                ++summary.refused_customers[field(line, "customer")];
            }
        } else if (line.event == "send_failed") {
            ++summary.failed_sends[field(line, "target")];
        } else if (is_one_of(dependency_events, line.event)) {
            ++summary.lost_dependencies[line.instance + ": " + line.event];
        }
    }
    return summary;
}

} // namespace camphorknot::client
