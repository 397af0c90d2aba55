#include "request_run.hpp"

#include "relay.hpp"

namespace camphorknot::edge {

namespace http = boost::beast::http;

void begin_request(traffic_state& state, const std::shared_ptr<caller_request>& request)
{
    state.counters.requests->fetch_add(1, std::memory_order_relaxed);
    ++state.running_requests;
    state.active_requests[request->id] = request;
}

void end_request(traffic_state& state, const caller_request& request)
{
    --state.running_requests;
    state.active_requests.erase(request.id);
    observe(*state.counters.request_time, boot_now() - request.arrived_at);
}

platform::http_response finish_request(traffic_state& state, const caller_request& request,
                                       platform::http_response answer)
{
    check_invariant(steering::is_true_status(answer.result_int(), request.may_have_run), promise::p7_not_run,
                    "answer_of_attempt");
    end_request(state, request);
    if (request.message.method() == http::verb::head) {
        answer.body().clear();
    }
    return answer;
}

} // namespace camphorknot::edge
