/// @file
/// Open connections of one port, and which of them is closed for a new one when there are too many.
///
/// Designed for clients outside of anyone's control that connect and are silent, or stop in the middle of a
/// request, in such numbers that an ordinary caller would find no room.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Numbers of connections that each port accepts.
struct connection_limits {
    std::size_t callers = 2500; ///< Those of callers and of instances that pass requests on together.
    std::size_t lookups = 512;
    std::size_t readiness = 32;
    std::size_t metrics = 32;
    std::size_t peers = 341;
};

/// @param descriptors limit of the process.
/// @param machine_mb memory of the machine in megabytes; 0 if it is unknown.
/// @return limits that together leave a sixth of the descriptors to files and to connections that this
/// instance opens. A fifth of the memory is for callers' connections without a complete request.
connection_limits limits_of_machine(std::size_t descriptors, double machine_mb);

/// What a connection does.
enum class connection_phase : std::uint8_t {
    idle,    ///< Nothing of a request has come.
    reading, ///< A part of a request has come.
    busy,    ///< A request is handled or answered; the connection is not closed for another one.
};

/// State of one connection.
struct connection_state {
    connection_phase phase = connection_phase::idle;
    time_point since{};      ///< Start of the phase, or the last progress in it.
    bool has_served = false; ///< A complete request came on it.
    bool is_closing = false; ///< It was chosen to make room.
};

/// Connections in the order in which they are closed.
using connection_order = std::set<std::pair<time_point, std::uint64_t>>;

struct connection_table {
    std::size_t limit = 0;
    /// A connection without a complete request, or in the middle of one, is closed only if it has made no
    /// progress for this time.
    duration min_stall = std::chrono::seconds(1);
    std::map<std::uint64_t, connection_state> connections{}; ///< By id.
    connection_order new_ones{};                             ///< Idle or reading; no complete request came.
    connection_order idle_ones{};                            ///< Idle after a complete request.
    connection_order reading_ones{};                         ///< Reading after a complete request.
    std::size_t closing = 0;                                 ///< Connections that were chosen to make room.
    std::uint64_t next_id = 1;
};

/// Whether a new connection is accepted, and at the cost of which one.
struct connection_admission {
    std::optional<std::uint64_t> id;     ///< Of the new connection; empty if it is refused.
    std::optional<std::uint64_t> closed; ///< To be closed for it.
};

/// Adds an idle connection. If there are too many, one is closed: first one on which no complete request came
/// and which makes no progress, then one that is idle, then one that stopped in the middle of a request; of
/// these the one that has waited for longest.
connection_admission add_connection(connection_table& table, time_point now);

/// @param now start of the phase; the time of the last progress if the phase is unchanged.
void set_phase(connection_table& table, std::uint64_t id, connection_phase phase, time_point now);

void remove_connection(connection_table& table, std::uint64_t id);

} // namespace camphorknot::steering
