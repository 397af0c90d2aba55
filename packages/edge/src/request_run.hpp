// The counts of a request between its arrival and its answer.
#pragma once

#include <memory>

#include "traffic.hpp"

namespace camphorknot::edge {

/// Counts a request as unfinished during its lifetime.
class unfinished_request {
public:
    explicit unfinished_request(traffic_state& state) : state_(state) { ++state_.unfinished_requests; }
    ~unfinished_request() { --state_.unfinished_requests; }
    unfinished_request(const unfinished_request&) = delete;
    unfinished_request& operator=(const unfinished_request&) = delete;
    unfinished_request(unfinished_request&&) = delete;
    unfinished_request& operator=(unfinished_request&&) = delete;

private:
    traffic_state& state_;
};

/// Counts a request that was read as running, and its body as held.
void begin_request(traffic_state& state, const std::shared_ptr<caller_request>& request);

/// Ends what begin_request counted: the request has its final answer, or is not handled.
void end_request(traffic_state& state, const caller_request& request);

/// Calls end_request for a request that was handled. @return its answer, as it is to be written.
platform::http_response finish_request(traffic_state& state, const caller_request& request,
                                       platform::http_response answer);

} // namespace camphorknot::edge
