/// @file
/// Judgement of which configuration answered a caller: late, reverted, malformed or not served.
#pragma once

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fleet_load {

using clock = std::chrono::steady_clock;

/// A version of the configuration from which on a subject is in it, or is not.
struct subject_change {
    bool present = true;
    clock::time_point sent{};
    clock::time_point acknowledged{};
};

enum class subject_kind : std::uint8_t { route, key };

/// A route or a key, which is added at most once and then dropped at most once.
struct subject {
    subject_kind kind = subject_kind::route;
    std::string name;                    ///< Path prefix, or the key.
    std::vector<subject_change> changes; ///< In order; empty if only a malformed version has it.
    bool is_lasting = false;             ///< In each version from the first one on.
};

/// One request of a caller, on a connection of its own.
struct observation {
    std::size_t subject = 0;  ///< Index.
    std::size_t instance = 0; ///< Index.
    std::size_t life = 0;     ///< Of the instance's process.
    clock::time_point sent{};
    clock::time_point ended{};
    unsigned status = 0; ///< 0 for no answer.
    bool is_signed = false;
    bool is_disturbed = false; ///< The process was started, stopped or suspended shortly before or meanwhile.
};

/// What the answer says about the subject.
enum class presence : std::uint8_t { unclear, absent, present };
presence seen_presence(const observation& seen, const subject& about);

enum class configuration_fault : std::uint8_t {
    late_added,      ///< A route or key is not served long after its version was acknowledged.
    late_dropped,    ///< A route or key is still served long after.
    reverted,        ///< The same process has shown the newer version before.
    malformed_taken, ///< A route that only a malformed version has is served, or a lasting one is not.
    added_unserved,  ///< Added routes are served less than a quarter as often as lasting ones.
};
std::string_view name_of(configuration_fault fault);

struct configuration_finding {
    configuration_fault fault{};
    const observation* seen = nullptr; ///< Null for added_unserved.
    double age_s = 0;                  ///< Of the version that was not in force, since its acknowledgement.
};

/// Bounds of the judgement, in seconds.
struct configuration_bounds {
    double apply_s = 4;              ///< From the acknowledgement of a version until it is in force.
    double downgrade_slack_s = 0.25; ///< From its first effect at a process.
};

std::vector<configuration_finding> judge_observations(std::span<const subject> subjects,
                                                      std::span<const observation> observations,
                                                      const configuration_bounds& bounds);

/// @return how long after the acknowledgement of a newer version each answer by an older one was asked for,
/// in seconds, sorted. Disturbed processes are left out.
std::vector<double> ages_of_older_answers(std::span<const subject> subjects,
                                          std::span<const observation> observations);

} // namespace fleet_load
