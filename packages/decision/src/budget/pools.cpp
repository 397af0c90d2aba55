// Pools: per scope and shard of budgets one instance that knows which owners have spare.
#include <algorithm>
#include <array>
#include <map>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// Budgets share pool instances in this many groups, so that an instance reports to at most three times as
// many pools, whatever the number of budgets.
constexpr std::size_t pool_shards = 8;
constexpr duration report_period = std::chrono::seconds(1);
constexpr duration report_lifetime = std::chrono::seconds(10);
// An owner without spare is worth asking again soon, and it tells those that it had to refuse.
constexpr duration none_lifetime = std::chrono::seconds(1);
constexpr std::size_t entries_per_message = 1000; ///< Keeps a message well below the frame limit.
constexpr std::size_t known_owners_limit = 16;
constexpr std::int64_t reported_change = 4; ///< Reported is a change by a quarter of the own allocation.

std::uint64_t digest_of(std::span<const member_record> live)
{
    std::uint64_t digest = live.size();
    for (const member_record& member : live) {
        digest += mix_hash(member.instance.value, member.number);
    }
    return digest;
}

using shard_pools = std::array<std::pair<std::uint64_t, instance_id>, 3>;

void offer(std::pair<std::uint64_t, instance_id>& best, std::uint64_t scope, instance_id instance)
{
    const std::pair<std::uint64_t, instance_id> mine = {mix_hash(scope, instance.value), instance};
    if (best.second == instance_id{} || mine.first > best.first) {
        best = mine;
    }
}

std::vector<instance_id> find_pools(const budget_ledger& ledger, std::uint64_t shard)
{
    shard_pools best{};
    const ledger_settings& settings = ledger.settings;
    for (const auto& [id, member] : ledger.live.members) {
        if (member.failure_domain == settings.failure_domain) {
            offer(best[0], mix_hash(shard, settings.failure_domain.value), id);
        }
        if (member.region == settings.region) {
            offer(best[1], mix_hash(shard, settings.region.value), id);
        }
        offer(best[2], mix_hash(shard, 0), id);
    }
    std::vector<instance_id> pools;
    for (const auto& [rank, id] : best) {
        const bool is_new = std::find(pools.begin(), pools.end(), id) == pools.end();
        if (id != instance_id{} && id != settings.self && is_new) {
            pools.push_back(id);
        }
    }
    return pools;
}

bool changed_much(std::int64_t before, std::int64_t after, std::int64_t own)
{
    return std::abs(before - after) * reported_change > own;
}

// Returns the spare to report, if the pools should learn it. An idle owner is assumed to have all of it.
std::optional<share> due_report(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const share own = state.own;
    const share spare = spare_of(ledger, state, now);
    const share before = state.reported.value_or(own);
    const bool is_full = spare == own;
    const bool differs =
        changed_much(before.rate, spare.rate, own.rate) || changed_much(before.burst, spare.burst, own.burst);
    if (!differs && !(is_full && state.reported)) {
        return std::nullopt;
    }
    state.reported = is_full ? std::nullopt : std::optional(spare);
    return spare;
}

} // namespace

void update_live(budget_ledger& ledger, std::span<const member_record> live)
{
    const std::uint64_t digest = digest_of(live);
    if (digest == ledger.live.digest && !ledger.live.pools.empty()) {
        return;
    }
    ledger.live.digest = digest;
    ledger.live.members.clear();
    for (const member_record& member : live) {
        ledger.live.members.emplace(member.instance, member);
    }
    ledger.live.pools.clear();
    for (std::uint64_t shard = 0; shard < pool_shards; ++shard) {
        ledger.live.pools.push_back(find_pools(ledger, shard));
    }
}

std::vector<instance_id> pools_of(const budget_ledger& ledger, budget_id budget)
{
    return ledger.live.pools.empty() ? std::vector<instance_id>{}
                                     : ledger.live.pools[budget.value % pool_shards];
}

void report_spare(budget_ledger& ledger, time_point now, outbox& out)
{
    ledger.next_report = now + report_period;
    std::map<std::uint64_t, spare_report> reports;
    for (const budget_id id : ledger.active) {
        budget_state& state = ledger.budgets.at(id);
        const auto spare = due_report(ledger, state, now);
        if (!spare) {
            continue;
        }
        for (const instance_id pool : pools_of(ledger, id)) {
            spare_report& report = reports[pool.value];
            if (report.entries.size() < entries_per_message) {
                report.entries.push_back({id, ledger.settings.self, spare->rate, spare->burst});
            }
        }
    }
    for (auto& [pool, report] : reports) {
        send(ledger, instance_id{pool}, std::move(report), out);
    }
}

share known_spare(const budget_ledger& ledger, const budget_state& state, instance_id owner, time_point now)
{
    const auto view = state.owners.find(owner);
    if (view != state.owners.end() && view->second.spare) {
        const bool is_none = is_zero(*view->second.spare);
        if (now - view->second.reported < (is_none ? none_lifetime : report_lifetime)) {
            return *view->second.spare;
        }
    }
    // Nothing is heard of idle owners; each is assumed to have all of its allocation to lend.
    share assumed;
    const auto slots = ledger.lenders.find(owner);
    if (slots != ledger.lenders.end()) {
        for (const std::size_t slot : slots->second) {
            assumed = assumed + slot_share(ledger, state, slot);
        }
    }
    return assumed;
}

void send_known_owners(const budget_ledger& ledger, const budget_state& state, instance_id borrower,
                       time_point now, outbox& out)
{
    spare_report report;
    for (const auto& [owner, view] : state.owners) {
        const bool is_fresh = view.spare && now - view.reported < report_lifetime;
        if (owner != borrower && is_fresh && !is_zero(*view.spare) &&
            report.entries.size() < known_owners_limit) {
            report.entries.push_back({state.total.id, owner, view.spare->rate, view.spare->burst});
        }
    }
    if (!report.entries.empty()) {
        send(ledger, borrower, std::move(report), out);
    }
}

void on_spare_report(budget_ledger& ledger, const envelope& message, const spare_report& body, time_point now)
{
    for (const spare_report::entry& entry : body.entries) {
        const auto found = ledger.budgets.find(entry.budget);
        if (found == ledger.budgets.end() || entry.owner == ledger.settings.self) {
            continue;
        }
        owner_view& view = found->second.owners[entry.owner];
        view.spare = share{entry.spare_rate_per_second, entry.spare_burst};
        view.reported = now;
        if (entry.owner == message.from && !is_zero(*view.spare)) {
            // Perhaps told because this instance waits for it.
            view.not_before = now;
            view.backoff = {};
            found->second.next_round = now;
        }
    }
}

} // namespace camphorknot::internal
