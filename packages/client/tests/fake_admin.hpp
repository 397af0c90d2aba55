/// @file
/// Fake admin interface of one instance, served over HTTP on a local port.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "camphorknot/configuration.hpp"

namespace client_test {

struct fake_answer {
    unsigned code = 200;
    std::string body;
    bool lost = false; ///< Close the connection without an answer.
};

/// A fleet of one instance; @c current_configuration stands for its configuration table. Tests change the
/// members between commands.
struct fake_admin {
    camphorknot::configuration current_configuration;
    std::string token = "operator-token";
    bool lose_change_answer = false;     ///< Lose the answer after applying the change.
    bool lose_change = false;            ///< Lose the request before applying the change.
    int lagging_polls = 0;               ///< Number of polls of a change during which one instance lags.
    std::function<void()> before_change; ///< Called before a change is applied: a concurrent writer.
    std::string forced_status;           ///< Status reported for changes, which are then not applied.
    std::vector<nlohmann::json> moves;   ///< Successive answers to /v1/moves; the last one repeats.
    nlohmann::json members = nlohmann::json::array();
    std::vector<std::string> facts;
    std::vector<nlohmann::json> changes;
    std::size_t change_requests = 0;

    fake_answer handle(const std::string& method, const std::string& target, const std::string& body,
                       const std::string& authorization);

private:
    fake_answer handle_change(const std::string& target, const std::string& body);
    fake_answer change_progress(std::size_t number);
};

/// Serves a fake_admin from its own thread until destroyed. Requests are handled one at a time, without
/// locking: tests must not touch the fake_admin while a command runs.
struct fake_server {
    explicit fake_server(fake_admin& fake);
    ~fake_server();
    fake_server(const fake_server&) = delete;
    fake_server& operator=(const fake_server&) = delete;

    std::string address;

private:
    struct listener;
    std::unique_ptr<listener> socket;
    std::thread thread;
};

} // namespace client_test
