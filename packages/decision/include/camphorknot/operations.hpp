/// @file
/// Requests that run at most once: tickets, and operation records in the process that executes them
/// (docs/design.md, section 2.5).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"
#include "camphorknot/operations/operation_ledger.hpp"

namespace camphorknot {

/// Authorises one process to run one request. Its text form holds the fields in hexadecimal and a keyed hash.
///
/// @code
/// ticket issued = issue_ticket(ledger, executing, nonce, epoch, customer, route);
/// std::string text = format_ticket(issued, mac_of(ticket_fields(issued)));
/// @endcode
struct ticket {
    instance_id instance;
    std::uint64_t process_nonce = 0;
    std::uint64_t epoch = 0;
    /// The issuer's nonce mixed with a counter; unique among the tickets of a process.
    std::uint64_t sequence = 0;
    customer_id customer; ///< A ticket is accepted only with a key of the customer that it was issued to.
    route_id route;
};

/// Keyed hash of a ticket's fields. The runtime computes it, so this package needs no cryptography.
using ticket_mac = std::array<std::uint8_t, 16>;

/// @return the ticket's text form, which ends with @p mac.
std::string format_ticket(const ticket& value, const ticket_mac& mac);

/// @return the text that the keyed hash is computed over.
std::string ticket_fields(const ticket& value);

/// Fields and keyed hash of a ticket's text form.
struct parsed_ticket {
    ticket value;
    ticket_mac mac;
};

/// @return the fields of @p text, or nothing if it is malformed. The caller must verify the keyed hash.
std::optional<parsed_ticket> parse_ticket(std::string_view text);

/// What the caller of begin_operation must do next.
enum class operation_step : std::uint8_t {
    run,     ///< Run the operation and call finish_operation exactly once.
    join,    ///< The operation is running; wait for its end.
    repeat,  ///< The operation has ended; answer from the record.
    refused, ///< The operation may not run here; see operation_begin::why.
};

/// Result of begin_operation.
struct operation_begin {
    operation_step step = operation_step::refused;
    refusal why;                      ///< Set if refused.
    outcome ended = outcome::not_run; ///< Set if step is repeat.
    std::uint16_t answer_status = 0;  ///< HTTP status; set if step is repeat and ended is ran.
    std::string answer_body;          ///< Recorded part of the body; set if step is repeat and ended is ran.
    bool body_complete = false;       ///< Whether answer_body is the whole body.
};

/// @return an empty ledger of a process that starts at @p now; epochs are counted from there.
operation_ledger make_operation_ledger(const operation_settings& settings, time_point now);

/// @return the epoch of a ticket issued at @p now; the first epoch is 1.
std::uint64_t current_epoch(const operation_ledger& ledger, time_point now);

/// Issues a ticket for @p executing, which may be another instance; its nonce and epoch come from gossip.
ticket issue_ticket(operation_ledger& issuer, instance_id executing, std::uint64_t process_nonce,
                    std::uint64_t epoch, customer_id customer, route_id route);

/// Handles the first or a repeated presentation of a ticket whose keyed hash has been verified. A refusal has
/// the outcome not_run only if the operation certainly has not run here.
operation_begin begin_operation(operation_ledger& ledger, const ticket& presented, customer_id customer,
                                route_id route, time_point now);

/// Records the end of an operation. After not_run, a later presentation of the ticket may run it again; after
/// ran and unknown it never runs again.
void finish_operation(operation_ledger& ledger, const ticket& presented, outcome ended,
                      std::uint16_t answer_status, std::string_view answer_body, time_point now);

/// Drops the records of tickets that can no longer be accepted.
void tick(operation_ledger& ledger, time_point now);

} // namespace camphorknot
