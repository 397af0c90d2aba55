/// @file
/// Requests that crash the targets that run them: the evidence that the instances collect and share, and the
/// verdicts that follow from it.
///
/// An item of evidence is a target incarnation that ended while it ran a request. Evidence merges in any
/// order, and an item that arrives twice counts once. Verdicts are a function of the evidence, so that all
/// instances with the same evidence refuse the same requests.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "camphorknot/core.hpp"
#include "camphorknot/steering/request_identity.hpp"

namespace camphorknot::steering {

/// A request under one version of a service's targets; another version may handle it well.
struct suspect_key {
    request_identity request;
    std::string service{};
    std::string version{};
    bool operator==(const suspect_key&) const = default;
};

inline bool operator<(const suspect_key& a, const suspect_key& b)
{
    return std::tie(a.request, a.service, a.version) < std::tie(b.request, b.service, b.version);
}

/// A target incarnation that ended while it ran a request.
struct ended_run {
    std::string target{};
    std::int64_t born_ms = 0; ///< As in target::born_ms.
    time_point sent_at{};
    time_point ended_at{};
    /// Last answer of the version that the instance which noticed the end had seen by then; none if it had
    /// seen none.
    std::optional<time_point> version_answered_at{};
    std::string failure_domain{}; ///< Of the target; empty if an earlier version reported the end.
    /// Another target of the failure domain listened after the end. False if an earlier version reported it.
    bool domain_alive = false;
};

/// A request that was running when targets ended.
struct crash_suspect {
    std::vector<ended_run> runs{}; ///< At most one per target incarnation; in the order of their ends.
    bool cleared = false;          ///< A target has answered the request.
    time_point last_seen{};        ///< Last end of a run or refusal.
    time_point changed_at{};       ///< Last change of `runs` or `cleared` at this instance.
    time_point condemned_from{};   ///< Derived from the runs of all suspects, as `condemned_until`.
    time_point condemned_until{};
};

/// Limits of the evidence, and when it suffices.
struct crash_tuning {
    /// Runs, each sent after the target of the one before had ended, after which a request is condemned.
    std::size_t runs_to_condemn = 3;
    /// Targets that end within this time of each other may have a common cause. If there are at least this
    /// many and a request was running at less than half of them, their ends say nothing about the request.
    duration batch_window = std::chrono::milliseconds(300);
    std::size_t min_batch = 4;
    /// Targets of different failure domains that end together, or of one of which others stay alive, rarely
    /// have another common cause than the request that was running at all of them. From this number on they
    /// condemn it, after a delay in which an answer, or evidence of other ends, can still arrive.
    std::size_t min_sole_batch = 3;
    duration sole_batch_delay = std::chrono::milliseconds(1200);
    /// Length of the first verdict. Each further run multiplies it, up to the maximum: a request that comes
    /// again all day reaches few targets, and a wrong verdict does not last.
    duration first_verdict = std::chrono::minutes(2);
    int verdict_factor = 10;
    duration max_verdict = std::chrono::hours(24);
    /// Suspects that are not condemned are forgotten after this time without a further run.
    duration suspicion_retention = std::chrono::minutes(10);
    std::size_t max_suspects = 512;
    std::size_t max_runs = 16; ///< Per suspect.
};

/// All suspects known to this instance.
struct crash_table {
    crash_tuning tuning;
    /// Fraction of its length, 0 to 1, by which a verdict lasts longer at this instance: the instances do not
    /// all send the request again at the same time.
    double verdict_extension = 0;
    std::map<suspect_key, crash_suspect> suspects{};
    std::map<std::uint64_t, std::size_t> outlines{}; ///< Number of suspects by request_identity::outline.
};

/// A suspect in a message between instances, with ages instead of times.
struct crash_report {
    static constexpr duration unknown_age = duration::max();

    struct run {
        std::string target{};
        std::int64_t born_ms = 0;
        duration sent_age{};
        duration ended_age{};
        duration version_answered_age = unknown_age;
        std::string failure_domain{};
        bool domain_alive = false;
    };
    suspect_key key{};
    bool cleared = false;
    duration last_seen_age{};
    std::vector<run> runs{};
};

/// What is known of a request.
enum class crash_standing : std::uint8_t {
    unknown,   ///< Not running when a target ended, or answered since.
    suspected, ///< Running when a target ended.
    condemned, ///< To be refused.
};

/// @return whether a request with this outline may be a suspect. Without it no identity has to be computed.
bool has_outline(const crash_table& table, std::uint64_t outline);

/// Stores that a target ended while it ran the request.
/// @return whether this is news.
bool on_run_ended(crash_table& table, const suspect_key& key, const ended_run& run, time_point now);

/// Stores that a target of @p key's version answered the request, which clears it if it is a suspect.
/// @return whether this is news.
bool on_suspect_answered(crash_table& table, const suspect_key& key, time_point now);

/// Stores that a condemned request came again, to be remembered for longer.
void on_condemned_refused(crash_table& table, const request_identity& request, std::string_view service,
                          time_point now);

/// Merges the evidence of another instance.
/// @return whether there was news.
bool on_crash_reports_received(crash_table& table, std::span<const crash_report> reports, time_point now);

/// @return the standing of the request at targets of the version.
crash_standing standing_of(const crash_table& table, const suspect_key& key, time_point now);

/// @return whether the request was condemned at any version of the service, though the verdict may have
/// lapsed here. Another end under it is enough for the next one.
bool was_condemned(const crash_table& table, const request_identity& request, std::string_view service);

/// @return whether the request is a suspect or condemned at any version of the service.
bool is_suspected(const crash_table& table, const request_identity& request, std::string_view service);

/// @return the time until the last verdict on the request ends, over the versions of the service; zero
/// without a verdict.
duration condemned_for(const crash_table& table, const request_identity& request, std::string_view service,
                       time_point now);

/// Drops suspects whose time is over.
void forget_old_suspects(crash_table& table, time_point now);

/// @return the suspects that changed after @p since, as reports; at most @p max_count, those with the most
/// runs first.
std::vector<crash_report> crash_reports(const crash_table& table, time_point since, std::size_t max_count,
                                        time_point now);

} // namespace camphorknot::steering
