/// @file
/// Ledger of the memory that messages hold: requests with their heads, and answers of targets.
///
/// Designed for callers outside of anyone's control: many messages of legal size at once, whole or piece by
/// piece, most of which stop short of their end and stay open. Large messages cannot take the part that is
/// kept for small ones, nor these the part that is kept for ordinary ones, and a message without progress
/// makes room for one that can be served.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// Limits of the ledger, in bytes.
struct memory_budget {
    std::size_t total = std::size_t{96} * 1024 * 1024;
    std::size_t kept_for_small = std::size_t{12} * 1024 * 1024; ///< Part of `total` without large messages.
    /// Part of `kept_for_small` that only ordinary messages take.
    std::size_t kept_for_ordinary = std::size_t{6} * 1024 * 1024;
    std::size_t small_message = std::size_t{512} * 1024;   ///< Largest message that counts as small.
    std::size_t ordinary_message = std::size_t{32} * 1024; ///< Largest message that counts as ordinary.
    /// A body that has not received `progress_bytes` for this time may be given up for another one.
    duration stall_time = std::chrono::seconds(1);
    std::size_t progress_bytes = std::size_t{32} * 1024;
};

/// @param machine_mb memory of the machine in megabytes.
/// @return two thirds of it for messages, an eighth of that without large ones, and a sixteenth with ordinary
/// ones only. The rest is for the program and for its connections.
memory_budget budget_of_machine(double machine_mb);

enum class message_kind : std::uint8_t {
    request, ///< Of a caller; given up if it makes no progress.
    answer,  ///< Of a target. Never given up, and room for it is made by any unfinished request.
};

/// A message that is read or held.
struct held_message {
    message_kind kind = message_kind::request;
    std::size_t bytes = 0;          ///< Reserved for it.
    std::size_t received_bytes = 0; ///< At the last progress.
    time_point progress_at{};       ///< Time of the last progress.
    bool is_complete = false;       ///< It has been read to its end.
    bool is_given_up = false;       ///< Its bytes were given to another message.
};

struct message_memory {
    memory_budget budget;
    std::map<std::uint64_t, held_message> messages; ///< By id.
    std::size_t ordinary_bytes = 0;                 ///< Reserved for ordinary messages.
    std::size_t small_bytes = 0;                    ///< Reserved for other small messages.
    std::size_t large_bytes = 0;                    ///< Reserved for large messages.
    std::uint64_t next_id = 1;
};

/// Whether there is room, and at the cost of which messages.
struct room_decision {
    bool granted = false;
    std::vector<std::uint64_t> given_up; ///< To be ended; those without progress for longest first.
};

/// Adds a message without any bytes. @return its id.
std::uint64_t add_message(message_memory& memory, message_kind kind, time_point now);

/// Changes the reservation of the message to @p bytes if that needs no room of other messages.
/// @return whether it was changed.
bool resize_in_free_room(message_memory& memory, std::uint64_t id, std::size_t bytes);

/// Changes the reservation of the message to @p bytes. Messages are given up only if that makes enough room.
/// @return not granted if there is no room, after which the reservation is unchanged, or if the message was
/// given up.
room_decision resize_message(message_memory& memory, std::uint64_t id, std::size_t bytes, time_point now);

/// Records that @p received_bytes of the message have arrived so far.
void record_progress(message_memory& memory, std::uint64_t id, std::size_t received_bytes, time_point now);

/// The message has been read to its end; it is not given up from now on.
void complete_message(message_memory& memory, std::uint64_t id);

bool is_given_up(const message_memory& memory, std::uint64_t id);

/// Removes the message and its reservation.
void remove_message(message_memory& memory, std::uint64_t id);

} // namespace camphorknot::steering
