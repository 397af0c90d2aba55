/// @file
/// The other instances: what they last said, which are alive, which one a duty falls to, and which ones
/// callers are told to use.
///
/// Instances of one failure domain tell each other their status several times a second. One of them, the
/// speaker, tells the other failure domains a summary, so that the messages of an instance do not grow with
/// the fleet.
#pragma once

#include <span>

#include "camphorknot/steering/model.hpp"
#include "camphorknot/steering/record_book.hpp"

namespace camphorknot::steering {

/// Outcomes of the requests to one version of a service, on one route, since the start of a process.
struct version_counts {
    std::string service{};
    std::string version{};
    std::string route{};
    std::uint64_t answers = 0;
    std::uint64_t failing_answers = 0; ///< Failures and answers that took several times as long as usual.
};

/// What is known of a rollout that is under way, by one instance or by all of a failure domain.
struct rollout_progress {
    std::string service{};
    std::uint64_t order_version = 0;
    duration elapsed{};              ///< Since the order was first seen by anyone.
    double share = 0;                ///< Least part of the traffic that the new version gets at an instance.
    bool stopped = false;            ///< The version was found bad; never taken back.
    std::uint32_t old_in_flight = 0; ///< Requests at targets of other versions.
};

struct customer_demand {
    std::string customer{};
    float per_s = 0;
};

struct target_in_flight {
    std::string target{};
    std::uint32_t requests = 0;
};

/// How an instance is reached.
struct instance_contact {
    std::string name{};
    std::string failure_domain{};
    std::string region{};
    std::string front_address{};
    std::string peer_address{};
    std::uint32_t link_mbps = 0; ///< As in its identity.
};

/// Requests and rollouts, of one instance or summed over those of a failure domain.
struct load_report {
    std::vector<customer_demand> demands{};
    std::vector<target_in_flight> in_flight{};
    std::vector<rollout_progress> rollouts{};
    std::vector<version_counts> counts{};
};

using record_positions = std::array<record_position, collection_count>;

/// What an instance tells those of its failure domain, a few times a second.
struct instance_status {
    instance_identity identity{};
    std::uint64_t sequence = 0;
    bool leaving = false;
    bool reads_store = true; ///< False while the store does not answer this instance.
    record_positions positions{};
    load_report load{};
    std::vector<instance_contact> contacts{}; ///< Those of the failure domain that it hears.
};

/// What the speaker of a failure domain tells the others.
struct domain_summary {
    std::string failure_domain{};
    std::string region{};
    std::string delegate{};     ///< Name and incarnation of the instance that made it.
    std::uint64_t sequence = 0; ///< Increases with each summary of a speaker.
    bool relayed = false;       ///< It was passed on within the receiver's failure domain.
    bool reads_store = true;    ///< False while the store does not answer the speaker.
    record_positions positions{};
    load_report load{};
    std::vector<instance_contact> members{}; ///< Live and not leaving.
};

struct fleet_tuning {
    /// Without a status for this long an instance counts as away: six missed statuses.
    duration status_timeout = std::chrono::milliseconds(1300);
    /// Without a summary for this long a failure domain counts as away: a new speaker needs status_timeout to
    /// start.
    duration summary_timeout = std::chrono::milliseconds(3000);
    /// An instance that was heard in this time counts as one that may still run; for longer while most are
    /// not heard, since then this instance may be the one that is cut off.
    duration member_retention = std::chrono::seconds(20);
    duration isolated_member_retention = std::chrono::seconds(60);
};

/// Belongs to the control thread.
struct fleet {
    bool own_reads_store = true;
    struct member {
        instance_status status;
        time_point last_received{};
        bool was_alive = false;
    };
    struct domain {
        domain_summary summary;
        time_point last_received{};
        bool was_alive = false;
    };
    fleet_tuning tuning;
    instance_identity own{};
    std::map<std::string, member> members{};       ///< Of the own failure domain, by name.
    std::map<std::string, domain> domains{};       ///< The others, by failure domain.
    std::map<std::string, time_point> last_seen{}; ///< All instances heard of lately, by name.
};

/// @return false if the status is not newer than the known one.
bool on_status_received(fleet& known, instance_status status, time_point now);

/// @return false if the summary is not newer than the known one.
bool on_summary_received(fleet& known, domain_summary summary, time_point now);

/// Counts instances that the store or a peer names, and that were not heard yet, as ones that may be running.
void on_contacts_registered(fleet& known, std::span<const instance_contact> registered, time_point now);

/// Instances to which a speaker introduces its failure domain, one of each other failure domain that is not
/// heard: without this, two failure domains of which neither hears the other would never begin to.
/// @param round picks another instance of each failure domain as it increases.
std::vector<instance_contact> unreachable_domain_contacts(const fleet& known,
                                                          std::span<const instance_contact> registered,
                                                          std::uint64_t round, time_point now);

/// Forgets instances and failure domains that were not heard for long.
/// @return peer addresses of the forgotten instances of the own failure domain.
std::vector<std::string> remove_silent(fleet& known, time_point now);

bool is_alive(const fleet& known, const fleet::member& member, time_point now);
bool is_alive(const fleet& known, const fleet::domain& domain, time_point now);

/// @return the statuses of the own failure domain that are alive and not leaving, without the own one.
std::vector<const instance_status*> live_statuses(const fleet& known, time_point now);

/// @return the summaries of the other failure domains that are alive.
std::vector<const domain_summary*> live_summaries(const fleet& known, time_point now);

/// @return number of live instances, this one included.
std::size_t live_instances(const fleet& known, time_point now);

/// @return number of instances that may be running, this one included.
std::size_t possible_instances(const fleet& known, time_point now);

/// @return whether this instance hears at least half of the instances that were heard of lately.
bool sees_half_of_fleet(const fleet& known, time_point now);

/// @return whether this instance speaks for its failure domain. Two may for a moment, which does no harm.
bool is_domain_delegate(const fleet& known, time_point now);

/// @return whether this instance reads the store for its region.
bool is_store_reader(const fleet& known, time_point now);

/// @return how many live instances stand before this one in the order for the duty @p name; 0 if it has the
/// duty.
std::size_t assignment_rank(const fleet& known, std::string_view name, time_point now);

/// @return the other live instances as candidates for duties, sorted, so that two results can be compared.
std::vector<std::uint64_t> live_candidates(const fleet& known, time_point now);

/// @param candidates from live_candidates; for many duties at once.
/// @return whether this instance has the duty @p name, as assignment_rank does with 0.
bool is_assigned(const fleet& known, std::span<const std::uint64_t> candidates, std::string_view name);

/// @return peer address of the instance of the own failure domain that keeps the rate of @p customer; empty
/// if it is this one.
std::string find_rate_owner(const fleet& known, std::string_view customer, time_point now);

/// @return how @p identity is reached.
instance_contact contact_of(const instance_identity& identity);

/// @return the members of another failure domain in the order in which they become its speaker.
std::vector<instance_contact> ranked_delegates(const domain_summary& summary);

/// @return the own failure domain's summary, as of the statuses heard.
domain_summary make_summary(const fleet& known, const instance_status& own, std::uint64_t sequence,
                            time_point now);

/// @return the sum of the others' reports: the own failure domain's instances and the other domains.
load_report sum_of_peer_reports(const fleet& known, time_point now);

/// @return addresses for callers in @p domain: the live instances there, else in @p region, else all.
std::vector<std::string> front_addresses_for(const fleet& known, std::string_view region,
                                             std::string_view domain, bool own_is_ready, time_point now);

} // namespace camphorknot::steering
