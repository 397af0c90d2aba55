// The control thread: follows the records of the store, exchanges messages with the other instances, advances
// rollouts, and serves the directory, readiness and metrics ports.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

#include "camphorknot/edge/instance.hpp"
#include "camphorknot/edge/settings.hpp"
#include "camphorknot/kernel.hpp"
#include "camphorknot/platform/records.hpp"
#include "camphorknot/platform/store_client.hpp"
#include "control_usage.hpp"
#include "limited_port.hpp"
#include "peer_network.hpp"
#include "views.hpp"

namespace camphorknot::edge {

/// How recent this instance's copy of a collection is.
struct freshness {
    /// Store time up to which the copy is confirmed, in seconds; negative before the first confirmation.
    double as_of_s = -1;
    /// When as_of_s last increased, by this instance's clock.
    time_point advanced_at{};
};

/// Targets whose warm-up is assigned to this instance. Cached with the inputs from which it was computed.
/// A version that was completed a short time ago.
struct watched_version {
    steering::rollout_run run;
    time_point watched_until{};
    steering::rollout_evidence evidence{}; ///< Of its answers.
    bool is_reported = false;              ///< It was found to fail.
};

struct warmup_assignments {
    steering::task_candidates candidates;
    std::shared_ptr<const std::vector<steering::target>> targets;
    std::set<std::string> assigned_targets;
};

/// How an update of records arrived, for logs and metrics.
struct record_delivery {
    std::string_view source; ///< "store" or "peer".
    std::string_view peer;   ///< Remote address; empty for the store.
    std::size_t bytes = 0;   ///< Of the message; 0 for the store.
    duration receive_time{}; ///< From its first to its last byte; zero for the store.
};

/// State of the control thread. All functions run in that thread, except start_control, join_control and
/// post_*.
struct control_state {
    control_state(edge_settings& instance_settings, metrics& registry)
        : settings(instance_settings), metric_registry(registry)
    {
    }
    edge_settings& settings;
    metrics& metric_registry;
    // Outlive the context, whose connections remove themselves when it is destroyed.
    limited_port directory_port;
    limited_port readiness_port;
    limited_port metrics_port;
    peer_intake intake;
    boost::asio::io_context context{1};
    boost::asio::steady_timer ticker{context};
    std::thread thread;
    std::shared_ptr<peer_network> peers;
    std::shared_ptr<platform::store_client> read_client;  ///< Follows the records.
    std::shared_ptr<platform::store_client> write_client; ///< Registration and rollout states.
    steering::fleet fleet;
    steering::record_replica replica; ///< Copies of the records.
    std::array<freshness, steering::collection_count> collection_freshness;
    /// Targets removed before this time are kept until then, since the store has just become available again
    /// and entries of live targets may have lapsed during the outage.
    time_point absence_grace_until{};
    /// When to remove each of those targets, by id.
    std::map<std::string, time_point> pending_target_removals;
    platform::configuration_decoder decoder;
    std::shared_ptr<const steering::configuration> configuration;
    std::shared_ptr<const steering::route_table> routes;
    std::map<std::string, steering::target> targets; ///< By id.
    /// The targets as last sent to the traffic thread.
    std::shared_ptr<const std::vector<steering::target>> published_targets;
    bool targets_changed = true; ///< Since published_targets was made.
    warmup_assignments warmup_cache;
    std::set<std::string> evacuated;                                ///< Failure domains under evacuation.
    std::map<std::string, steering::rollout_order> rollout_orders;  ///< By service.
    std::map<std::string, steering::rollout_record> rollout_states; ///< By service, as recorded in the store.
    std::map<std::string, steering::rollout_run> rollout_runs;      ///< By service, unfinished rollouts only.
    /// By service: the order of the last rollout that this instance knows to be finished, with its final
    /// state.
    std::map<std::string, std::pair<steering::rollout_order, steering::rollout_state>> finished_rollouts;
    std::map<std::string, watched_version> watched_versions; ///< By service.
    std::map<std::string, std::string> current_versions;     ///< By service.
    std::uint64_t store_era = 0;
    std::optional<time_point> era_rose_at; ///< When this instance learned of the current era, unless it
                                           ///< started in it.
    bool snapshot_due = false;             ///< The targets and orders are to be read in full.
    steering::notice_table notices;        ///< Announced to any instance.
    bool rollout_write_pending = false;    ///< A rollout state is being written to the store.
    bool hold_read_pending = false;        ///< The hold of a rollout is being read from the store.
    traffic_report report;                 ///< The latest one of the traffic thread.
    std::uint64_t status_sequence = 0;
    std::uint64_t tick_count = 0;
    time_point started_at{};
    steering::record_requests pending_requests; ///< To peers.
    time_point configuration_wait_logged_at{};
    std::map<std::string, steering::instance_contact> own_domain_contacts; ///< By peer address.
    std::vector<steering::instance_contact> registered_instances;          ///< From the store and from peers.
    std::unique_ptr<usage_control> usage;                                  ///< Null if usage is not reported.
    bool stopping = false;
    bool store_reachable = true; ///< As of the last call. True at the start, so that a failure is logged.
    log_limiter log;
    std::function<void(traffic_view)> publish; ///< Sends a view to the traffic thread.
    /// Takes a token of a rate that this instance owns. The callback gets the time to wait, zero if the token
    /// was taken; it may be called in any thread.
    std::function<void(std::string customer, std::function<void(duration)>)> take_token_for_peer;
    /// Passes the evidence of other instances to the traffic thread.
    std::function<void(std::vector<steering::crash_report>)> on_crash_reports;
    /// Passes a rate owner's answer to the traffic thread.
    std::function<void(token_answer)> on_token_answer;
};

/// Opens the ports and starts the thread.
/// @return the failure, if a port cannot be opened or the store's address is invalid.
std::optional<start_failure> start_control(control_state& state);

/// Hands over the traffic thread's report. Safe to call from any thread.
void post_report(control_state& state, traffic_report report);

/// Sends @p request to the instance with the peer address @p rate_owner. Safe to call from any thread.
void post_token_request(control_state& state, const std::string& rate_owner, token_request request);

/// Begins a graceful stop. Safe to call from any thread.
void post_stop(control_state& state);

/// Stops and joins the thread.
void join_control(control_state& state);

// Parts of the control thread.

/// Reads records from the store while that is this instance's task, for as long as the context runs.
boost::asio::awaitable<void> follow_records(control_state& state);
/// Applies records from the store or from a peer.
/// @return the number of changed records.
std::size_t apply_record_update(control_state& state, const steering::record_update& update,
                                const record_delivery& delivery);
/// Sets the gauges of how old this instance's configuration may be.
void show_configuration_age(control_state& state, time_point now);
/// @return whether the records are unconfirmed for so long that this instance must read the store itself.
bool records_are_stale(const control_state& state, time_point now);
/// Removes the pending targets whose grace period has ended.
void finish_target_removals(control_state& state, time_point now);

/// @return whether the view of the fleet is complete enough to decide on it: enough time has passed since the
/// start, and half of the other instances are alive.
bool sees_fleet(const control_state& state, time_point now);

/// Whether a new version may get more than the share of the canary. An instance that does not see the fleet
/// cannot tell whether the others are gone or hold the version, so it starts to read the hold from the store.
/// @param has_view result of sees_fleet.
/// @param counts those that say something about the rollout, of all instances.
bool is_promoted(control_state& state, const steering::rollout_run& run, bool has_view,
                 std::span<const steering::version_counts> counts, time_point now);
/// Records a change of the hold in the store, if that is this instance's task. Only what it recorded itself
/// is released.
void record_hold(control_state& state, steering::rollout_run& run, time_point now);
/// @return the row of the hold that the completion of a rollout relies on; nothing if this instance sees the
/// fleet.
std::optional<platform::rollout_hold_row> hold_relied_on(const control_state& state,
                                                         const steering::rollout_run& run, time_point now);

/// Stops rollouts of failing versions, advances the traffic share of the others, and starts the write of a
/// rollout state that is due.
void step_rollouts(control_state& state, time_point now);
/// @return the progress of the unfinished rollouts, for the other instances.
std::vector<steering::rollout_progress> collect_rollout_progress(const control_state& state, time_point now);
/// Takes over a longer elapsed time or a stop of a rollout that another instance or failure domain reports.
void merge_rollout_progress(control_state& state, const steering::load_report& report,
                            std::string_view source, time_point now);
/// @return the versions that get requests, by service.
std::map<std::string, version_rule> version_rules(control_state& state);

/// Listens for the links of other instances. @return whether the peers' port could be bound.
boost::system::error_code start_peer_network(control_state& state);
/// Registers this instance in the store and reads the instances that are registered there. Afterwards a
/// domain delegate reads them again while a failure domain is missing.
boost::asio::awaitable<void> register_instance(control_state& state);
/// Registers this instance once more, at a random time within seconds: the store has lost the registration.
boost::asio::awaitable<void> register_again(control_state& state);
/// Sends this instance's status to its failure domain and, if it is the delegate, the summaries that are due
/// to the other failure domains.
/// @param urgent sends a summary to the failure domains of this region in any case, since records have
/// changed.
void send_peer_updates(control_state& state, bool urgent, time_point now);
/// Logs instances and failure domains that became reachable or unreachable, and opens and closes links.
void update_membership(control_state& state, time_point now);

/// Sends the current view to the traffic thread.
void publish_view(control_state& state, time_point now);

/// Opens the directory, readiness and metrics ports. @return the failure, if one cannot be opened.
std::optional<start_failure> open_service_ports(control_state& state);

} // namespace camphorknot::edge
