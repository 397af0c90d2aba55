/// @file
/// Messages between daemons as plain structs. The transport package encodes them; the decisions never see
/// bytes.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// Version of the protocol between daemons; a peer with another one is refused.
inline constexpr std::uint32_t protocol_version = 1;

/// Keyed hash of a customer's key (HMAC-SHA256 under the fleet secret).
using key_hash = std::array<std::uint8_t, 32>;

/// State of a member as its peers see it.
enum class member_state : std::uint8_t { alive, suspect, leaving, fenced, left };

/// One incarnation of an instance.
struct member_record {
    instance_id instance;
    incarnation number = 0;
    member_state state = member_state::alive;
    region_id region;
    failure_domain_id failure_domain;
    std::string peer_address;    ///< "ip:port" for messages between daemons.
    std::string traffic_address; ///< "ip:port" for callers.
    std::uint64_t process_nonce = 0;
    std::uint64_t ticket_epoch = 0;
    std::uint64_t configuration_version = 0; ///< Version in force there, which shows who lags.
    bool has_authority = false;              ///< As the instance itself last said; a hint for look-ups.
};

/// Kinds of facts that only grow; every instance may raise one and all instances join them.
enum class fact_kind : std::uint8_t {
    key_revoked,
    version_stopped,
    target_leaving,
    instance_leaving,
    incarnation_fenced
};

/// A merging fact. The subject's meaning depends on the kind.
struct fact {
    fact_kind kind{};
    std::uint64_t subject =
        0; ///< version_id, target_id or instance_id; 0 for a key.
           /// incarnation for incarnation_fenced and instance_leaving; service_id for version_stopped.
    std::uint64_t detail = 0;
    key_hash key{}; ///< Only for key_revoked.
    // The linter takes the zero in rewritten comparisons for a null pointer.
    friend auto operator<=>(const fact&, const fact&) = default; // NOLINT(modernize-use-nullptr)
};

/// Direct probe; the sender counts its authority from the time it sent this.
struct ping {
    std::uint64_t sequence = 0;
};

struct ping_ack {
    std::uint64_t sequence = 0;
    region_id region; ///< Region of the instance that answers; zero: it lives, but gives no contact.
                      /// Highest fenced incarnation known for the receiver's address; 0 for none.
    incarnation fenced_incarnation = 0;
    std::uint64_t configuration_version = 0;
    std::uint64_t ticket_epoch = 0; ///< Of the instance that answers.
};

/// Asks the receiver to probe @c subject for the sender.
struct indirect_ping {
    std::uint64_t sequence = 0;
    instance_id subject;
};

/// Recent changes and a digest of the whole state.
struct gossip {
    std::vector<member_record> records;
    std::vector<fact> facts;
    std::uint64_t records_digest = 0;
    std::uint64_t facts_digest = 0;
    std::uint64_t configuration_version = 0;
    duration reader_age{}; ///< Time since a table reader last confirmed the configuration version.
    bool requests_full_state =
        false; ///< Asks for the full state; in a reply, for it if the digests still differ.
    bool is_reply = false;
    bool settled = false; ///< The sender has pulled the facts of a majority of regions (section 2.9).
};

struct change_request {
    std::uint64_t after_version = 0; ///< Sends all changes with a higher version.
};

/// One accepted configuration change, as in the table row "config/change/<version>".
struct encoded_change {
    std::uint64_t version = 0;
    std::string text; ///< JSON of configuration_change.
};

struct change_reply {
    std::vector<encoded_change> changes;
};

/// Amount of a budget. Thousandths of a request (rate, in flight) or of a kilobyte (link).
struct budget_amount {
    std::int64_t rate_per_second = 0; ///< Thousandths per second; 0 for budgets that count what is in flight.
    std::int64_t burst = 0;           ///< Thousandths; for in-flight budgets the number of permits.
    std::int64_t tokens = 0;          ///< Thousandths handed over with the loan; never above burst.
    friend auto operator<=>(const budget_amount&, const budget_amount&) = default;
};

struct loan_request {
    std::uint64_t loan = 0; ///< Chosen by the borrower, unique per incarnation; repeating it renews the loan.
    budget_id budget;
    budget_amount wanted;
    duration term{};
    std::uint32_t round = 0; ///< Counts the requests for this loan; the grant repeats it.
};

/// Whether the lender asks for the loan to be returned before its term ends.
enum class loan_recall : std::uint8_t {
    none,
    if_unused, ///< Another borrower asks; return it unless it is needed.
    always,    ///< The lender needs it itself.
};

struct loan_grant {
    std::uint64_t loan = 0;
    budget_id budget;
    budget_amount granted; ///< All zero when nothing is granted.
    duration term{};       ///< Counted by the borrower from the sending of the request with this round.
    std::uint32_t round = 0;
    loan_recall recall = loan_recall::none; ///< If set, the message grants nothing.
};

/// Ends a loan early; the borrower deducted the amount before sending this.
struct loan_return {
    std::uint64_t loan = 0;
    budget_id budget;
    budget_amount returned;
};

/// What an instance could lend, for the instances that choose a lender.
struct spare_report {
    struct entry {
        budget_id budget;
        instance_id owner; ///< Who can lend; the sender, or another owner that the sender knows of.
        std::int64_t spare_rate_per_second = 0;
        std::int64_t spare_burst = 0;
    };
    std::vector<entry> entries;
};

/// Asks the receiver to stop acknowledging pings of the incarnation.
struct fence_notice {
    instance_id subject;
    incarnation number = 0;
};

struct fence_ack {
    instance_id subject;
    incarnation number = 0;
    region_id region;
    /// Highest incarnation that the answering instance has seen at the address.
    incarnation newest_incarnation = 0;
};

/// What the entries of rollout_counts sum up.
enum class count_scope : std::uint8_t { instance, region, fleet };

/// Outcome counts per route and version, cumulative for one step of a move.
struct rollout_counts {
    struct entry {
        move_id move;
        route_id route;
        version_id version;       ///< The move's new version; zero for all others together.
        std::uint32_t window = 0; ///< Step of the move.
        std::uint64_t requests = 0;
        std::uint64_t failures = 0;
        std::uint64_t timed = 0; ///< Successes whose latency was compared.
        std::uint64_t slow = 0;  ///< Slower than the old version's p90 on the same route and size class.
    };
    count_scope scope = count_scope::instance;
    region_id region; ///< Region summed up, for count_scope::region.
    std::vector<entry> entries;
};

/// Requests in flight to the targets of a drain. Instances report to one instance of their region, which
/// reports the region's sum to the instance that advances the drain.
struct drain_report {
    move_id move;
    count_scope scope = count_scope::instance;
    region_id region; ///< Region of the sender.
    std::uint64_t in_flight = 0;
};

/// The sender has stopped and uses no allocation of any budget from here on.
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

/// Where the state machines put what is to be sent.
using outbox = std::vector<envelope>;

} // namespace camphorknot
