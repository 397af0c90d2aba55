/// @file
/// Messages between daemons as plain structs. The transport package encodes and decodes them.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Version of the protocol between daemons; messages of any other version are refused.
inline constexpr std::uint32_t protocol_version = 1;

/// Keyed hash of a customer's key (HMAC-SHA256 under the fleet secret).
using key_hash = std::array<std::uint8_t, 32>;

/// State of a member as recorded by its peers.
enum class member_state : std::uint8_t { alive, suspect, leaving, fenced, left };

/// One incarnation of an instance.
struct member_record {
    instance_id instance;
    incarnation number = 0;
    member_state state = member_state::alive;
    region_id region;
    failure_domain_id failure_domain;
    std::string peer_address;        ///< "ip:port" for messages between daemons.
    std::string traffic_address;     ///< "ip:port" for callers.
    std::uint64_t process_nonce = 0; ///< Random; distinguishes processes on one address.
    std::uint64_t ticket_epoch = 0;  ///< Current epoch of its operation ledger; 0 if not received yet.
    std::uint64_t configuration_version = 0; ///< Version in force there.
    bool has_authority = false;              ///< As last reported by the instance; a hint for look-ups.
};

/// Kinds of facts. The set of facts only grows: every instance may add one, and all instances merge them.
enum class fact_kind : std::uint8_t {
    key_revoked,
    version_stopped,
    target_leaving,
    instance_leaving,
    incarnation_fenced
};

/// A fact that spreads by gossip and is never withdrawn. The kind defines the meaning of its fields.
struct fact {
    fact_kind kind{};
    std::uint64_t subject = 0; ///< version_id, target_id or instance_id; 0 for key_revoked.
    /// Incarnation for incarnation_fenced and instance_leaving, service_id for version_stopped, else 0.
    std::uint64_t detail = 0;
    key_hash key{}; ///< Only for key_revoked.
    // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
    friend auto operator<=>(const fact&, const fact&) = default; // NOLINT(modernize-use-nullptr)
};

/// Direct probe. If it is acknowledged, the sender's authority is extended from the time it sent this.
struct ping {
    std::uint64_t sequence = 0;
};

/// Answer to a ping.
struct ping_ack {
    std::uint64_t sequence = 0;
    /// Region of the answering instance. Zero if it is alive but this answer must not extend the receiver's
    /// authority.
    region_id region;
    /// Highest fenced incarnation recorded for the receiver's address; 0 for none.
    incarnation fenced_incarnation = 0;
    std::uint64_t configuration_version = 0; ///< In force at the answering instance.
    std::uint64_t ticket_epoch = 0;          ///< Of the answering instance.
};

/// Asks the receiver to probe @c subject on behalf of the sender.
struct indirect_ping {
    std::uint64_t sequence = 0;
    instance_id subject;
};

/// Recent changes of the gossiped state and digests of all of it.
struct gossip {
    std::vector<member_record> records;
    std::vector<fact> facts;
    std::uint64_t records_digest = 0;
    std::uint64_t facts_digest = 0;
    std::uint64_t configuration_version = 0;
    duration reader_age{}; ///< Time since a store reader last confirmed the configuration version.
    /// The receiver must send its full state; in a reply, only if the digests still differ.
    bool requests_full_state = false;
    bool is_reply = false; ///< Answers a gossip message.
    bool settled = false;  ///< The sender has the facts of a majority of regions (docs/design.md, 2.9).
};

/// Requests configuration changes from a peer.
struct change_request {
    std::uint64_t after_version = 0; ///< All changes with a higher version are requested.
};

/// One accepted configuration change, as in the table row "config/change/<version>".
struct encoded_change {
    std::uint64_t version = 0;
    std::string text; ///< JSON of configuration_change.
};

/// Answer to a change_request.
struct change_reply {
    std::vector<encoded_change> changes;
};

