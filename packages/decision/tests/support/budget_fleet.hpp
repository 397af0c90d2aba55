/// @file
/// A fleet of budget ledgers on the scheduler, with callers, a stand-in for membership, and checks of the
/// whole fleet by the simulation's real time.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>

#include "camphorknot/budget.hpp"
#include "scheduler.hpp"

namespace camphorknot::test_support {

/// Token bucket by real time, in requests: the reference for what all instances together may admit.
struct reference_bucket {
    double rate = 0; ///< Requests per second.
    double burst = 0;
    double tokens = 0;
    time_point updated{};
    bool take(time_point now)
    {
        refill(now);
        const bool admitted = tokens >= 1.0;
        tokens -= admitted ? 1.0 : 0.0;
        return admitted;
    }
    void refill(time_point now)
    {
        tokens = std::min(burst, tokens + rate * std::chrono::duration<double>(now - updated).count());
        updated = now;
    }
};

/// Callers of one customer.
struct caller_pattern {
    std::string name;
    double rate = 100;      ///< The customer's rate in requests per second.
    double burst = 100;     ///< The customer's burst in requests.
    double load = 0.7;      ///< Demand as a fraction of the rate.
    double skew = 1.0;      ///< Fraction of the requests that go to the home instance; the rest go to all.
    duration moves_after{}; ///< Mean time until the home instance changes; zero: never.
};

struct customer_state {
    caller_pattern pattern;
    budget_id budget;
    double initial_rate = 0;
    double initial_burst = 0;
    std::uint64_t changes = 0; ///< Number of changes of rate and burst.
    std::size_t home = 0;      ///< Index of the home instance.
    reference_bucket ideal;    ///< Admits what a single counter for the fleet would.
    reference_bucket used;     ///< Reduced by the fleet's admissions; must not go below zero.
    std::vector<reference_bucket> equal_static; ///< Baseline: fixed equal shares per instance.
    std::size_t requested = 0;
    std::size_t entitled = 0; ///< Admitted by the ideal bucket.
    std::size_t served = 0;
    std::size_t refused_within_rate = 0; ///< Refused although the ideal bucket admitted it.
    std::size_t static_served = 0;
    std::size_t static_refused_within_rate = 0;
};

struct fleet_settings {
    schedule_settings schedule;
    ledger_settings ledger;
    std::vector<caller_pattern> patterns;
    std::int64_t permits = 40;
    duration max_use_duration = std::chrono::seconds(4);
    duration warm_up = std::chrono::seconds(4);
    duration authority_term = std::chrono::seconds(3);
    /// Time without contact until an instance is proved stopped.
    duration stopped_after = std::chrono::milliseconds(5300);
    duration increase_delay = std::chrono::seconds(5);
    duration mean_between_stops{};  ///< Graceful stops; zero: none.
    duration mean_between_totals{}; ///< Changes of a customer's rate and burst; zero: none.
};

/// @return 8 instances in 3 regions with 2 failure domains each.
inline std::vector<placement> eight_places()
{
    std::vector<placement> placements;
    for (std::uint64_t i = 0; i < 8; ++i) {
        const std::uint64_t domain = i % 6;
        placements.push_back({make_id<instance_id>("127.0.0.1:" + std::to_string(7100 + i)),
                              region_id{domain / 2 + 1}, failure_domain_id{domain + 1}});
    }
    return placements;
}

class budget_fleet {
public:
    explicit budget_fleet(const fleet_settings& settings)
        : settings_(settings), random_{settings.schedule.seed ^ 0xca11e5U},
          last_contact_(settings.schedule.placements.size()), owner_of_(settings.schedule.placements.size()),
          fleet_(settings.schedule, functions())
    {
        for (const caller_pattern& pattern : settings_.patterns) {
            add_customer(pattern);
        }
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.alive(i)) {
                fleet_.node(i) = make(i, fleet_.state(i).number, fleet_.local_time(i));
            }
        }
        fleet_.at(time_point{}, [this] { update_membership(); });
        fleet_.at(time_point(settings_.warm_up), [this] { start_callers(); });
        schedule_repeatedly(settings_.mean_between_stops, [this] { stop_random_instance(); });
        schedule_repeatedly(settings_.mean_between_totals, [this] { change_total(); });
    }

    /// @return whether all checks held until @p end.
    bool run(time_point end)
    {
        return fleet_.run_until(end, [this] { return failure_.empty(); });
    }
    const std::string& failure() const { return failure_; }
    const std::vector<customer_state>& customers() const { return customers_; }
    scheduler<budget_ledger>& fleet() { return fleet_; }
    std::size_t permits_refused() const { return permits_refused_; }
    std::size_t permits_taken() const { return permits_taken_; }

