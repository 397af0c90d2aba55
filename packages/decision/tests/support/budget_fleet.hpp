/// @file
/// A fleet of budget ledgers on the scheduler, with callers, a stand-in for membership, and checks of the
/// whole fleet on real simulated time.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>

#include "camphorknot/budget.hpp"
#include "scheduler.hpp"

namespace camphorknot::test_support {

/// Token bucket on real time: the reference for what all instances together may admit.
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
    double rate = 100;      ///< Of the customer, per second.
    double burst = 100;     ///< Requests.
    double load = 0.7;      ///< Demand as a part of the rate.
    double skew = 1.0;      ///< Part of the requests that go to one instance; the rest go to all.
    duration moves_after{}; ///< Time at one instance; zero for good.
};

struct customer_state {
    caller_pattern pattern;
    budget_id budget;
    double first_rate = 0;
    double first_burst = 0;
    std::uint64_t changes = 0; ///< Of rate and burst.
    std::size_t home = 0;
    reference_bucket ideal;                     ///< What a single counter would admit.
    reference_bucket used;                      ///< Drained by the fleet's admissions; never below zero.
    std::vector<reference_bucket> equal_static; ///< Baseline.
    std::size_t asked = 0;
    std::size_t entitled = 0; ///< Admitted by the ideal bucket.
    std::size_t served = 0;
    std::size_t refused_inside = 0; ///< Refused although the ideal bucket admitted it.
    std::size_t static_served = 0;
    std::size_t static_refused_inside = 0;
};

