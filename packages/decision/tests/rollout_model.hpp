// Model of a rollout on eight instances for randomised runs. A run is reproducible from its seed.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <vector>

#include "camphorknot/rollout.hpp"

namespace camphorknot::model {

using namespace std::chrono_literals;

enum class defect { none, failing, slow };
enum class onset { at_once, later, under_load, one_route, in_soak };

struct rollout_settings {
    defect kind = defect::none;
    onset when = onset::at_once;
    double failure_rate = 0.3; ///< Of a failing version.
    double slow_factor = 3;    ///< Of a slow version.
    std::uint64_t seed = 1;
    rollout_mechanisms enabled;
    duration write_time{};            ///< From a decision until its write takes effect at the lease holder.
    std::optional<duration> length{}; ///< From the start to the deadline; random from 90 to 200 s if unset.
};

struct rollout_result {
    move_state last;
    std::size_t requests = 0;
    std::size_t to_new = 0;
    std::size_t to_new_faulty = 0; ///< While the fault was active, on the routes that it affects.
    bool in_time = false;
    double seconds_to_stop = 0; ///< From the onset of the fault to the last request to the new version.
};

/// Eight instances in three regions. Messages are delayed and 5% of them are lost, rows and facts take up to
/// about a second to arrive, disturbances affect both versions at once, and the new version starts with cold
/// caches.
class rollout_model {
public:
    explicit rollout_model(const rollout_settings& settings)
        : settings_(settings), random_{settings.seed * 104729}
    {
        rate_ = 300 + 1200 * uniform_real(random_);
        const std::uint64_t extra_seconds = uniform(random_, 110);
        length_ = settings.length.value_or(std::chrono::seconds(90 + extra_seconds));
        object_ = {.name = "m",
                   .kind = move_kind::rollout,
                   .service = "s",
                   .version = "v2",
                   .targets = {},
                   .deadline = (start_ + length_).time_since_epoch() / 1ms};
        durable_.id = make_id<move_id>("m");
        fault_at_ = start_ + length_ / 10 + length_ * uniform(random_, 60) / 100;
        for (std::size_t i = 0; i < instance_count; ++i) {
            member_record record;
            record.instance = make_id<instance_id>("i" + std::to_string(i));
            record.number = 1;
            record.region = make_id<region_id>("r" + std::to_string(i % 3));
            live_.push_back(record);
            states_.push_back(make_rollout_state(record.instance, settings.seed * 31 + i));
            states_.back().enabled = settings.enabled;
        }
    }

    rollout_result run()
    {
        constexpr duration warm_up = 12s;
        for (now_ = start_ - warm_up; now_ < start_ + length_ + 5s; now_ += step_length) {
            deliver();
            if (now_ == start_) {
                for (rollout_state& state : states_) {
                    set_move(state, object_, durable_, now_);
                }
            }
            arrivals();
            if (now_ >= start_) {
                control();
            }
        }
        result_.last = durable_;
        result_.in_time = durable_.stage == move_stage::done && last_write_ <= start_ + length_;
        result_.seconds_to_stop = std::chrono::duration<double>(last_faulty_ - first_faulty_).count();
        return result_;
    }

private:
    static constexpr std::size_t instance_count = 8;
    static constexpr duration step_length = 10ms;
    static constexpr std::array<double, 4> route_shares{0.5, 0.3, 0.15, 0.05};

    struct outcome_event {
        std::size_t instance;
        std::size_t route;
        bool is_new;
        bool failed;
        duration latency;
        std::uint64_t kb;
    };

    double exponential(double mean) { return -mean * std::log(1 - uniform_real(random_)); }
    duration delay(duration min_delay, duration max_delay)
    {
        return min_delay + duration(static_cast<duration::rep>(
                               uniform_real(random_) * static_cast<double>((max_delay - min_delay).count())));
    }

    void deliver()
    {
        while (!outcomes_.empty() && outcomes_.begin()->first <= now_) {
            const outcome_event& event = outcomes_.begin()->second;
            count_outcome(
                states_[event.instance], service_name_, make_id<route_id>(std::to_string(event.route)),
                event.is_new ? new_version_ : old_version_, event.failed, event.latency, event.kb, now_);
            outcomes_.erase(outcomes_.begin());
        }
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            const envelope& message = messages_.begin()->second;
            for (rollout_state& state : states_) {
                if (state.self == message.to) {
                    on_message(state, message, now_);
                }
            }
            messages_.erase(messages_.begin());
        }
        while (!stops_.empty() && stops_.begin()->first <= now_) {
            on_version_stopped(states_[stops_.begin()->second], service_name_, new_version_);
            stops_.erase(stops_.begin());
        }
        while (!rows_.empty() && rows_.begin()->first <= now_) {
            set_move(states_[rows_.begin()->second.first], object_, rows_.begin()->second.second, now_);
            rows_.erase(rows_.begin());
        }
    }

    [[nodiscard]] bool fault_is_active(std::size_t route) const
    {
        switch (settings_.when) {
        case onset::at_once:
            return true;
        case onset::later:
            return now_ >= fault_at_;
        case onset::under_load:
            return durable_.share_percent >= 25;
        case onset::one_route:
            return route == 3;
        case onset::in_soak:
            return durable_.stage == move_stage::soaking && now_ >= soak_started_ + 3s;
        }
        return false;
    }

