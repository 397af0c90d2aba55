/// @file
/// A fleet of whole instances with callers, targets and the platform, on the deterministic scheduler. Watches
/// the promises of docs/design.md, section 1.2, over the whole fleet on real simulated time.
#pragma once

#include <functional>
#include <memory>

#include "camphorknot/node.hpp"
#include "fake_platform.hpp"
#include "scheduler.hpp"

namespace camphorknot::test_support {

using namespace std::chrono_literals;

struct fleet_member {
    node_handle control;
};

struct model_target {
    target_object object;
    std::uint64_t running = 0;
    time_point last_new_work{};
    int fail_permille = 0;
    duration extra_time{};
};

/// One caller's stream of requests.
struct model_caller {
    std::string customer;
    key_hash key{};
    double rate_per_second = 10;
    std::uint32_t client = 0;
    int sealing_permille = 100; ///< Share of non-idempotent requests.
    int skew_permille = 0; ///< Share of requests that go to the first instance whatever the look-up says.
};

/// Counts of a run; every line is a fact about the whole fleet.
struct fleet_counts {
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::map<std::string, std::uint64_t> refused; ///< By reason.

    std::uint64_t unknown = 0;
    std::uint64_t seals_run = 0;
    std::map<std::string, std::uint64_t> broken;  ///< Broken promises by name.
    std::map<std::string, std::uint64_t> offered; ///< Requests of each customer.
    std::map<std::string, std::uint64_t> admitted;
    std::map<std::string, std::uint64_t> over_rate; ///< Requests refused with rate_exceeded.
};

/// Fleet-wide token bucket on real time: what the customer is entitled to.
struct reference_bucket {
    double tokens = 0;
    double burst = 0;
    double rate = 0;
    time_point filled{};
};

struct fleet_settings {
    std::uint64_t seed = 1;
    fault_plan faults;
    std::size_t fault_limit = SIZE_MAX;
    time_point faults_until = time_point::max();
    int store_faults = 0; ///< Number of store outages or losses of answers, 3 s each, at random times.
    duration length = 60s;
};

class node_fleet {
public:
    explicit node_fleet(const fleet_settings& settings);

    /// Runs to the end of the settings' length. @return whether no promise was broken.
    bool run();
    /// Proposes a change at a live instance as an operator does.
    void apply(const configuration_change& change);
    void set_caller(model_caller caller) { callers_.push_back(std::move(caller)); }
    void at(duration when, std::function<void()> action)
    {
        scheduler_->at(time_point(when), std::move(action));
    }

    fleet_counts counts;
    std::map<target_id, model_target> targets;
    std::map<std::string, reference_bucket> buckets;
    fake_platform store;
    std::map<key_hash, time_point> revoked;      ///< When a revocation was accepted.
    std::map<std::string, time_point> withdrawn; ///< When the withdrawal of "service/version" was accepted.
    std::map<std::string, time_point> drained;   ///< When a target's drain was accepted.
    scheduler<fleet_member>& fleet() { return *scheduler_; }

private:
    struct running_request {
        std::size_t instance = 0;
        incarnation number = 0;
        std::shared_ptr<traffic_state> shared;
        admitted_request request;
        std::vector<target_id> tried;
        std::uint64_t operation = 0; ///< Ticket's sequence for non-idempotent requests.
    };

    fleet_member make_member(std::size_t index, incarnation number, time_point now);
    void handle_output(std::size_t index, node_output& out, outbox& messages);
    void call_platform(std::size_t index, const platform_call& call);
    void plan_caller(std::size_t caller);
    void send_request(const model_caller& caller);
    void start_request(const model_caller& caller, std::size_t index, const std::optional<ticket>& presented);
    void send_attempt(const std::shared_ptr<running_request>& running);
    void finish_attempt(const std::shared_ptr<running_request>& running, target_id target, version_id version,
                        time_point sent);
    void check_region_load(const model_target& target);
    reference_bucket& refill(const std::string& customer);
    void count_admission(const model_caller& caller);
    void refuse(const refusal& why, const std::shared_ptr<running_request>& running);
    bool same_process(const running_request& running) const;
    bool check_promises();
    void expect(bool holds, const char* name);
    std::optional<std::size_t> find_instance(const std::string& traffic_address) const;
    std::optional<std::size_t> any_live();

    fleet_settings settings_;
    random_source random_;
    std::vector<std::string> peer_addresses_;
    std::vector<std::string> regions_;
    std::vector<std::string> domains_;
    std::vector<model_caller> callers_;
    std::unique_ptr<scheduler<fleet_member>> scheduler_;
    /// Requests running per service and region.
    std::map<std::pair<std::string, std::string>, std::vector<std::shared_ptr<running_request>>> running_;
    std::map<std::uint64_t, std::uint64_t> runs_of_operation_;
    std::vector<std::pair<incarnation, std::uint64_t>> newest_version_; ///< By instance: process and version.
    std::map<std::uint64_t, std::string> content_;                      ///< Encoded configuration by version.
};

} // namespace camphorknot::test_support
