/// @file
/// State of membership in one instance. Users go through the functions of membership.hpp.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "camphorknot/membership/settings.hpp"

namespace camphorknot {
namespace internal {

/// What is known of one instance address other than the own one.
struct member_entry {
    member_record record;
    bool known = false;                 ///< False: only named by the platform's list or the settings.
    incarnation newest_incarnation = 0; ///< Highest incarnation seen in any message or record.
    time_point changed{};               ///< When the incarnation or its state last changed here.
    time_point epoch_heard{};           ///< When the ticket epoch was last heard.
    std::uint64_t epoch_base = 0;       ///< The ticket epoch that was heard then.
};

enum class probe_kind : std::uint8_t {
    contact, ///< Own ping; its answer may count towards authority.
    helper,  ///< A peer was asked to probe; its answer only shows that the subject lives.
    relayed, ///< Ping on behalf of a peer.
};

/// A probe without an answer so far.
struct pending_probe {
    probe_kind kind = probe_kind::contact;
    instance_id subject;
    incarnation number = 0;
    region_id region;
    time_point sent{};
    bool overdue = false;
    instance_id requester; ///< Of a relayed probe.
    std::uint64_t requester_sequence = 0;
};

/// A peer that did not answer a probe.
struct suspicion {
    incarnation number = 0;
    time_point since{};
    time_point next_probe{};
};

/// Contact with one region.
struct region_contact {
    time_point next_ping{};
    std::optional<time_point> acknowledged;  ///< Sending time of the newest acknowledged ping.
    std::optional<time_point> settled_peer;  ///< Last equal facts digest from a settled instance there.
    std::optional<time_point> any_peer;      ///< Last equal facts digest from any instance there.
    std::optional<time_point> differs_since; ///< Since when no digests from there were equal.
    bool clean = false; ///< An acknowledgement named no fenced incarnation of this address.
};

/// Acknowledgements of one fenced incarnation that this instance collects.
struct fencing {
    incarnation number = 0;
    std::map<instance_id, incarnation> acknowledged;
    time_point next_notice{};
    std::optional<time_point> closed_since; ///< Since when a majority of regions is closed to it.
};

/// Every safety mechanism can be switched off, so that a test can show what breaks without it.
struct mechanism_switches {
    bool age_from_sending = true;
    bool drift_margin = true;
    bool every_instance_acknowledges = true;
    bool fenced_number_in_ack = true;
    bool newest_number_in_fence_ack = true;
    bool settle_before_acknowledging = true;
};

/// How often each mechanism acted; the randomised runs and the metrics print it.
struct mechanism_counters {
    std::uint64_t pings = 0;
    std::uint64_t contact_refused = 0; ///< Pings answered without giving contact.
    std::uint64_t late_contact = 0;    ///< Acknowledgements older than the authority term.
    std::uint64_t suspicions = 0;
    std::uint64_t suspicions_refuted = 0;
    std::uint64_t indirect_answers = 0;
    std::uint64_t fences_raised = 0;
    std::uint64_t fence_reopened = 0; ///< A closed majority that reopened before the wait ended.
    std::uint64_t fence_given_up = 0; ///< A fence_ack named a newer incarnation.
    std::uint64_t proofs = 0;
    std::uint64_t renumbered = 0;
    std::uint64_t unsettled = 0;
    std::uint64_t settled_by_majority = 0;
    std::uint64_t settled_without_settled_peer = 0;
    std::uint64_t full_pulls = 0;
    std::uint64_t pauses_noticed = 0;
};

/// Names of the counters, for metrics and the randomised runs.
inline constexpr std::array<std::pair<std::uint64_t mechanism_counters::*, std::string_view>, 16>
    mechanism_counter_names = {{
        {&mechanism_counters::pings, "pings"},
        {&mechanism_counters::contact_refused, "contact_refused"},
        {&mechanism_counters::late_contact, "late_contact"},
        {&mechanism_counters::suspicions, "suspicions"},
        {&mechanism_counters::suspicions_refuted, "suspicions_refuted"},
        {&mechanism_counters::indirect_answers, "indirect_answers"},
        {&mechanism_counters::fences_raised, "fences_raised"},
        {&mechanism_counters::fence_reopened, "fence_reopened"},
        {&mechanism_counters::fence_given_up, "fence_given_up"},
        {&mechanism_counters::proofs, "proofs"},
        {&mechanism_counters::renumbered, "renumbered"},
        {&mechanism_counters::unsettled, "unsettled"},
        {&mechanism_counters::settled_by_majority, "settled_by_majority"},
        {&mechanism_counters::settled_without_settled_peer, "settled_without_settled_peer"},
        {&mechanism_counters::full_pulls, "full_pulls"},
        {&mechanism_counters::pauses_noticed, "pauses_noticed"},
    }};

} // namespace internal

/// State of membership in one instance.
///
/// @code
/// auto members = make_membership(settings, now);
/// tick(*members, now, out);
/// bool may_serve = has_authority(*members, now);
/// @endcode
struct membership {
    membership_settings settings; ///< settings.self is the own record as it is now.
    random_source random;
    std::uint64_t next_sequence = 0;
    std::map<instance_id, internal::member_entry> members; ///< Without this instance.
    std::map<region_id, internal::region_contact> regions;
    std::map<region_id, std::vector<instance_id>> peers; ///< Live peers by region; rebuilt when stale.
    bool peers_stale = true;
    mutable std::vector<member_record> live;
    mutable bool live_stale = true;

    std::set<fact> facts;
    std::map<instance_id, incarnation> fenced; ///< Highest fenced incarnation of each address.
    std::uint64_t facts_digest = 0;
    std::uint64_t records_digest = 0;
    std::map<instance_id, unsigned> record_rumors; ///< Changed records and how often each was sent.
    std::map<fact, unsigned> fact_rumors;
    std::deque<std::pair<time_point, fact>> recent_facts; ///< Learned within the last seconds.

    std::map<std::uint64_t, internal::pending_probe> probes;
    std::map<instance_id, internal::suspicion> suspicions;
    std::map<instance_id, internal::fencing> fencings;
    std::set<instance_id> unproved; ///< Fenced members that are not proved stopped.

    bool settled = false;
    time_point settled_at{};
    time_point unsettled_since{};
    std::optional<time_point> heard_settled; ///< Last message from a settled peer.
    bool pulled_all = false;                 ///< Both digests equalled a peer's since this incarnation began.
    bool pulling = false;                    ///< Changes being merged come from a pull and do not spread.
    bool fenced_named = false; ///< An acknowledgement named a fenced incarnation of this address.
    bool alone = true;         ///< No other instance of the own region may act; becomes true with a delay.
    bool left = false;

    time_point last_tick{};
    time_point next_gossip{};
    time_point next_far_gossip{};
    time_point next_lost_gossip{};
    time_point next_near_digest{};
    time_point next_pull{};
    time_point next_fencing_review{};
    time_point next_sweep{};
    time_point next_version_event{};
    std::vector<membership_event> events;
    internal::mechanism_switches switches;
    internal::mechanism_counters counters;
};

} // namespace camphorknot
