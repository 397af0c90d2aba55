#include "camphorknot/client/explain.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorknot::client {
namespace {

using nlohmann::json;

// Events that change what an instance believes of one target, and of everything.
constexpr std::array<std::string_view, 2> target_events = {"target_seen", "target_gone"};
constexpr std::array<std::string_view, 9> belief_events = {
    "configuration_applied", "store_lost",    "store_regained",   "instance_away", "instance_heard",
    "evacuation_ordered",    "rollout_moved", "evacuation_ended", "stop_began"};
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

// The last line for each belief that the instance had when it decided; newer ones replace older ones.
std::vector<log_line> beliefs_before(std::span<const log_line> lines, const log_line& decision,
                                     std::string_view target)
{
    std::map<std::string, const log_line*> last;
    for (const log_line& each : lines) {
        if (each.instance != decision.instance || each.time > decision.time) {
            continue;
        }
        const bool of_target = is_one_of(target_events, each.event) && field(each, "target") == target;
        if (!of_target && !is_one_of(belief_events, each.event)) {
            continue;
        }
        // Lost and regained are two states of one belief.
        std::string subject = each.event;
        if (of_target) {
            subject = "target";
        } else if (each.event.starts_with("store_")) {
            subject = "store";
        } else if (each.event.starts_with("instance_")) {
            subject = "instance " + field(each, "instance");
        }
        const log_line*& kept = last[subject];
        if (kept == nullptr || kept->time <= each.time) {
            kept = &each;
        }
    }
    std::vector<log_line> beliefs;
    beliefs.reserve(last.size());
    for (const auto& [subject, line] : last) {
        beliefs.push_back(*line);
    }
    return beliefs;
}

std::string sentence_for_refusal(const log_line& refusal, const log_line* send)
{
    const std::string service = field(refusal, "service");
    const std::string target = send == nullptr ? "a target" : "target " + field(*send, "target");
    const std::string reason = field(refusal, "reason");
    if (reason == "rate_exceeded") {
        const std::string keeper = field(refusal, "keeper");
        const bool divided = keeper.empty() || keeper == "divided";
        return "Customer " + field(refusal, "customer") + " was above its rate of " +
               field(refusal, "rate_per_s") + " a second" +
               (divided ? " in this instance's share of " + field(refusal, "share")
                        : ", which instance " + keeper + " keeps or did not answer for") +
               ".";
    }
    if (reason == "targets_full" || reason == "waited_too_long") {
        return "Service " + service + " had no free slot: utilization " + field(refusal, "utilization") +
               ", " + field(refusal, "waiting") + " requests waiting.";
    }
    if (reason == "no_target" && send != nullptr) {
        const bool refused = field(*send, "not_run") == "true";
        return (refused ? "The request was refused by " + target + " without running it"
                        : "No connection to " + target + " could be made") +
               ", and no other target was left.";
    }
    if (reason == "no_target") {
        return "This instance knew no usable target of service " + service +
               " in the regions allowed for the request.";
    }
    if (reason == "answer_lost") {
        return "The request reached " + target +
               ", whose connection ended before the answer was whole; it may have run.";
    }
    if (reason == "target_timeout") {
        return "The request reached " + target + ", which did not answer in the time that was left.";
    }
    if (reason == "target_unreachable") {
        return "No connection to " + target + " could be made; the request has not run.";
    }
    if (reason == "target_shed") {
        return "The request was refused by " + target + " without running it, and no retry was left.";
    }
    if (reason == "target_failed") {
        return "The request failed at " + target + ", which answered with a status that promises too much.";
    }
    if (reason == "key_unknown" || reason == "key_missing") {
        return "The caller's key is missing or not in configuration " + field(refusal, "configuration") + ".";
    }
    if (reason == "route_unknown") {
        return "Configuration " + field(refusal, "configuration") + " has no route for host " +
               field(refusal, "host") + " and this path.";
    }
    if (reason == "configuration_missing") {
        return "The process had just started and neither the store nor a peer had given it a configuration.";
    }
    if (reason == "memory_full") {
        return "This instance held as many bytes of request bodies as it may.";
    }
    if (reason == "caller_left") {
        return "The caller closed its connection before the request was sent to a target.";
    }
    return "The instance refused the request: " + reason + ".";
}

std::string sentence_for_send(const log_line& send)
{
    const std::string took = field(send, "took_ms") + " ms";
    const std::string target = "target " + field(send, "target");
    if (send.event == "send_answered") {
        return "It was answered by " + target + " after " + took +
               (field(send, "expected_warm") == "true" ? "." : ", which had to fetch the object first.");
    }
    if (field(send, "end") == "answered") {
        return "It failed at " + target + " with status " + field(send, "status") + " after " + took + ".";
    }
    return "The send to " + target + " ended as " + field(send, "end") + " after " + took + ".";
}

std::string name_cause(std::span<const log_line> own, std::span<const log_line> all)
{
    const log_line* refusal = nullptr;
    const log_line* send = nullptr;
    bool caller_left = false;
    for (const log_line& each : own) {
        refusal = each.event == "request_refused" ? &each : refusal;
        send = each.event.starts_with("send_") ? &each : send;
        caller_left = caller_left || each.event == "caller_left";
    }
    if (refusal == nullptr && send == nullptr) {
        return caller_left ? "The caller closed its connection before the answer." : std::string();
    }
    std::string cause = refusal != nullptr ? sentence_for_refusal(*refusal, send) : sentence_for_send(*send);
    if (caller_left && send != nullptr && field(*send, "end") == "abandoned") {
        cause = "The caller closed its connection, and the send to target " + field(*send, "target") +
                " was broken off.";
    }
    if (send != nullptr && send->event == "send_failed") {
        const std::string target = field(*send, "target");
        const bool gone = std::ranges::any_of(all, [&](const log_line& each) {
            return each.event == "target_gone" && field(each, "target") == target && each.time >= send->time;
        });
        cause += gone ? " The target left afterwards." : "";
    }
    return cause;
}

} // namespace

