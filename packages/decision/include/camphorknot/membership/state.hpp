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

/// What this instance stores about one other instance address.
struct member_entry {
    member_record record;
    bool has_record = false;            ///< False: only a contact from the platform's list or the settings.
    incarnation newest_incarnation = 0; ///< Highest incarnation in any message or record received.
    time_point changed_at{};            ///< When the stored incarnation or its state last changed.
    time_point epoch_received_at{};     ///< When the ticket epoch was last received.
    std::uint64_t received_epoch = 0;   ///< The ticket epoch received then.
};

enum class probe_kind : std::uint8_t {
    direct,   ///< Ping of this instance; the acknowledgement may count towards authority.
    indirect, ///< Request to a peer to ping the subject; the answer shows only that the subject is alive.
    relayed,  ///< Ping on behalf of a peer.
};

/// A probe that was not answered yet.
struct pending_probe {
    probe_kind kind = probe_kind::direct;
    instance_id subject;
    incarnation number = 0;
    region_id region;
    time_point sent{};
    bool overdue = false;  ///< The timeout has passed; an answer is still accepted.
    instance_id requester; ///< Peer that requested a relayed probe.
    std::uint64_t requester_sequence = 0;
};

/// A peer that did not answer a probe.
struct suspicion {
    incarnation number = 0;
    time_point since{};
    time_point next_probe{};
};

/// Contact with one region. A contact is a ping whose acknowledgement names the region of the answering
/// instance; it counts towards authority from the time the ping was sent.
struct region_contact {
    time_point next_ping{};
    std::optional<time_point> acked_ping_sent_at; ///< Sending time of the newest contact.
    std::optional<time_point> last_settled_match; ///< Last equal facts digest from a settled instance there.
    std::optional<time_point> last_match;         ///< Last equal facts digest from any instance there.
    std::optional<time_point> digests_differ_since; ///< Since when all digests received from there differ.
    bool reported_no_fence = false; ///< An acknowledgement named no fenced incarnation of this address.
};

/// Acknowledgements of the fence of one incarnation that this instance collects to prove it stopped.
struct fence_collection {
    incarnation number = 0;
    std::map<instance_id, incarnation> acknowledged; ///< Incarnation of each instance that acknowledged.
    time_point next_notice{};
    /// Since when the fenced incarnation gets no acknowledgement of its pings in a majority of regions.
    std::optional<time_point> closed_since;
};

/// Switches of the safety mechanisms. All are on except in tests that show what fails without one of them.
struct mechanism_switches {
    /// Authority counts from the time a ping was sent, not from the receipt of its acknowledgement.
    bool age_from_send_time = true;
    /// A proof waits longer than the authority term, to allow for clock drift.
    bool drift_margin = true;
    /// A region is closed to a fenced incarnation only when all its instances acknowledged the fence.
    bool every_instance_acknowledges = true;
    /// A ping_ack names the highest fenced incarnation of the receiver's address.
    bool fenced_incarnation_in_ack = true;
    /// A fence_ack names the highest incarnation received from the fenced address.
    bool newest_incarnation_in_fence_ack = true;
    /// An instance acknowledges pings as contact only once it is settled.
    bool settle_before_acknowledging = true;
};

/// How often each mechanism took effect; printed by the randomised runs.
struct mechanism_counters {
    std::uint64_t pings = 0;           ///< Pings sent.
    std::uint64_t contact_refused = 0; ///< Pings answered without granting contact.
    std::uint64_t late_contact = 0;    ///< Acknowledgements of pings older than the authority term.
    std::uint64_t suspicions = 0;
    std::uint64_t suspicions_refuted = 0;
    std::uint64_t indirect_answers = 0;    ///< Answers to indirect pings.
    std::uint64_t fences_raised = 0;       ///< Fences that resulted from this instance's suspicions.
    std::uint64_t fence_reopened = 0;      ///< A closed majority of regions reopened before the wait ended.
    std::uint64_t fence_given_up = 0;      ///< A fence_ack named a newer incarnation.
    std::uint64_t proofs = 0;              ///< Incarnations proved stopped by fencing.
    std::uint64_t renumbered = 0;          ///< Changes of this instance's incarnation.
    std::uint64_t unsettled = 0;           ///< Losses of the settled state.
    std::uint64_t settled_by_majority = 0; ///< Settled by settled peers in a majority of regions.
    std::uint64_t settled_without_settled_peer = 0; ///< Settled by equal facts when no peer was settled.
    std::uint64_t full_pulls = 0;                   ///< Full states sent.
    std::uint64_t pauses_noticed = 0;               ///< Gaps between ticks of at least two ping periods.
};

/// Names of the counters in the output of the randomised runs.
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
/// An instance is settled when its facts equal those of a majority of regions. Only a settled instance has
/// authority and acknowledges pings as contact; it stops being settled when its contact lapses.
///
/// @code
/// auto members = make_membership(settings, now);
/// tick(*members, now, out);
/// bool may_serve = has_authority(*members, now);
/// @endcode
struct membership {
    membership_settings settings; ///< settings.self is the current record of this instance.
    random_source random;
    std::uint64_t next_sequence = 0;
    std::map<instance_id, internal::member_entry> members; ///< Without this instance.
    std::map<region_id, internal::region_contact> regions;
    std::map<region_id, std::vector<instance_id>> live_peers; ///< By region; rebuilt when stale.
    bool live_peers_stale = true;
    mutable std::vector<member_record> live_cache; ///< Result of live_members; rebuilt when stale.
    mutable bool live_cache_stale = true;

    std::set<fact> facts;
    std::map<instance_id, incarnation> fenced; ///< Highest fenced incarnation of each address.
    std::uint64_t facts_digest = 0;
    std::uint64_t records_digest = 0;
    /// Members whose changed records are still to be sent, and how often each was sent.
    std::map<instance_id, unsigned> record_rumors;
    std::map<fact, unsigned> fact_rumors; ///< Facts still to be sent, and how often each was sent.
    std::deque<std::pair<time_point, fact>> recent_facts; ///< Facts added recently, with the time.

    std::map<std::uint64_t, internal::pending_probe> probes; ///< By sequence number.
    std::map<instance_id, internal::suspicion> suspicions;
    std::map<instance_id, internal::fence_collection> fence_collections;
    std::set<instance_id> awaiting_stop_proof; ///< Fenced members that are not yet proved stopped.

    bool settled = false;
    time_point settled_at{};
    time_point unsettled_since{};
    std::optional<time_point> last_settled_message; ///< When a settled peer last sent gossip.
    bool has_full_state = false; ///< Both digests equalled a peer's since this instance was last unsettled.
    bool merging_pull = false;   ///< The changes being merged are part of a full state and are not spread.
    bool fence_reported = false; ///< An acknowledgement named a fenced incarnation of this address.
    bool alone_in_region = true; ///< No other instance of this region may be running; set with a delay.
    bool has_left = false;

    time_point last_tick{};
    time_point next_gossip{};
    time_point next_remote_gossip{};
    time_point next_non_live_gossip{};
    time_point next_local_gossip{};
    time_point next_pull{};
    time_point next_fencing_review{};
    time_point next_sweep{};
    time_point next_version_event{};
    std::vector<membership_event> events;
    internal::mechanism_switches switches;
    internal::mechanism_counters counters;
};

} // namespace camphorknot
