/// @file
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "camphorknot/core.hpp"

namespace camphorknot {

struct operation_settings {
    instance_id self;
    std::uint64_t process_nonce = 0;
    duration epoch_length = std::chrono::seconds(30);
    duration max_request_duration = std::chrono::seconds(120);
    std::size_t record_limit = 200'000;         ///< A new operation beyond it is refused with instance_busy.
    std::size_t body_limit = 16'384;            ///< Bytes of one answer's body that are recorded.
    std::size_t body_memory_limit = 16'777'216; ///< Bytes of all recorded bodies; beyond it none is recorded.
};

namespace internal {

/// The part of a ticket that tells apart the operations of one process.
struct operation_key {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    customer_id customer;
    route_id route;
    friend bool operator==(const operation_key&, const operation_key&) = default;
};

struct operation_key_hash {
    std::size_t operator()(const operation_key& key) const noexcept
    {
        return mix_hash(mix_hash(key.epoch, key.sequence), key.customer.value ^ key.route.value);
    }
};

enum class operation_state : std::uint8_t { running, ran, not_run, unknown };

struct operation_record {
    operation_state state = operation_state::running;
    bool body_complete = false;
    std::uint16_t answer_status = 0;
    std::string answer_body;
};

struct operation_expiry {
    time_point due{};
    operation_key key;
};

} // namespace internal

/// Records of one executing process. Not safe for concurrent calls; the owner guards it with a mutex.
///
/// @code
/// operation_ledger ledger = make_operation_ledger(settings, now);
/// operation_begin begin = begin_operation(ledger, shown, customer, route, now);
/// if (begin.step == operation_step::run)
///     finish_operation(ledger, shown, outcome::ran, 200, body, now);
/// @endcode
struct operation_ledger {
    operation_settings settings;
    time_point started{};
    std::uint64_t issued = 0; ///< Tickets issued by this process.
    std::size_t body_bytes = 0;
    std::unordered_map<internal::operation_key, internal::operation_record, internal::operation_key_hash>
        records;
    std::deque<internal::operation_expiry> expiries; ///< In the order of their due times.
};

} // namespace camphorknot