void read_log(std::istream& in, const std::string& source, collected_logs& into)
{
    std::string instance = source;
    const std::size_t first = into.lines.size();
    for (std::string text; std::getline(in, text);) {
        if (text.empty()) {
            continue;
        }
        std::optional<log_line> line = decode_line(text, instance);
        if (!line) {
            ++into.unreadable;
            continue;
        }
        if (line->event == "started" && line->fields.contains("instance")) {
            instance = field(*line, "instance");
        }
        into.lines.push_back(std::move(*line));
    }
    for (std::size_t index = first; index < into.lines.size(); ++index) {
        into.lines[index].instance = instance;
    }
}

explanation explain_request(std::span<const log_line> lines, std::string_view request)
{
    explanation found;
    for (const log_line& each : lines) {
        if (field(each, "request") == request) {
            found.lines.push_back(each);
        }
    }
    std::ranges::stable_sort(found.lines, {}, &log_line::time);
    found.cause = name_cause(found.lines, lines);
    if (found.lines.empty()) {
        return found;
    }
    std::string target;
    for (const log_line& each : found.lines) {
        target = each.fields.contains("target") ? field(each, "target") : target;
    }
    const std::vector<log_line> beliefs = beliefs_before(lines, found.lines.back(), target);
    found.lines.insert(found.lines.end(), beliefs.begin(), beliefs.end());
    std::ranges::stable_sort(found.lines, {}, &log_line::time);
    return found;
}

log_summary summarize_logs(std::span<const log_line> lines, std::string_view from, std::string_view to)
{
    log_summary summary;
    for (const log_line& each : lines) {
        if (each.time < from || (!to.empty() && each.time > to)) {
            continue;
        }
        summary.lines_left_out += number_in(each, "lines_left_out");
        if (each.event == "request_refused") {
            const std::string reason = field(each, "reason");
            ++summary.refusals[reason];
            if (reason == "rate_exceeded") {
                ++summary.refused_customers[field(each, "customer")];
            }
        } else if (each.event == "send_failed") {
            ++summary.failed_sends[field(each, "target")];
        } else if (is_one_of(dependency_events, each.event)) {
            ++summary.lost_dependencies[each.instance + ": " + each.event];
        }
    }
    return summary;
}

} // namespace camphorknot::client