    // A region's network or a shared dependency slows both versions for a moment.
    [[nodiscard]] double disturbance(std::size_t instance) const
    {
        const auto period = static_cast<std::uint64_t>(now_.time_since_epoch() / 1s) / 7;
        const std::uint64_t chance = mix_hash(settings_.seed * 3 + instance % 3, period);
        return chance % 5 == 0 ? 1.6 : 1;
    }

    void arrivals()
    {
        next_arrival_ -= 0.01;
        while (next_arrival_ < 0) {
            next_arrival_ += exponential(1 / rate_);
            request(uniform(random_, instance_count));
        }
    }

    std::size_t draw_route()
    {
        double remaining_weight = uniform_real(random_);
        for (std::size_t route = 0; route < route_shares.size(); ++route) {
            remaining_weight -= route_shares[route];
            if (remaining_weight < 0) {
                return route;
            }
        }
        return 0;
    }

    void request(std::size_t instance)
    {
        const std::size_t route = draw_route();
        const bool is_new = choose_version(states_[instance], service_, now_) == new_version_;
        const bool running = now_ >= start_ && durable_.stage != move_stage::rolled_back;
        result_.requests += running ? 1 : 0;
        result_.to_new += is_new ? 1 : 0;
        if (is_new && first_new_ == time_point{}) {
            first_new_ = now_;
        }
        const bool faulty = is_new && settings_.kind != defect::none && fault_is_active(route);
        if (faulty) {
            ++result_.to_new_faulty;
            first_faulty_ = first_faulty_ == time_point{} ? now_ : first_faulty_;
            last_faulty_ = now_;
        }
        const std::uint64_t kb = std::uint64_t{1} << (4 * uniform(random_, 3));
        double ms = (10 + 10 * static_cast<double>(route)) * (kb > 16 ? 3 : 1) * disturbance(instance);
        ms *=
            std::exp(0.5 * (uniform_real(random_) + uniform_real(random_) + uniform_real(random_) - 1.5) * 2);
        ms *= is_new && now_ - first_new_ < 8s ? 3 : 1;
        ms *= faulty && settings_.kind == defect::slow ? settings_.slow_factor : 1;
        const double failure = faulty && settings_.kind == defect::failing ? settings_.failure_rate : 0.002;
        const bool failed = uniform_real(random_) < failure;
        const duration latency(static_cast<duration::rep>(ms * 1e6));
        outcomes_.emplace(now_ + latency, outcome_event{instance, route, is_new, failed, latency, kb});
    }

    void control()
    {
        for (std::size_t i = 0; i < instance_count; ++i) {
            outbox out;
            if (!tick(states_[i], live_, now_, out).empty()) {
                for (std::size_t other = 0; other < instance_count; ++other) {
                    stops_.emplace(now_ + (other == i ? 0ms : delay(200ms, 1200ms)), other);
                }
            }
            for (const envelope& message : out) {
                if (uniform_real(random_) >= 0.05) {
                    messages_.emplace(now_ + delay(2ms, 80ms), message);
                }
            }
        }
        if (now_ < next_write_) {
            return;
        }
        next_write_ = now_ + 250ms;
        const auto wall = static_cast<unix_milliseconds>(now_.time_since_epoch() / 1ms);
        // Any instance may hold the lease; here it is instance 4.
        if (!pending_) {
            pending_ = next_state(states_[4], durable_.id, wall, now_, std::nullopt);
            pending_due_ = now_ + settings_.write_time;
        }
        if (!pending_ || now_ < pending_due_) {
            return;
        }
        const auto next = std::exchange(pending_, std::nullopt);

        const std::uint64_t row = durable_.row_version + 1;
        durable_ = *next;
        durable_.row_version = row;
        soak_started_ = durable_.stage == move_stage::soaking ? now_ : soak_started_;
        last_write_ = now_;
        for (std::size_t i = 0; i < instance_count; ++i) {
            rows_.emplace(now_ + (i == 4 ? 0ms : delay(200ms, 1000ms)), std::pair{i, durable_});
        }
        next_write_ = now_ + 500ms;
    }

    std::optional<move_state> pending_;
    time_point pending_due_{};
    rollout_settings settings_;
    random_source random_;
    const service_object service_{.name = "s", .routes = {}, .active_version = "v1"};
    const service_id service_name_ = make_id<service_id>("s");
    const version_id old_version_ = make_id<version_id>("v1");
    const version_id new_version_ = make_id<version_id>("v2");
    const time_point start_{2000s};
    double rate_ = 0;
    double next_arrival_ = 0;
    duration length_{};
    move_object object_;
    move_state durable_;
    time_point now_{};
    time_point fault_at_{};
    time_point first_new_{};
    time_point first_faulty_{};
    time_point last_faulty_{};
    time_point soak_started_{};
    time_point last_write_{};
    time_point next_write_{};
    std::vector<member_record> live_;
    std::vector<rollout_state> states_;
    std::multimap<time_point, outcome_event> outcomes_;
    std::multimap<time_point, envelope> messages_;
    std::multimap<time_point, std::size_t> stops_;
    std::multimap<time_point, std::pair<std::size_t, move_state>> rows_;
    rollout_result result_;
};

} // namespace camphorknot::model
