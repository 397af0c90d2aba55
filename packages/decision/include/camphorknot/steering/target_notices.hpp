/// @file
/// What targets announce with their answers, shared between the instances, and each instance's part of a
/// limit that a target named.
///
/// An instance reports only what targets announced to it: a notice that is passed on again and again would
/// never grow old.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "camphorknot/core.hpp"

namespace camphorknot::steering {

/// What one answer of a target announced.
struct announcement {
    std::optional<double> limit_per_s{}; ///< Requests that the target takes from all instances together.
    bool leaving = false;                ///< The target is about to end.
};

/// The newest announcement of a target to one instance.
struct target_notice {
    std::string target{};
    std::int64_t born_ms = 0; ///< Incarnation of the target.
    duration age{};           ///< Since the answer, when the notice was sent.
    double limit_per_s = -1;  ///< Negative if the answer named no limit.
    bool leaving = false;
};

/// The newest announcements of the targets that have ever announced something.
struct notice_table {
    struct entry {
        std::int64_t born_ms = 0;
        time_point announced_at{};
        std::optional<double> limit_per_s{};
        bool leaving = false; ///< Holds for this incarnation from the first such answer on.
    };
    std::map<std::string, entry> targets{}; ///< By target id.
};

/// Stores the announcement of an answer to this instance. Answers without one are stored only for targets
/// that announced something before.
/// @return whether the target's limit changed, or it is leaving and was not known to be.
bool on_announced(notice_table& notices, const std::string& target, std::int64_t born_ms,
                  const announcement& announced, time_point now);

/// Stores the notices of another instance, unless newer ones are stored.
void on_notices_received(notice_table& notices, std::span<const target_notice> received, time_point now);

/// Drops entries that were not confirmed for a time.
void forget_old_notices(notice_table& notices, time_point now);

/// @return the entries as notices to other instances.
std::vector<target_notice> notices_to_report(const notice_table& notices, time_point now);

/// @return the limit that this incarnation of the target names, if it does.
std::optional<double> named_limit(const notice_table& notices, const std::string& target,
                                  std::int64_t born_ms);

/// @return whether this incarnation of the target has announced that it leaves.
bool is_leaving(const notice_table& notices, const std::string& target, std::int64_t born_ms);

/// Splits a named limit between the instances of the lowest ranks: few enough that the requests which each of
/// them may send at once stay within the limit.
/// @param rank of this instance in the target's order; empty if the instance may not send.
/// @return requests per second of this instance.
double limit_share(double limit_per_s, std::optional<std::size_t> rank);

} // namespace camphorknot::steering
