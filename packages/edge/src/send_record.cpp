#include "send_record.hpp"

#include "traffic.hpp"

namespace camphorknot::edge {

namespace {

// Limit for the sends of one request that are recorded; further ones are counted.
constexpr std::size_t max_recorded_sends = 8;

std::string format_send(const send_record& sent, std::string_view attempt)
{
    const std::string_view id = sent.proof_attempt;
    const std::string_view answered = id.empty() ? "nothing" : id == attempt ? "this" : id;
    std::string text =
        sent.to + " end=" + std::string(name_of(sent.end)) + " proof=" + std::string(name_of(sent.proof));
    if (sent.connection != 0) {
        text += " answer_to=" + std::string(answered) + " connection=" + std::to_string(sent.connection) +
                " earlier_uses=" + std::to_string(sent.earlier_uses) +
                " skipped_answers=" + std::to_string(sent.skipped_answers);
    }
    return text;
}

} // namespace

void record_send(caller_request& request, std::string_view to, const exchange_result& result,
                 not_run_proof proof)
{
    if (request.sends.size() >= max_recorded_sends) {
        ++request.unrecorded_sends;
        return;
    }
    request.sends.push_back({std::string(to), result.outcome, proof,
                             result.answer ? result.answer->metadata.attempt : std::string(),
                             result.connection, result.earlier_uses, result.skipped_answers});
}

void log_promise(traffic_state& state, const caller_request& request, unsigned status)
{
    const bool is_send_running = request.active_exchange != nullptr;
    if (request.sends.empty() && !is_send_running) {
        return;
    }
    const std::string& attempt = request.metadata.attempt;
    std::string sends;
    for (const send_record& sent : request.sends) {
        sends += (sends.empty() ? "" : "; ") + format_send(sent, attempt);
        const std::string labels = "proof=\"" + std::string(name_of(sent.proof)) + "\"";
        counter(state.metric_registry, "camphorknot_promises_after_send_total", labels)
            .fetch_add(1, std::memory_order_relaxed);
    }
    std::vector<log_field> fields = {{"request", attempt},
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