/// Amount of a budget in thousandths of a request (rate, in flight) or of a kilobyte (link).
struct budget_amount {
    std::int64_t rate_per_second = 0; ///< Thousandths per second; 0 for in-flight budgets.
    std::int64_t burst = 0;           ///< Thousandths; for in-flight budgets the number of permits.
    std::int64_t tokens = 0;          ///< Thousandths handed over with the loan; never above burst.
    friend auto operator<=>(const budget_amount&, const budget_amount&) = default;
};

/// Requests a loan from an instance that owns part of a budget, or renews it.
struct loan_request {
    /// Chosen by the borrower, unique per incarnation; a request with the number of an earlier loan renews
    /// it.
    std::uint64_t loan = 0;
    budget_id budget;
    budget_amount wanted;
    duration term{};
    std::uint32_t round = 0; ///< Counts the requests for this loan; the grant contains the same value.
};

/// Whether the lender recalls the loan before its term ends.
enum class loan_recall : std::uint8_t {
    none,
    if_unused, ///< Another borrower requests it; return it unless it is in use.
    always,    ///< The lender needs the amount itself; return it.
};

/// Answer to a loan_request, or the recall of a loan.
struct loan_grant {
    std::uint64_t loan = 0;
    budget_id budget;
    budget_amount granted; ///< All zero when nothing is granted.
    duration term{};       ///< Starts when the borrower sent the request with this round.
    std::uint32_t round = 0;
    loan_recall recall = loan_recall::none; ///< If set, the message grants nothing.
};

/// Ends a loan early. The borrower has deducted the amount before it sends this.
struct loan_return {
    std::uint64_t loan = 0;
    budget_id budget;
    budget_amount returned;
};

/// Amounts that instances can lend, for borrowers that choose a lender.
struct spare_report {
    struct entry {
        budget_id budget;
        instance_id owner; ///< Instance that can lend: the sender, or another owner that it passes on.
        std::int64_t spare_rate_per_second = 0;
        std::int64_t spare_burst = 0;
    };
    std::vector<entry> entries;
};

/// Asks the receiver to stop acknowledging pings of an incarnation.
struct fence_notice {
    instance_id subject;
    incarnation number = 0;
};

/// Answer to a fence_notice: the sender no longer acknowledges pings of the incarnation.
struct fence_ack {
    instance_id subject;
    incarnation number = 0;
    region_id region;
    /// Highest incarnation that the answering instance has seen at the subject's address.
    incarnation newest_incarnation = 0;
};

/// Set of instances that a report sums up.
enum class count_scope : std::uint8_t { instance, region, fleet };

/// Outcome counts per route and version, cumulative for one step of a move.
struct rollout_counts {
    struct entry {
        move_id move;
        route_id route;
        version_id version;       ///< The move's new version; zero for all other versions together.
        std::uint32_t window = 0; ///< Step of the move.
        std::uint64_t requests = 0;
        std::uint64_t failures = 0;
        std::uint64_t timed = 0; ///< Successes whose latency was compared.
        std::uint64_t slow = 0;  ///< Slower than the old version's p90 on the same route and size class.
    };
    count_scope scope = count_scope::instance;
    region_id region; ///< Summed-up region, for count_scope::region.
    std::vector<entry> entries;
};

/// Requests in flight to the targets of a drain. Each instance reports to one instance of its region, which
/// sends the region's sum to the instance that advances the drain.
struct drain_report {
    move_id move;
    count_scope scope = count_scope::instance;
    region_id region; ///< Region of the sender.
    std::uint64_t in_flight = 0;
};

/// Sent by an instance that stops; from then on it uses no allocation of any budget.
struct leave {};

using peer_message = std::variant<ping, ping_ack, indirect_ping, gossip, change_request, change_reply,
                                  loan_request, loan_grant, loan_return, spare_report, fence_notice,
                                  fence_ack, rollout_counts, leave, drain_report>;

/// A message with its sender and receiver.
struct envelope {
    instance_id from;
    incarnation from_incarnation = 0;
    instance_id to;
    peer_message body;
};

/// Messages to send; the state machines append to it.
using outbox = std::vector<envelope>;

} // namespace camphorknot
