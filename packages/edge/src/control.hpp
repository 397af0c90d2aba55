// The control thread: follows the records, talks to the other instances, decides about rollouts, and answers
// the directory, readiness and metrics ports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

#include "camphorknot/edge/settings.hpp"
#include "camphorknot/kernel.hpp"
#include "camphorknot/platform/records.hpp"
#include "camphorknot/platform/store_client.hpp"
#include "peer_network.hpp"
#include "views.hpp"

namespace camphorknot::edge {

/// Time at which a collection was last confirmed, by this instance's clock.
struct freshness {
    double as_of_s = -1;
    time_point advanced{};
};

/// Which targets this instance warms, for the instances and targets that it was found for.
struct warm_duties {
    std::vector<std::uint64_t> candidates;
    std::shared_ptr<const std::vector<steering::target>> targets;
    std::set<std::string> own;
};

/// State of the control thread. All functions are called in its thread, but for start and post.
struct control {
    control(edge_settings& used, metrics& counted) : settings(used), page(counted) {}
    edge_settings& settings;
    metrics& page;
    boost::asio::io_context context{1};
    boost::asio::steady_timer ticker{context};
    std::thread thread;
    std::shared_ptr<peer_network> peers;
    std::shared_ptr<platform::store_client> reader; ///< Reads records.
    std::shared_ptr<platform::store_client> writer; ///< Writes rollout states.
    steering::fleet fleet;
    steering::record_replica book;
    std::array<freshness, steering::collection_count> fresh;
    time_point
        absence_grace_until{}; ///< Removed targets are kept until then: the store was away a moment ago.
    std::map<std::string, time_point>
        leaving_targets; ///< Removed during that time, with the end of their grace.
    std::shared_ptr<const steering::configuration> configuration;
    std::shared_ptr<const steering::route_table> routes;
    std::map<std::string, steering::target> targets;
    std::shared_ptr<const std::vector<steering::target>> published_targets;
    bool targets_changed = true;
    warm_duties warm_duties_known;
    std::set<std::string> evacuated;
    std::map<std::string, steering::rollout_order> orders;  ///< By service.
    std::map<std::string, steering::rollout_record> states; ///< By service.
    std::map<std::string, steering::rollout_run> runs;      ///< By service.
    std::map<std::string, std::string> current_versions;    ///< By service.
    bool writing_state = false;
    traffic_report report;
    std::uint64_t status_sequence = 0;
    std::uint64_t tick_count = 0;
    time_point asked_at{}; ///< When a peer was last asked for records; zero after its answer.
    std::map<std::string, steering::instance_contact> contacts; ///< Own failure domain, by peer address.
    std::vector<steering::instance_contact> registered;         ///< Instances in the store, as of the start.
    bool stopping = false;
    bool store_reachable =
        true; ///< As of the last call; a process expects the store to be there at its start.
    log_limiter log;
    std::function<void(traffic_view)> publish;
    /// Takes a token from the rates that this instance keeps; calls back in any thread.
    std::function<void(std::string customer, std::function<void(duration)>)> take_token_for_peer;
    std::function<void(token_answer)> on_token_answer;
};

/// Opens the ports and starts the thread. @return the name of the port that cannot be bound, or an empty
/// text.
std::string start_control(control& state);
void post_report(control& state, traffic_report report);
void post_token_question(control& state, const std::string& keeper, token_question question);
void post_stop(control& state);
void join_control(control& state);

// Parts of the control thread.

/// Reads records from the store or from peers, for as long as the context runs.
boost::asio::awaitable<void> follow_records(control& state);
/// @return how many records changed.
std::size_t take_over(control& state, const steering::record_update& update, std::string_view source);
/// @return whether nothing new was confirmed for so long that this instance reads the store itself.
bool records_are_stale(const control& state, time_point now);
/// Lets removed targets go whose grace has ended.
void end_absences(control& state, time_point now);

/// Judges and paces the rollouts; starts a write of a state where one is due.
void step_rollouts(control& state, time_point now);
std::vector<steering::rollout_progress> progress_of_rollouts(const control& state, time_point now);
void merge_rollouts(control& state, const steering::load_report& report, std::string_view source,
                    time_point now);
std::map<std::string, version_rule> version_rules(control& state);

/// Starts the links to the other instances. @return whether the peers' port could be bound.
bool open_peers(control& state);
/// Registers this instance in the store, and learns of those that are registered there.
boost::asio::awaitable<void> register_instance(control& state);
/// Sends statuses, summaries and questions that are due.
/// @param urgent also to the near failure domains: records have changed.
void tell_peers(control& state, bool urgent, time_point now);
/// Logs who came and went, and adjusts the links.
void note_members(control& state, time_point now);

/// Tells the traffic thread what is known now.
void publish_view(control& state, time_point now);

/// Serves one of the ports for the platform: directory, readiness, metrics.
bool open_service_ports(control& state);

} // namespace camphorknot::edge
