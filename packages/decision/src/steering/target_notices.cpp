#include "camphorknot/steering/target_notices.hpp"

#include <algorithm>

namespace camphorknot::steering {
namespace {

constexpr duration lifted_retention = std::chrono::seconds(30);
// A target without requests repeats no announcement.
constexpr duration retention = std::chrono::seconds(60);
// Fraction of a limit that is used: while the fleet changes, two instances may act in the same rank.
constexpr double used_fraction = 0.75;
// A limit is noticed to be lifted only if the target still gets requests.
constexpr double min_rate_per_s = 0.2;
constexpr double max_senders = 1000;

std::size_t count_senders(double limit_per_s)
{
    return static_cast<std::size_t>(1 + std::min(limit_per_s, max_senders));
}

// Replaces the stored announcement by a newer one of the same incarnation or by one of a later incarnation.
void store(notice_table::entry& stored, notice_table::entry incoming)
{
    incoming.leaving = incoming.leaving || (stored.leaving && stored.born_ms == incoming.born_ms);
    stored = incoming;
}

// Whether an announcement replaces the stored one.
bool is_newer(const notice_table::entry& stored, std::int64_t born_ms, time_point announced_at)
{
    return born_ms != stored.born_ms ? born_ms > stored.born_ms : announced_at > stored.announced_at;
}

} // namespace

bool on_announced(notice_table& notices, const std::string& target, std::int64_t born_ms,
                  const announcement& announced, time_point now)
{
    const auto found = notices.targets.find(target);
    if (found == notices.targets.end()) {
        if (!announced.limit_per_s && !announced.leaving) {
            return false;
        }
        notices.targets[target] = {born_ms, now, announced.limit_per_s, announced.leaving};
        return true;
    }
    if (!is_newer(found->second, born_ms, now)) {
        return false;
    }
    const notice_table::entry previous = found->second;
    store(found->second, {born_ms, now, announced.limit_per_s, announced.leaving});
    return previous.limit_per_s != found->second.limit_per_s || previous.leaving != found->second.leaving;
}

void on_notices_received(notice_table& notices, std::span<const target_notice> received, time_point now)
{
    for (const target_notice& notice : received) {
        const notice_table::entry incoming = {
            notice.born_ms, now - notice.age,
            notice.limit_per_s < 0 ? std::nullopt : std::optional(notice.limit_per_s), notice.leaving};
        const auto [place, is_new] = notices.targets.emplace(notice.target, incoming);
        if (!is_new && is_newer(place->second, incoming.born_ms, incoming.announced_at)) {
            store(place->second, incoming);
        } else if (place->second.born_ms == incoming.born_ms) {
            place->second.leaving = place->second.leaving || incoming.leaving;
        }
    }
}

void forget_old_notices(notice_table& notices, time_point now)
{
    std::erase_if(notices.targets, [&](const auto& item) {
        const notice_table::entry& entry = item.second;
        const bool is_lifted = !entry.limit_per_s && !entry.leaving;
        return now - entry.announced_at > (is_lifted ? lifted_retention : retention);
    });
}

std::vector<target_notice> notices_to_report(const notice_table& notices, time_point now)
{
    std::vector<target_notice> reported;
    reported.reserve(notices.targets.size());
    for (const auto& [target, entry] : notices.targets) {
        reported.push_back(
            {target, entry.born_ms, now - entry.announced_at, entry.limit_per_s.value_or(-1), entry.leaving});
    }
    return reported;
}

std::optional<double> named_limit(const notice_table& notices, const std::string& target,
                                  std::int64_t born_ms)
{
    const auto found = notices.targets.find(target);
    return found == notices.targets.end() || found->second.born_ms != born_ms ? std::nullopt
                                                                              : found->second.limit_per_s;
}

bool is_leaving(const notice_table& notices, const std::string& target, std::int64_t born_ms)
{
    const auto found = notices.targets.find(target);
    return found != notices.targets.end() && found->second.born_ms == born_ms && found->second.leaving;
}

double limit_share(double limit_per_s, std::optional<std::size_t> rank)
{
    const std::size_t senders = count_senders(limit_per_s);
    if (!rank || *rank >= senders) {
        return 0;
    }
    return std::max(limit_per_s * used_fraction, min_rate_per_s) / static_cast<double>(senders);
}

} // namespace camphorknot::steering
