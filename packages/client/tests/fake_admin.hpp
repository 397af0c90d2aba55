/// @file
/// Stand-in for the admin interface of one instance, over HTTP on a local port.
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
    bool lost = false; ///< The connection is closed without an answer.
};

/// A fleet of one instance whose table is the member @c present. Tests change the members between commands.
struct fake_admin {
    camphorknot::configuration present;
    std::string token = "operator-token";
    bool lose_change_answer = false;     ///< After the change took effect.
    bool lose_change = false;            ///< Before it took effect.
    int lagging_polls = 0;               ///< Polls of a change for which one instance lags.
    std::function<void()> before_change; ///< As another writer of the table that is faster.
    std::string forced_status;           ///< Of changes, in place of their effect.
    std::vector<nlohmann::json> moves;   ///< One answer after another; the last one stays.
    nlohmann::json members = nlohmann::json::array();
    std::vector<std::string> facts;
    std::vector<nlohmann::json> changes;
    std::size_t change_requests = 0;

    fake_answer handle(const std::string& method, const std::string& target, const std::string& body,
                       const std::string& authorization);

private:
    fake_answer propose(const std::string& target, const std::string& body);
    fake_answer progress(std::size_t number);
};

/// Serves @p fake until it is destroyed; requests are handled one at a time under @c mutex.
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
