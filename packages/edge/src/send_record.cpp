#include "send_record.hpp"

#include <algorithm>

#include "traffic.hpp"

namespace camphorknot::edge {

namespace {

// Limit for the sends of one request that are recorded; further ones are counted.
constexpr std::size_t max_recorded_sends = 8;

// Limit for the bytes of an id or a name in the line. Callers and targets choose ids of any length.
constexpr std::size_t max_logged_id_bytes = 128;

std::string shorten(std::string_view id)
{
    return id.size() <= max_logged_id_bytes ? std::string(id)
                                            : std::string(id.substr(0, max_logged_id_bytes)) + "...";
}

// Bytes that are no ASCII text, and those that separate sends and their fields, become '?'.
std::string to_field_value(std::string_view id)
{
    std::string value = shorten(id);
    std::ranges::replace_if(
        value, [](char c) { return c <= ' ' || c >= '\x7f' || c == ';'; }, '?');
    return value;
}

std::string describe_answer(const exchange_result& result, std::string_view attempt)
{
    if (!result.answer || result.answer->metadata.attempt.empty()) {
        return "nothing";
    }
    const std::string& answered = result.answer->metadata.attempt;
    return answered == attempt ? "this" : "other:" + to_field_value(answered);
}

std::string format_send(const send_record& sent)
{
    std::string text = (sent.receiver == send_receiver::target ? "target=" : "instance=") + sent.to +
                       " end=" + std::string(name_of(sent.end)) +
                       " proof=" + std::string(name_of(sent.proof));
    if (sent.connection != 0) {
        text += " answer_to=" + sent.answer_to + " connection=" + std::to_string(sent.connection) +
                " earlier_uses=" + std::to_string(sent.earlier_uses) +
                " skipped_answers=" + std::to_string(sent.skipped_answers);
    }
    return text;
}

} // namespace

void record_send(caller_request& request, send_receiver receiver, std::string_view to,
                 const exchange_result& result, not_run_proof proof)
{
    if (request.sends.size() >= max_recorded_sends) {
        ++request.unrecorded_sends;
        return;
    }
    request.sends.push_back({receiver, to_field_value(to), result.outcome, proof,
                             describe_answer(result, request.metadata.attempt), result.connection,
                             result.earlier_uses, result.skipped_answers});
}

void log_promise(traffic_state& state, const caller_request& request, unsigned status)
{
    const bool is_send_running = request.active_exchange != nullptr;
    if (request.sends.empty() && !is_send_running) {
        return;
    }
    std::string sends;
    for (const send_record& sent : request.sends) {
        sends += (sends.empty() ? "" : "; ") + format_send(sent);
        const std::string labels = "proof=\"" + std::string(name_of(sent.proof)) + "\"";
        counter(state.metric_registry, "camphorknot_promises_after_send_total", labels)
            .fetch_add(1, std::memory_order_relaxed);
    }
    std::vector<log_field> fields = {{"request", shorten(request.metadata.attempt)},
                                     {"status", std::to_string(status)},
                                     {"at_most_once", request.at_most_once ? "true" : "false"},
                                     {"sends", std::move(sends)},
                                     {"unrecorded_sends", std::to_string(request.unrecorded_sends)},
                                     {"send_running", is_send_running ? "true" : "false"}};
    if (request.at_most_once) {
        log_event(log_severity::info, "refused_after_send", fields);
    } else {
        log_event_limited(state.log, log_severity::info, "refused_after_send", std::move(fields));
    }
}

} // namespace camphorknot::edge
