// A server that answers with whatever bytes a test sets, or not at all.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace crowd_tests {

/// Returns the bytes of the answer to a request; empty to stay silent.
using answer_function = std::function<std::string(std::string_view request_head)>;

/// A running server. It reads requests without a limit and never closes a connection by itself.
struct plain_server {
    std::uint16_t port = 0;
    int listener = -1;
    std::atomic<bool> is_ending{false};
    std::mutex guard;
    answer_function answer; ///< Null to stay silent.
    std::thread thread;
};

struct plain_server_deleter {
    void operator()(plain_server* server) const;
};
using plain_server_handle = std::unique_ptr<plain_server, plain_server_deleter>;

/// Starts a silent server at a free port of @p ip.
plain_server_handle start_plain_server(const std::string& ip);

/// Sets what the server answers from then on.
void set_answer(plain_server& server, answer_function answer);

} // namespace crowd_tests
