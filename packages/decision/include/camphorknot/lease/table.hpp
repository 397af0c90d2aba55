/// @file
/// Requests to the platform's table of versioned rows, and its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot {

/// One conditional change of the table: if all conditions hold, all writes are made; otherwise none.
struct table_transaction {
    struct condition {
        std::string row;
        std::uint64_t version = 0; ///< Version that the row must have; 0: the row must not exist.
    };
    struct write {
        std::string row;
        std::string value;
    };
    std::uint64_t operation = 0; ///< Operation id, stored by the table to resolve lost answers.
    std::vector<condition> conditions;
    std::vector<write> writes;
};

struct table_read {
    std::string row;
};

/// Queries whether the transaction with the operation id was made.
struct operation_read {
    std::uint64_t operation = 0;
};

enum class table_status : std::uint8_t {
    ok,
    conflict,    ///< A condition did not hold; nothing was written.
    not_found,   ///< The row, or the operation, does not exist.
    unavailable, ///< The table did nothing: the connection failed, or the answer states it.
    unknown,     ///< No answer; the write may have taken effect.
};

struct table_row {
    std::string row;
    std::string value;
    std::uint64_t version = 0;
};

struct table_answer {
    table_status status = table_status::unknown;
    std::optional<table_row> row; ///< The row, if a read found it.
};

} // namespace camphorknot
