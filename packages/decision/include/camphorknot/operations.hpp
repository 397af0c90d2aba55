/// @file
/// Requests that run at most once: tickets and the records of the executing process (docs/design.md,
/// section 2.5).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "camphorknot/core.hpp"
#include "camphorknot/operations/operation_ledger.hpp"

namespace camphorknot {

/// Names the one process that may run a request. Travels as text: fields in hexadecimal and a keyed hash.
///
/// @code
/// ticket issued = issue_ticket(ledger, executing, nonce, epoch, customer, route);
/// std::string text = format_ticket(issued, mac_of(ticket_fields(issued)));
/// @endcode
struct ticket {
    instance_id instance;
    std::uint64_t process_nonce = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence =
        0;                ///< The issuer's nonce mixed with a count; differs for each ticket of a process.
    customer_id customer; ///< A ticket works only with a key of the customer that asked for it.
    route_id route;
};

/// Keyed hash of a ticket's fields, supplied by the runtime so that the decisions need no cryptography.
using ticket_mac = std::array<std::uint8_t, 16>;

/// @return the ticket's text form, with @p mac at its end.
std::string format_ticket(const ticket& value, const ticket_mac& mac);

/// @return the text that the keyed hash is computed over.
std::string ticket_fields(const ticket& value);

struct parsed_ticket {
    ticket value;
    ticket_mac mac;
};

/// @return the fields of @p text, or nothing if it is malformed. The caller compares the keyed hash.
std::optional<parsed_ticket> parse_ticket(std::string_view text);

enum class operation_step : std::uint8_t {
    run,     ///< The caller of begin_operation must run it and call finish_operation exactly once.
    join,    ///< It is running; wait for its end.
    repeat,  ///< It ended; answer from the record.
    refused, ///< Not by this process; see the refusal.
};

struct operation_begin {
    operation_step step = operation_step::refused;
    refusal why;                      ///< Set if refused.
    outcome ended = outcome::not_run; ///< Set if repeat.
    std::uint16_t answer_status = 0;  ///< Set if repeat and ran.
    std::string answer_body;          ///< Set if repeat and ran, up to the recorded limit.
    bool body_complete = false;       ///< Whether answer_body is the whole body.
};

operation_ledger make_operation_ledger(const operation_settings& settings, time_point now);

/// @return the epoch that a ticket issued now must carry.
std::uint64_t current_epoch(const operation_ledger& ledger, time_point now);

/// @return a ticket for @p executing, which may be another instance, with its nonce and epoch as gossiped.
ticket issue_ticket(operation_ledger& issuer, instance_id executing, std::uint64_t process_nonce,
                    std::uint64_t epoch, customer_id customer, route_id route);

/// First or repeated presentation of a ticket whose keyed hash was found right. A refusal says not_run only
/// if no record of the ticket can have existed here.
operation_begin begin_operation(operation_ledger& ledger, const ticket& presented, customer_id customer,
                                route_id route, time_point now);

/// Records the end. An outcome of not_run lets a later presentation run it; ran and unknown never do.
void finish_operation(operation_ledger& ledger, const ticket& presented, outcome ended,
                      std::uint16_t answer_status, std::string_view answer_body, time_point now);

/// Drops records whose tickets can no longer be accepted.
void tick(operation_ledger& ledger, time_point now);

} // namespace camphorknot
