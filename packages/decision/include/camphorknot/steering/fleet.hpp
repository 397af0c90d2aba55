/// @file
/// Membership of the fleet: the last status of each other instance, which instances are alive, which one a
/// task is assigned to, and the addresses that the directory gives to callers.
///
/// The instances of one failure domain exchange their status several times a second. One of them, the domain
/// delegate, sends a summary to the other failure domains, so that the number of messages per instance does
/// not grow with the fleet.
#pragma once

#include <span>

#include "camphorknot/steering/crash_verdicts.hpp"
#include "camphorknot/steering/model.hpp"
#include "camphorknot/steering/record_replica.hpp"
#include "camphorknot/steering/record_requests.hpp"
#include "camphorknot/steering/target_notices.hpp"
#include "camphorknot/steering/target_reach.hpp"
#include "camphorknot/steering/usage_counts.hpp"

namespace camphorknot::steering {

/// Outcomes of the requests to one version of a service on one route.
struct version_counts {
    std::string service{};
    std::string version{};
    std::string route{};
    std::uint64_t answers = 0;
    /// Failures, and slow answers (answer_speed.hpp).
    std::uint64_t failing_answers = 0;
    std::uint64_t unanswered = 0; ///< Their callers left before an answer was due.
    std::uint64_t sent = 0;       ///< Including those that are in flight or were rejected.
    /// They count since the start of the rollout with this order; 0 if since the start of the process, as in
    /// the reports of earlier builds.
    std::uint64_t order_version = 0;
    bool has_judged = false;  ///< The fields below are known; reports of earlier builds lack them.
    std::uint64_t judged = 0; ///< Requests that reached their age of judgement (rollout_evidence.hpp).
    std::uint64_t judged_failing = 0; ///< Of these, failing or without an answer.
    std::uint64_t unjudged = 0;       ///< Requests that have not reached it.
};

/// Progress of a running rollout at one instance, or combined over the instances of a failure domain.
struct rollout_progress {
    std::string service{};
    std::uint64_t order_version = 0;
    duration elapsed{};              ///< Since any instance first received the order.
    double share = 0;                ///< Smallest share of traffic that the new version gets at any instance.
    bool stopped = false;            ///< The new version was found to be failing; never reset.
    std::uint32_t old_in_flight = 0; ///< Requests at targets of other versions.
};

/// Request rate of one customer.
struct customer_demand {
    std::string customer{};
    float per_s = 0;
};

/// Requests in flight at one target.
struct target_in_flight {
    std::string target{};
    std::uint32_t requests = 0;
};

/// What an instance reaches of the targets.
struct target_access {
    std::vector<std::string> unreachable_services{}; ///< Those of which it reaches no target.
    bool reaches_any = true;                         ///< False if these are all services.
};

/// Location and addresses of an instance.
struct instance_contact {
    std::string name{};
    std::string failure_domain{};
    std::string region{};
    std::string front_address{};
    std::string peer_address{};
    std::uint32_t link_mbps = 0;      ///< As in instance_identity.
    std::uint32_t cpu_millicores = 0; ///< As in instance_identity.
    std::string relay_address{};      ///< As in instance_identity.
    target_access access{};           ///< As in instance_status.
};

/// Load and rollout progress of one instance, or summed over the instances of a failure domain.
struct load_report {
    std::vector<customer_demand> demands{};
    std::vector<target_in_flight> in_flight{};
    std::vector<rollout_progress> rollouts{};
    std::vector<version_counts> counts{};
    float requests_per_s = 0; ///< Received from callers.
    std::vector<target_notice> notices{};
    /// One entry about once a second where usage is reported; else empty. Not part of sums of reports.
    std::vector<usage_news> usage{};
};

/// Replication position of each collection, indexed by `collection`.
using record_positions = std::array<record_position, collection_count>;

/// Status that an instance sends to the other instances of its failure domain several times a second.
struct instance_status {
    instance_identity identity{};
    std::uint64_t sequence = 0; ///< Increases with each status of one incarnation.
    bool leaving = false;       ///< The instance is shutting down.
    bool reads_store = true;    ///< False while the store is unreachable from this instance.
    record_positions positions{};
    load_report load{};
    std::vector<instance_contact>
        contacts{};                      ///< Instances of the failure domain that it receives statuses from.
    std::vector<crash_report> crashes{}; ///< News, and at times all that the sender knows.
    target_access access{};
};

/// Summary that the delegate of a failure domain sends to the other failure domains.
struct domain_summary {
    std::string failure_domain{};
    std::string region{};
    std::string delegate{};     ///< "name/incarnation" of the instance that created the summary.
    std::uint64_t sequence = 0; ///< Increases with each summary of one delegate.
    bool relayed = false;       ///< Forwarded within the receiver's failure domain.
    bool reads_store = true;    ///< False while the store is unreachable from the delegate.
    record_positions positions{};
    load_report load{};
    std::vector<instance_contact> members{}; ///< Alive and not leaving.
    std::vector<crash_report> crashes{};     ///< As in instance_status.
};

/// Timeouts of fleet membership.
struct fleet_tuning {
    /// An instance without a status for this long is not alive; equals six missed statuses.
    duration status_timeout = std::chrono::milliseconds(1300);
    /// A failure domain without a summary for this long is not alive. Exceeds the status timeout, since a new
    /// delegate takes over only after that.
    duration summary_timeout = std::chrono::milliseconds(3000);
    /// An instance counts as possibly running for this long after its last message. The longer time applies
    /// while this instance receives from less than half of the fleet, since it may then be the isolated one.
    duration member_retention = std::chrono::seconds(20);
    duration isolated_member_retention = std::chrono::seconds(60);
};

/// Highest rate of the last seconds: rises at once, and decays exponentially.
struct peak_rate {
    double per_s = 0;
    time_point updated_at{};
};

/// Membership as seen by this instance. Used only by the control thread.
struct fleet {
    bool own_reads_store = true; ///< False while the store is unreachable from this instance.
    target_access own_access{};
    struct member {
        instance_status status;
        time_point last_received{};
        bool was_alive = false; ///< At the last check for changes.
    };
    struct domain {
        domain_summary summary;
        time_point last_received{};
        bool was_alive = false;
    };
    fleet_tuning tuning;
    instance_identity own{};
    std::map<std::string, member> members{}; ///< Other instances of the own failure domain, by name.
    std::map<std::string, domain> domains{}; ///< The other failure domains, by name.
    std::map<std::string, time_point>
        last_seen{}; ///< Last time that another instance was received or listed, by name.
    /// Request rates by failure domain; each the highest of the last seconds, so that the selection of front
    /// instances changes seldom.
    std::map<std::string, peak_rate> request_rates{};
};

/// Updates a rate with the current one.
void update_peak_rate(peak_rate& rate, double per_s, time_point now);

/// @return the rate at @p now.
double peak_rate_at(const peak_rate& rate, time_point now);

/// Stores the status of an instance of the own failure domain.
/// @return false if it is not newer than the stored one.
bool on_status_received(fleet& peers, instance_status status, time_point now);

/// Stores the summary of another failure domain.
/// @return false if it is not newer than the stored one.
bool on_summary_received(fleet& peers, domain_summary summary, time_point now);

/// Counts registered instances as possibly running even if no message from them was received yet.
/// @param registered contacts from the store or from a peer.
void on_contacts_registered(fleet& peers, std::span<const instance_contact> registered, time_point now);

/// Instances to which a delegate announces its failure domain: one instance of each other failure domain that
/// is not alive. Without this, two failure domains that never received from each other would never start to.
/// @param round selects another instance of each failure domain as it increases.
std::vector<instance_contact> unreachable_domain_contacts(const fleet& peers,
                                                          std::span<const instance_contact> registered,
                                                          std::uint64_t round, time_point now);

/// Removes instances and failure domains whose retention time has passed.
/// @return peer addresses of the removed instances of the own failure domain.
std::vector<std::string> remove_silent(fleet& peers, time_point now);

bool is_alive(const fleet& peers, const fleet::member& member, time_point now);
bool is_alive(const fleet& peers, const fleet::domain& domain, time_point now);

/// @return the statuses of the other instances of the own failure domain that are alive and not leaving.
std::vector<const instance_status*> live_statuses(const fleet& peers, time_point now);

/// @return the instance as a source of the orders.
record_source source_of(const instance_identity& identity, const record_positions& positions);

/// @return the other live instances of the own failure domain.
std::vector<record_source> live_sources(const fleet& peers, const record_requests& pending, time_point now);

/// @return the summaries of the other failure domains that are alive.
std::vector<const domain_summary*> live_summaries(const fleet& peers, time_point now);

/// @return number of live instances, this one included.
std::size_t live_instances(const fleet& peers, time_point now);

/// @return number of instances that may be running, this one included; at least the number of live ones.
std::size_t possible_instances(const fleet& peers, time_point now);

/// @return whether at least half of the other instances in `last_seen` are alive.
bool sees_half_of_fleet(const fleet& peers, time_point now);

/// @return whether this instance is the delegate of its failure domain. Two instances may briefly
/// act as delegates, which does no harm.
bool is_domain_delegate(const fleet& peers, time_point now);

/// @return whether this instance polls the store for its region.
bool is_store_reader(const fleet& peers, time_point now);

/// @return number of live instances that precede this one in the rendezvous hashing order of the task
/// @p name; 0 if the task is assigned to this instance.
std::size_t assignment_rank(const fleet& peers, std::string_view name, time_point now);

/// Instances to which tasks of the request path are assigned: the live ones with the strongest processors,
/// since callers are sent to these first.
struct task_candidates {
    bool has_own = true;                 ///< This instance is one of them.
    std::vector<std::uint64_t> others{}; ///< Hashed names, sorted.
    bool operator==(const task_candidates&) const = default;
};

task_candidates live_candidates(const fleet& peers, time_point now);

/// @return number of candidates that precede this instance in the rendezvous hashing order of the task @p
/// name; empty if it is no candidate.
std::optional<std::size_t> candidate_rank(const fleet& peers, const task_candidates& candidates,
                                          std::string_view name);

/// Rendezvous hashing of many tasks over one list of candidates.
/// @param candidates from live_candidates.
/// @return whether the task @p name is assigned to this instance.
bool is_assigned(const fleet& peers, const task_candidates& candidates, std::string_view name);

/// @return peer address of the rate owner of @p customer in the own failure domain, one of the live instances
/// with the strongest processors; empty if it is this instance.
std::string find_rate_owner(const fleet& peers, std::string_view customer, time_point now);

/// Delay after the start before an instance without records reads the store itself. Designed for a fleet that
/// starts all at once: the strongest instances, to which callers are sent first, read at once, and the others
/// mostly receive the records from them, so that the calls to the store do not grow with the fleet.
duration startup_read_delay(const instance_identity& own);

/// @return the contact of @p identity, without its access to the targets.
instance_contact contact_of(const instance_identity& identity);

/// @return the contact of the instance that sent @p status.
instance_contact contact_of(const instance_status& status);

/// @return the other live instances that take requests from this one.
std::vector<next_hop> live_next_hops(const fleet& peers, time_point now);

/// @return the members of another failure domain in the order in which they are selected as its delegate.
std::vector<instance_contact> ranked_delegates(const domain_summary& summary);

/// @return the summary of the own failure domain, from the live statuses and the own one.
domain_summary make_summary(const fleet& peers, const instance_status& own, std::uint64_t sequence,
                            time_point now);

/// @return the sum of the reports of the other instances in the own failure domain and of the other domains.
load_report sum_of_peer_reports(const fleet& peers, time_point now);

/// @return the requests per second of the callers of the own failure domain.
double own_domain_requests_per_s(const fleet& peers, const load_report& own, time_point now);

/// @return front addresses for callers in @p domain, of its live instances, else of those in @p region, else
/// of all; among these as selected by select_fronts. Instances that reach no target are left out, unless
/// there are no others.
/// @param own_is_ready whether this instance is included.
std::vector<std::string> front_addresses_for(const fleet& peers, std::string_view region,
                                             std::string_view domain, bool own_is_ready, time_point now);

} // namespace camphorknot::steering
