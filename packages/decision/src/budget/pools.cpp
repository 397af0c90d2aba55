// Pools: for each scope (failure domain, region, fleet) and shard of budgets, one instance collects the
// reports of spare and refers borrowers to the owners that have some. Pool instances are chosen by rendezvous
// hashing.
#include <algorithm>
#include <array>
#include <map>

#include "rounds.hpp"

namespace camphorknot::internal {
namespace {

// Number of groups of budgets that share pool instances. An instance reports to at most three pools per
// group, whatever the number of budgets.
constexpr std::size_t pool_shards = 8;
constexpr duration report_period = std::chrono::seconds(1);
constexpr duration report_lifetime = std::chrono::seconds(10);
// A report of no spare expires sooner, since the owner may soon have spare again. Such an owner also notifies
// the borrowers that it refused.
constexpr duration zero_report_lifetime = std::chrono::seconds(1);
constexpr std::size_t max_entries_per_message = 1000; ///< Keeps a message well below the frame limit.
constexpr std::size_t max_forwarded_owners = 16;
// A change of more than a quarter of the own allocation is reported.
constexpr std::int64_t report_change_divisor = 4;

std::uint64_t compute_digest(std::span<const member_record> live)
{
    std::uint64_t digest = live.size();
    for (const member_record& member : live) {
        digest += mix_hash(member.instance.value, member.number);
    }
    return digest;
}

using shard_pools = std::array<std::pair<std::uint64_t, instance_id>, 3>;

void keep_highest(std::pair<std::uint64_t, instance_id>& best, std::uint64_t scope, instance_id instance)
{
    const std::pair<std::uint64_t, instance_id> ranked = {mix_hash(scope, instance.value), instance};
    if (best.second == instance_id{} || ranked.first > best.first) {
        best = ranked;
    }
}

std::vector<instance_id> select_pools(const budget_ledger& ledger, std::uint64_t shard)
{
    shard_pools best{};
    const ledger_settings& settings = ledger.settings;
    for (const auto& [id, member] : ledger.live.members) {
        if (member.failure_domain == settings.failure_domain) {
            keep_highest(best[0], mix_hash(shard, settings.failure_domain.value), id);
        }
        if (member.region == settings.region) {
            keep_highest(best[1], mix_hash(shard, settings.region.value), id);
        }
        keep_highest(best[2], mix_hash(shard, 0), id);
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

bool differs_significantly(std::int64_t before, std::int64_t after, std::int64_t own)
{
    return std::abs(before - after) * report_change_divisor > own;
}

// Returns the spare if it must be reported to the pools. Without a report, pools assume that an owner is idle
// and has its whole allocation to lend.
std::optional<share> due_report(const budget_ledger& ledger, budget_state& state, time_point now)
{
    const share own = state.own;
    const share spare = compute_spare(ledger, state, now);
    const share before = state.reported_spare.value_or(own);
    const bool is_full = spare == own;
    const bool differs = differs_significantly(before.rate, spare.rate, own.rate) ||
                         differs_significantly(before.burst, spare.burst, own.burst);
    if (!differs && !(is_full && state.reported_spare)) {
        return std::nullopt;
    }
    state.reported_spare = is_full ? std::nullopt : std::optional(spare);
    return spare;
}

} // namespace

void update_live_members(budget_ledger& ledger, std::span<const member_record> live)
{
    const std::uint64_t digest = compute_digest(live);
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
        ledger.live.pools.push_back(select_pools(ledger, shard));
    }
}

std::vector<instance_id> pools_for(const budget_ledger& ledger, budget_id budget)
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
        for (const instance_id pool : pools_for(ledger, id)) {
            spare_report& report = reports[pool.value];
            if (report.entries.size() < max_entries_per_message) {
                report.entries.push_back({id, ledger.settings.self, spare->rate, spare->burst});
            }
        }
    }
    for (auto& [pool, report] : reports) {
        send(ledger, instance_id{pool}, std::move(report), out);
    }
}

share estimate_spare(const budget_ledger& ledger, const budget_state& state, instance_id owner,
                     time_point now)
{
    const auto view = state.owner_views.find(owner);
    if (view != state.owner_views.end() && view->second.spare) {
        const bool is_none = is_zero(*view->second.spare);
        if (now - view->second.reported_at < (is_none ? zero_report_lifetime : report_lifetime)) {
            return *view->second.spare;
        }
    }
    // Idle owners send no reports; each is assumed to have its whole allocation to lend.
    share assumed;
    const auto slots = ledger.lenders.find(owner);
    if (slots != ledger.lenders.end()) {
        for (const std::size_t slot : slots->second) {
            assumed = assumed + slot_share(ledger, state, slot);
        }
    }
    return assumed;
}

void send_owners_with_spare(const budget_ledger& ledger, const budget_state& state, instance_id borrower,
                            time_point now, outbox& out)
{
    spare_report report;
    for (const auto& [owner, view] : state.owner_views) {
        const bool is_fresh = view.spare && now - view.reported_at < report_lifetime;
        if (owner != borrower && is_fresh && !is_zero(*view.spare) &&
            report.entries.size() < max_forwarded_owners) {
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
        owner_view& view = found->second.owner_views[entry.owner];
        view.spare = share{entry.spare_rate_per_second, entry.spare_burst};
        view.reported_at = now;
        if (entry.owner == message.from && !is_zero(*view.spare)) {
            // The owner may have sent this because this instance is waiting for spare.
            view.not_before = now;
            view.backoff = {};
            found->second.next_round = now;
        }
    }
}

} // namespace camphorknot::internal