private:
    static constexpr budget_id permits_budget{77};

    node_functions<budget_ledger> functions()
    {
        node_functions<budget_ledger> result;
        result.make = [this](std::size_t i, incarnation number, time_point now) {
            return make(i, number, now);
        };
        result.tick = [this](budget_ledger& ledger, time_point now, outbox& out) {
            tick(ledger, live_, now, out);
        };
        result.on_message = [](budget_ledger& ledger, const envelope& message, time_point now, outbox& out) {
            on_message(ledger, message, now, out);
        };
        result.mechanisms = [](const budget_ledger& ledger) {
            std::vector<std::string_view> found;
            for (const auto& [id, state] : ledger.budgets) {
                if (!state.granted_loans.empty()) {
                    found.emplace_back("loan given");
                }
                if (!state.borrowed_loans.empty()) {
                    found.emplace_back("loan taken");
                }
            }
            return found;
        };
        return result;
    }
    void add_customer(const caller_pattern& pattern)
    {
        customer_state state;
        state.pattern = pattern;
        state.initial_rate = pattern.rate;
        state.initial_burst = pattern.burst;
        state.budget = make_id<budget_id>(pattern.name);
        state.home = uniform(random_, fleet_.size());
        state.ideal = {pattern.rate, pattern.burst, pattern.burst, {}};
        state.used = state.ideal;
        const auto parts = static_cast<double>(fleet_.size());
        state.equal_static.assign(fleet_.size(),
                                  {pattern.rate / parts, pattern.burst / parts, pattern.burst / parts, {}});
        customers_.push_back(state);
    }
    budget_ledger make(std::size_t index, incarnation number, time_point now)
    {
        ledger_settings settings = settings_.ledger;
        const placement& place = settings_.schedule.placements[index];
        settings.self = place.instance;
        settings.region = place.region;
        settings.failure_domain = place.failure_domain;
        budget_ledger ledger = make_ledger(settings, number, now);
        apply_owners(ledger, now, duration::zero());
        apply_totals(ledger, now, duration::zero());
        set_total(ledger,
                  {permits_budget,
                   budget_kind::in_flight,
                   {0, settings_.permits * 1000, 0},
                   settings_.max_use_duration},
                  duration::zero(), now);
        allow_own_allocation(ledger, true, now);
        set_authority_until(ledger, now + settings_.authority_term);
        last_contact_[index] = fleet_.now();
        permits_out_[index] = 0;
        is_leaving_[index] = false;
        return ledger;
    }
    void apply_totals(budget_ledger& ledger, time_point now, duration increase_delay)
    {
        for (const customer_state& customer : customers_) {
            const auto rate = static_cast<std::int64_t>(customer.pattern.rate * 1000);
            const auto burst = static_cast<std::int64_t>(customer.pattern.burst * 1000);
            set_total(ledger, {customer.budget, budget_kind::rate, {rate, burst, 0}}, increase_delay, now);
        }
    }
    void apply_owners(budget_ledger& ledger, time_point now, duration increase_delay)
    {
        std::vector<allocation_slot> slots;
        std::vector<allocation_owner> owners;
        for (std::size_t i = 0; i < settings_.schedule.placements.size(); ++i) {
            const placement& place = settings_.schedule.placements[i];
            slots.push_back({place.instance, place.region});
            if (owner_of_[i]) {
                owners.push_back({slots[i].instance, settings_.schedule.placements[*owner_of_[i]].instance});
            }
        }
        set_owners(ledger, slots, owners, increase_delay, now);
    }
    bool in_contact(std::size_t index) const
    {
        return fleet_.runs(index) && !fleet_.is_cut(settings_.schedule.placements[index].region);
    }
    bool serves(std::size_t index) const
    {
        return fleet_.runs(index) && fleet_.local_time(index).time_since_epoch().count() <
                                         fleet_.node(index).authority_until->load();
    }
    // Stand-in for membership: an instance in contact keeps its authority; after a time without contact it is
    // proved stopped and its slot gets another owner.
    void update_membership()
    {
        live_.clear();
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.now() - last_contact_[i] < std::chrono::seconds(2)) {
                member_record record;
                record.instance = settings_.schedule.placements[i].instance;
                record.number = fleet_.state(i).number;
                record.region = settings_.schedule.placements[i].region;
                record.failure_domain = settings_.schedule.placements[i].failure_domain;
                live_.push_back(record);
            }
            if (in_contact(i)) {
                on_contact(i);
            } else if (!owner_of_[i] && fleet_.now() - last_contact_[i] > settings_.stopped_after) {
                prove_stopped(i);
            }
        }
        check_fleet();
        fleet_.at(fleet_.now() + std::chrono::milliseconds(50), [this] { update_membership(); });
    }
    void on_contact(std::size_t index)
    {
        if (owner_of_[index] && *owner_of_[index] != index && is_fenced_[index]) {
            // A fenced process in contact again restarts as a new incarnation and claims its slot a second
            // later.
            is_fenced_[index] = false;
            fleet_.kill(index, duration::zero());
            fleet_.at(fleet_.now() + std::chrono::seconds(1), [this, index] { return_slot(index); });
            return;
        }
        if (has_stale_owners_[index]) {
            has_stale_owners_[index] = false;
            apply_owners(fleet_.node(index), fleet_.local_time(index), settings_.increase_delay);
            apply_totals(fleet_.node(index), fleet_.local_time(index), settings_.increase_delay);
        }
        last_contact_[index] = fleet_.now();
        set_authority_until(fleet_.node(index), fleet_.local_time(index) + settings_.authority_term);
    }
    void prove_stopped(std::size_t index)
    {
        std::size_t new_owner = index;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            new_owner = new_owner == index && i != index && in_contact(i) ? i : new_owner;
        }
        if (new_owner == index) {
            return;
        }
        owner_of_[index] = new_owner;
        is_fenced_[index] = true;
        report_stopped(index);
        schedule_owner_updates();
    }
    void return_slot(std::size_t index)
    {
        if (fleet_.alive(index) && !is_fenced_[index]) {
            owner_of_[index].reset();
            schedule_owner_updates();
        }
    }
    // Each instance receives the owners after a different delay, an instance without contact with its next
    // contact.
    void schedule_owner_updates()
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            has_stale_owners_[i] = true;
            fleet_.at(fleet_.now() + uniform_duration(random_, std::chrono::milliseconds(400)), [this, i] {
                if (in_contact(i) && has_stale_owners_[i]) {
                    on_contact(i);
                }
            });
        }
    }
    void schedule_repeatedly(duration mean, const std::function<void()>& action)
    {
        if (mean > duration::zero()) {
            fleet_.at(fleet_.now() + exponential(random_, mean), [this, mean, action] {
                action();
                schedule_repeatedly(mean, action);
            });
        }
    }
    // Changes a rate and burst. The reference keeps the higher total until every instance applied the change
    // or lost its authority.
    void change_total()
    {
        customer_state& customer = customers_[uniform(random_, customers_.size())];
        customer.pattern.rate = customer.initial_rate * static_cast<double>(1 + uniform(random_, 3)) / 2;
        customer.pattern.burst = customer.initial_burst * static_cast<double>(1 + uniform(random_, 3)) / 2;
        customer.used.refill(fleet_.now());
        customer.used.rate = std::max(customer.used.rate, customer.pattern.rate);
        customer.used.burst = std::max(customer.used.burst, customer.pattern.burst);
        customer.ideal.refill(fleet_.now());
        customer.ideal.rate = customer.pattern.rate;
        customer.ideal.burst = customer.pattern.burst;
        schedule_owner_updates();
        const std::uint64_t change = ++customer.changes;
        fleet_.at(fleet_.now() + settings_.increase_delay, [this, &customer, change] {
            if (change == customer.changes) {
                customer.used.refill(fleet_.now());
                customer.used.rate = customer.pattern.rate;
                customer.used.burst = customer.pattern.burst;
            }
        });
    }
    // Stops an instance gracefully; it starts again as a new process a second after its end.
    void stop_random_instance()
    {
        const std::size_t index = uniform(random_, fleet_.size());
        if (!serves(index) || !in_contact(index)) {
            return;
        }
        outbox out;
        is_leaving_[index] = true;
        hand_over(fleet_.node(index), live_, fleet_.local_time(index), out);
        fleet_.send(out);
        fleet_.at(fleet_.now() + std::chrono::milliseconds(500),
                  [this, index, number = fleet_.state(index).number] {
                      if (fleet_.alive(index) && fleet_.state(index).number == number) {
                          fleet_.kill(index, std::chrono::seconds(1));
                          report_stopped(index);
                      }
                  });
    }
    void report_stopped(std::size_t index)
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (in_contact(i)) {
                on_proved_stopped(fleet_.node(i), settings_.schedule.placements[index].instance,
                                  fleet_.state(index).number, fleet_.local_time(i));
            }
        }
    }
    void start_callers()
    {
        for (std::size_t c = 0; c < customers_.size(); ++c) {
            customers_[c].ideal.updated = fleet_.now();
            customers_[c].used.updated = fleet_.now();
            on_arrival(c);
        }
        start_permit_work();
    }
    std::size_t find_serving(std::size_t index) const
    {
        std::size_t chosen = index;
        for (std::size_t tries = 0; tries < fleet_.size() && !serves(chosen); ++tries) {
            chosen = (chosen + 1) % fleet_.size();
        }
        return chosen;
    }
    void on_arrival(std::size_t c)
    {
        customer_state& customer = customers_[c];
        const caller_pattern& pattern = customer.pattern;
        const double mean = 1.0 / (customer.initial_rate * pattern.load);
        const bool to_home = uniform_real(random_) < pattern.skew;
        const std::size_t other = uniform(random_, fleet_.size());
        if (pattern.moves_after > duration::zero() &&
            happens_within(duration(static_cast<std::int64_t>(mean * 1e9)), pattern.moves_after)) {
            customer.home = uniform(random_, fleet_.size());
        }
        const std::size_t index = find_serving(to_home ? customer.home : other);
        if (serves(index)) {
            request(customer, index);
        }
        fleet_.at(fleet_.now() + exponential(random_, duration(static_cast<std::int64_t>(mean * 1e9))),
                  [this, c] { on_arrival(c); });
    }
    bool happens_within(duration step, duration mean)
    {
        return uniform_real(random_) < static_cast<double>(step.count()) / static_cast<double>(mean.count());
    }
    void request(customer_state& customer, std::size_t index)
    {
        ++customer.requested;
        const bool within_rate = customer.ideal.take(fleet_.now());
        customer.entitled += within_rate ? 1 : 0;
        const bool by_static = customer.equal_static[index].take(fleet_.now());
        customer.static_served += by_static ? 1 : 0;
        customer.static_refused_within_rate += within_rate && !by_static ? 1 : 0;
        const auto account = find_account(fleet_.node(index), customer.budget);
        if (!try_take(*account, 1000, fleet_.local_time(index)).admitted) {
            customer.refused_within_rate += within_rate ? 1 : 0;
            return;
        }
        ++customer.served;
        customer.used.refill(fleet_.now());
        customer.used.tokens -= 1.0;
        if (customer.used.tokens < -rounding) {
            failure_ = customer.pattern.name + ": admitted above rate x time + burst";
        }
    }
    // Takes a permit for work of random length. Permits are requested at one instance, which changes at
    // random.
    void start_permit_work()
    {
        if (chance(random_, 15)) {
            permit_home_ = uniform(random_, fleet_.size());
        }
        const std::size_t index = find_serving(permit_home_);
        const duration length = uniform_duration(random_, settings_.max_use_duration);
        if (serves(index)) {
            auto account = find_account(fleet_.node(index), permits_budget);
            if (try_take(*account, 1000, fleet_.local_time(index)).admitted) {
                start_work(index, account, length);
            } else {
                ++permits_refused_;
            }
        }
        fleet_.at(fleet_.now() + exponential(random_, std::chrono::milliseconds(45)),
                  [this] { start_permit_work(); });
    }
    void start_work(std::size_t index, const std::shared_ptr<budget_account>& account, duration length)
    {
        ++permits_taken_;
        ++permits_out_[index];
        // The work takes up to max_use_duration on the instance's own clock.
        const duration real = length * 1000 / fleet_.state(index).speed_permille;
        fleet_.at(fleet_.now() + real, [this, index, account, number = fleet_.state(index).number] {
            give_back(*account, 1000);
            // The permits of a killed process are already subtracted: its work ended with it.
            permits_out_[index] -= fleet_.state(index).number == number && fleet_.alive(index) ? 1 : 0;
        });
    }
    void check_fleet()
    {
        std::int64_t out = 0;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            out += fleet_.alive(i) ? permits_out_[i] : 0;
        }
        if (out > settings_.permits) {
            failure_ = "permits: more in use than the total";
        }
        for (customer_state& customer : customers_) {
            customer.used.refill(fleet_.now());
            check_sums(customer);
        }
    }
    void check_sums(const customer_state& customer)
    {
        budget_amount sum;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.alive(i)) {
                const budget_amount part =
                    usable_amount(fleet_.node(i), customer.budget, fleet_.local_time(i));
                sum.rate_per_second += part.rate_per_second;
                sum.burst += part.burst;
                sum.tokens += part.tokens;
            }
        }
        const bool shares_fit = static_cast<double>(sum.rate_per_second) <= customer.used.rate * 1000 &&
                                static_cast<double>(sum.burst) <= customer.used.burst * 1000;
        if (!shares_fit) {
            failure_ = customer.pattern.name + ": usable shares exceed the total";
        }
        if (static_cast<double>(sum.tokens) > (customer.used.tokens + rounding) * 1000) {
            failure_ = customer.pattern.name + ": tokens exceed the reference bucket";
        }
    }

    // Tolerance of the reference buckets, which are in doubles: a thousandth of a request.
    static constexpr double rounding = 1e-3;
    fleet_settings settings_;
    random_source random_;
    std::vector<customer_state> customers_;
    std::vector<member_record> live_;
    std::vector<time_point> last_contact_;
    std::vector<std::optional<std::size_t>> owner_of_;
    std::array<bool, 64> is_fenced_{};
    std::array<bool, 64> has_stale_owners_{};
    std::array<bool, 64> is_leaving_{};
    std::array<std::int64_t, 64> permits_out_{};
    std::size_t permit_home_ = 0;
    std::size_t permits_refused_ = 0;
    std::size_t permits_taken_ = 0;
    std::string failure_;
    scheduler<budget_ledger> fleet_;
};

} // namespace camphorknot::test_support