struct fleet_settings {
    schedule_settings schedule;
    ledger_settings ledger;
    std::vector<caller_pattern> patterns;
    std::int64_t permits = 40;
    duration max_use_duration = std::chrono::seconds(4);
    duration warm_up = std::chrono::seconds(4);
    duration authority_term = std::chrono::seconds(3);
    duration stopped_after =
        std::chrono::milliseconds(5300); ///< Silence until an instance is proved stopped.
    duration increase_delay = std::chrono::seconds(5);
    duration mean_between_stops{};  ///< Graceful ones; zero for none.
    duration mean_between_totals{}; ///< Changes of a customer's rate and burst; zero for none.
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
        : settings_(settings), callers_{settings.schedule.seed ^ 0xca11e5U},
          contact_(settings.schedule.placements.size()), owner_of_(settings.schedule.placements.size()),
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
        fleet_.at(time_point{}, [this] { watch(); });
        fleet_.at(time_point(settings_.warm_up), [this] { start_callers(); });
        plan(settings_.mean_between_stops, [this] { stop_one(); });
        plan(settings_.mean_between_totals, [this] { change_total(); });
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
                if (!state.given.empty()) {
                    found.emplace_back("loan given");
                }
                if (!state.taken.empty()) {
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
        state.first_rate = pattern.rate;
        state.first_burst = pattern.burst;
        state.budget = make_id<budget_id>(pattern.name);
        state.home = uniform(callers_, fleet_.size());
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
        contact_[index] = fleet_.now();
        permits_out_[index] = 0;
        leaving_[index] = false;
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
    // Stands in for membership: authority from contact, proof of a stop after silence, change of owners.
    void watch()
    {
        live_.clear();
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            if (fleet_.now() - contact_[i] < std::chrono::seconds(2)) {
                member_record record;
                record.instance = settings_.schedule.placements[i].instance;
                record.number = fleet_.state(i).number;
                record.region = settings_.schedule.placements[i].region;
                record.failure_domain = settings_.schedule.placements[i].failure_domain;
                live_.push_back(record);
            }
            if (in_contact(i)) {
                renew_contact(i);
            } else if (!owner_of_[i] && fleet_.now() - contact_[i] > settings_.stopped_after) {
                prove_stopped(i);
            }
        }
        check_fleet();
        fleet_.at(fleet_.now() + std::chrono::milliseconds(50), [this] { watch(); });
    }
    void renew_contact(std::size_t index)
    {
        if (owner_of_[index] && *owner_of_[index] != index && fenced_[index]) {
            // A fenced process that comes back takes a new incarnation, and claims its slot a second later.
            fenced_[index] = false;
            fleet_.kill(index, duration::zero());
            fleet_.at(fleet_.now() + std::chrono::seconds(1), [this, index] { return_slot(index); });
            return;
        }
        if (behind_[index]) {
            behind_[index] = false;
            apply_owners(fleet_.node(index), fleet_.local_time(index), settings_.increase_delay);
            apply_totals(fleet_.node(index), fleet_.local_time(index), settings_.increase_delay);
        }
        contact_[index] = fleet_.now();
        set_authority_until(fleet_.node(index), fleet_.local_time(index) + settings_.authority_term);
    }
    void prove_stopped(std::size_t index)
    {
        std::size_t heir = index;
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            heir = heir == index && i != index && in_contact(i) ? i : heir;
        }
        if (heir == index) {
            return;
        }
        owner_of_[index] = heir;
        fenced_[index] = true;
        tell_stopped(index);
        spread_owners();
    }
    void return_slot(std::size_t index)
    {
        if (fleet_.alive(index) && !fenced_[index]) {
            owner_of_[index].reset();
            spread_owners();
        }
    }
    // Owners reach each instance at another time; one that is out of contact learns them with its next
    // contact.
    void spread_owners()
    {
        for (std::size_t i = 0; i < fleet_.size(); ++i) {
            behind_[i] = true;
            fleet_.at(fleet_.now() + uniform_duration(callers_, std::chrono::milliseconds(400)), [this, i] {
                if (in_contact(i) && behind_[i]) {
                    renew_contact(i);
                }
            });
        }
    }
    void plan(duration mean, const std::function<void()>& action)
    {
        if (mean > duration::zero()) {
            fleet_.at(fleet_.now() + exponential(callers_, mean), [this, mean, action] {
                action();
                plan(mean, action);
            });
        }
    }
    // Changes a rate and burst. The higher total holds until every instance has the change or lost authority.
    void change_total()
    {
        customer_state& customer = customers_[uniform(callers_, customers_.size())];
        customer.pattern.rate = customer.first_rate * static_cast<double>(1 + uniform(callers_, 3)) / 2;
        customer.pattern.burst = customer.first_burst * static_cast<double>(1 + uniform(callers_, 3)) / 2;
        customer.used.refill(fleet_.now());
        customer.used.rate = std::max(customer.used.rate, customer.pattern.rate);
        customer.used.burst = std::max(customer.used.burst, customer.pattern.burst);
        customer.ideal.refill(fleet_.now());
        customer.ideal.rate = customer.pattern.rate;
        customer.ideal.burst = customer.pattern.burst;
        spread_owners();
        const std::uint64_t change = ++customer.changes;
        fleet_.at(fleet_.now() + settings_.increase_delay, [this, &customer, change] {
            if (change == customer.changes) {
                customer.used.refill(fleet_.now());
                customer.used.rate = customer.pattern.rate;
                customer.used.burst = customer.pattern.burst;
            }
        });
    }
    // Hands over, leaves, and starts again as a new process a second later.
    void stop_one()
    {
        const std::size_t index = uniform(callers_, fleet_.size());
        if (!serves(index) || !in_contact(index)) {
            return;
        }
        outbox out;
        leaving_[index] = true;
        hand_over(fleet_.node(index), live_, fleet_.local_time(index), out);
        fleet_.send(out);
        fleet_.at(fleet_.now() + std::chrono::milliseconds(500),
                  [this, index, number = fleet_.state(index).number] {
                      if (fleet_.alive(index) && fleet_.state(index).number == number) {
                          fleet_.kill(index, std::chrono::seconds(1));
                          tell_stopped(index);
                      }
                  });
    }
    void tell_stopped(std::size_t index)
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
            arrive(c);
        }
        use_permit();
    }
    std::size_t serving_from(std::size_t index) const
    {
        std::size_t chosen = index;
        for (std::size_t tries = 0; tries < fleet_.size() && !serves(chosen); ++tries) {
            chosen = (chosen + 1) % fleet_.size();
        }
        return chosen;
    }
    void arrive(std::size_t c)
    {
        customer_state& customer = customers_[c];
        const caller_pattern& pattern = customer.pattern;
        const double mean = 1.0 / (customer.first_rate * pattern.load);
        const bool to_home = uniform_real(callers_) < pattern.skew;
        const std::size_t other = uniform(callers_, fleet_.size());
        if (pattern.moves_after > duration::zero() &&
            chance_per(duration(static_cast<std::int64_t>(mean * 1e9)), pattern.moves_after)) {
            customer.home = uniform(callers_, fleet_.size());
        }
        const std::size_t index = serving_from(to_home ? customer.home : other);
        if (serves(index)) {
            request(customer, index);
        }
        fleet_.at(fleet_.now() + exponential(callers_, duration(static_cast<std::int64_t>(mean * 1e9))),
                  [this, c] { arrive(c); });
    }
    bool chance_per(duration step, duration mean)
    {
        return uniform_real(callers_) < static_cast<double>(step.count()) / static_cast<double>(mean.count());
    }
    void request(customer_state& customer, std::size_t index)
    {
        ++customer.asked;
        const bool inside = customer.ideal.take(fleet_.now());
        customer.entitled += inside ? 1 : 0;
        const bool by_static = customer.equal_static[index].take(fleet_.now());
        customer.static_served += by_static ? 1 : 0;
        customer.static_refused_inside += inside && !by_static ? 1 : 0;
        const auto account = find_account(fleet_.node(index), customer.budget);
        if (!try_take(*account, 1000, fleet_.local_time(index)).admitted) {
            customer.refused_inside += inside ? 1 : 0;
            return;
        }
        ++customer.served;
        customer.used.refill(fleet_.now());
        customer.used.tokens -= 1.0;
        if (customer.used.tokens < -rounding) {
            failure_ = customer.pattern.name + ": admitted above rate x time + burst";
        }
    }
    // Work of random length on the permits; its callers stay near one instance for a while.
    void use_permit()
    {
        if (chance(callers_, 15)) {
            permit_home_ = uniform(callers_, fleet_.size());
        }
        const std::size_t index = serving_from(permit_home_);
        const duration length = uniform_duration(callers_, settings_.max_use_duration);
        if (serves(index)) {
            auto account = find_account(fleet_.node(index), permits_budget);
            if (try_take(*account, 1000, fleet_.local_time(index)).admitted) {
                start_work(index, account, length);
            } else {
                ++permits_refused_;
            }
        }
        fleet_.at(fleet_.now() + exponential(callers_, std::chrono::milliseconds(45)),
                  [this] { use_permit(); });
    }
    void start_work(std::size_t index, const std::shared_ptr<budget_account>& account, duration length)
    {
        ++permits_taken_;
        ++permits_out_[index];
        // The work takes up to max_use_duration on the instance's own clock.
        const duration real = length * 1000 / fleet_.state(index).speed_permille;
        fleet_.at(fleet_.now() + real, [this, index, account, number = fleet_.state(index).number] {
            give_back(*account, 1000);
            // A killed process has no work any more; its permits were counted as ended then.
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
                const budget_amount part = usable(fleet_.node(i), customer.budget, fleet_.local_time(i));
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

    static constexpr double rounding = 1e-3; ///< A thousandth of a request, for the reference in doubles.
    fleet_settings settings_;
    random_source callers_;
    std::vector<customer_state> customers_;
    std::vector<member_record> live_;
    std::vector<time_point> contact_;
    std::vector<std::optional<std::size_t>> owner_of_;
    std::array<bool, 64> fenced_{};
    std::array<bool, 64> behind_{};
    std::array<bool, 64> leaving_{};
    std::array<std::int64_t, 64> permits_out_{};
    std::size_t permit_home_ = 0;
    std::size_t permits_refused_ = 0;
    std::size_t permits_taken_ = 0;
    std::string failure_;
    scheduler<budget_ledger> fleet_;
};

} // namespace camphorknot::test_support
