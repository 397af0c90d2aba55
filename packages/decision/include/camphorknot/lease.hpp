/// @file
/// Leases with fencing tokens over the table, and writes whose lost answers are resolved by operation id
/// (section 2.3).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// One conditional change of the table. All conditions hold and all writes are made, or none.
struct table_transaction {
    struct condition {
        std::string row;
        std::uint64_t version = 0; ///< Version that the row must have; 0: the row must not exist.
    };
    struct write {
        std::string row;
        std::string value;
    };
    std::uint64_t operation = 0; ///< Operation id, kept by the table to resolve lost answers.
    std::vector<condition> conditions;
    std::vector<write> writes;
};

struct table_read {
    std::string row;
};

/// Asks whether the transaction with the operation id was made.
struct operation_read {
    std::uint64_t operation = 0;
};

enum class table_status : std::uint8_t {
    ok,
    conflict,    ///< A condition did not hold; nothing was written.
    not_found,   ///< The row, or the operation, does not exist.
    unavailable, ///< The table is known not to have acted (connect failed, or it said so).
    unknown,     ///< No answer; the write may have taken effect.
};

struct table_row {
    std::string row;
    std::string value;
    std::uint64_t version = 0;
};

struct table_answer {
    table_status status = table_status::unknown;
    std::optional<table_row> row; ///< Of a read.
};

struct lease_settings {
    std::string row; ///< "lease/<name>".
    std::string owner;
    duration term = std::chrono::seconds(10);
    duration margin = std::chrono::seconds(2); ///< The holder stops this much before its term ends.
    std::uint64_t seed = 0;
};

/// One lease as one instance sees it.
struct lease;

lease make_lease(const lease_settings& settings, time_point now);

/// What to ask of the table next, if anything; at most one request is under way.
struct lease_request {
    std::optional<table_read> read;
    std::optional<table_transaction> transaction;
    std::optional<operation_read> resolve;
};
lease_request tick(lease& state, time_point now);

/// The answer to the request under way.
void on_table_answer(lease& state, const table_answer& answer, time_point now);

/// @return the fencing token if this instance holds the lease at @p now, to be checked at the act.
std::optional<std::uint64_t> holds(const lease& state, time_point now);

} // namespace camphorknot
