// Model of targets and routers for randomised runs: one seed replays one run.
#pragma once

#include "routing_model_parts.hpp"

namespace camphorknot::model {

/// Eight routers in three regions over 18 targets with slots, queues, shedding, cold caches and lagging
/// reports. The baselines choose among the targets of the own region and retry without a budget.
class traffic_model {
public:
    explicit traffic_model(const model_settings& settings)
        : settings_(settings), random_{settings.seed * 7919}
    {
        make_targets(settings.injected == fault::new_target ? target_count - region_count : target_count);
        make_routers();
    }

    model_result run()
    {
        const auto seconds = static_cast<std::size_t>(settings_.length / 1s) + 10;
        result_.attempts_per_second.resize(seconds);
        result_.requests_per_second.resize(seconds);
        for (std::size_t r = 0; r < router_count; ++r) {
            schedule_arrival(r);
        }
        at(fault_time(), [this] { inject(); });
        at(model_start + 500ms, [this] { report_loads(); });
        while (!events_.empty() && events_.top().when < model_start + settings_.length + 5s) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            (*next.run)();
        }
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            const double length = std::chrono::duration<double, std::milli>(settings_.length).count();
            if (is_healthy(t)) {
                result_.most_loaded = std::max(result_.most_loaded, targets_[t].busy_ms / (slots * length));
            }
        }
        return std::move(result_);
    }

    [[nodiscard]] time_point fault_time() const { return model_start + settings_.length / 3; }

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::shared_ptr<std::function<void()>> run;
        bool operator<(const event& other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void at(time_point when, std::function<void()> run)
    {
        events_.push({when, order_++, std::make_shared<std::function<void()>>(std::move(run))});
    }

    static duration ms(double value) { return duration(static_cast<duration::rep>(value * 1e6)); }
    double exponential(double mean) { return -mean * std::log(1 - uniform_real(random_)); }
    [[nodiscard]] bool faulty() const { return now_ >= fault_time(); }
    [[nodiscard]] bool hit(fault kind, std::size_t target, std::size_t victim) const
    {
        return faulty() && target == victim &&
               (settings_.injected == kind || settings_.injected == fault::all_three);
    }
    [[nodiscard]] bool is_frozen(std::size_t t) const { return hit(fault::frozen, t, 0); }
    [[nodiscard]] bool is_slow(std::size_t t) const { return hit(fault::slow, t, 3); }
    [[nodiscard]] bool is_failing(std::size_t t) const { return hit(fault::failing, t, 6); }
    [[nodiscard]] bool is_dead(std::size_t t) const
    {
        return faulty() && settings_.injected == fault::region_lost && targets_[t].region == 2;
    }
    [[nodiscard]] bool is_healthy(std::size_t t) const
    {
        return !is_frozen(t) && !is_slow(t) && !is_failing(t) && !is_dead(t);
    }

    void make_targets(std::size_t count)
    {
        while (targets_.size() < count) {
            const std::size_t t = targets_.size();
            targets_.push_back({.region = t % region_count, .queue = {}, .born = now_});
            objects_.push_back({"t" + std::to_string(t), "s", "v1", "r" + std::to_string(t % region_count),
                                "d" + std::to_string(t % (2 * region_count)), slots});
            ids_[make_id<target_id>(objects_.back().address)] = t;
        }
    }

    void make_routers()
    {
        for (std::size_t r = 0; r < router_count; ++r) {
            router_model model{
                .region = r % region_count, .state = {}, .pooled_generation = {}, .in_flight = {}};
            model.state = make_router(
                {.region = make_id<region_id>("r" + std::to_string(r % region_count)),
                 .failure_domain = make_id<failure_domain_id>("d" + std::to_string(r % (2 * region_count))),
                 .seed = settings_.seed * 100 + r,
                 .fleet_size = router_count,
                 .enabled = settings_.enabled},
                now_);
            routers_.push_back(std::move(model));
        }
        set_all_targets();
    }

    void set_all_targets()
    {
        for (router_model& model : routers_) {
            set_targets(model.state, std::span(&service_, 1), objects_, now_);
            model.pooled_generation.resize(targets_.size());
            model.in_flight.resize(targets_.size());
        }
    }

    // Callers are skewed: within a region, the routers get different parts of the load.
    [[nodiscard]] double arrival_rate(std::size_t r) const
    {
        double whole = 0;
        for (std::size_t other = r % region_count; other < router_count; other += region_count) {
            whole += routers_[other].dead ? 0 : static_cast<double>(other + 2);
        }
        const double region_rate = settings_.load * slots * targets_per_region * 1000 / mean_service_ms;
        double rate = region_rate * static_cast<double>(r + 2) / whole;
        if (faulty() && settings_.injected == fault::region_lost && now_ >= fault_time() + 2s) {
            rate *= static_cast<double>(region_count) / (region_count - 1);
        }
        return rate;
    }

    void schedule_arrival(std::size_t r)
    {
        at(now_ + ms(exponential(1000 / arrival_rate(r))), [this, r] {
            if (now_ >= model_start + settings_.length || routers_[r].dead) {
                return;
            }
            schedule_arrival(r);
            requests_.push_back({.router = r, .started = now_, .tried = {}});
            ++result_.requests;
            ++result_.requests_per_second[second()];
            attempt(requests_.size() - 1, false);
        });
    }

    [[nodiscard]] std::size_t second() const { return static_cast<std::size_t>((now_ - model_start) / 1s); }

    void inject()
    {
        if (settings_.injected == fault::new_target) {
            make_targets(target_count);
            set_all_targets();
        }
        if (settings_.injected == fault::silent) {
            // A middlebox forgets all connections to one target in each region.
            for (std::size_t t = 0; t < region_count; ++t) {
                targets_[t].silent_up_to = 1;
            }
        }
        if (settings_.injected == fault::region_lost) {
            for (router_model& model : routers_) {
                model.dead = model.region == 2;
            }
            at(now_ + 2s, [this] {
                for (router_model& model : routers_) {
                    set_fleet_size(model.state, router_count - 2);
                }
            });
        }
    }

    void report_loads()
    {
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            const double load =
                is_frozen(t) ? 0 : targets_[t].running + static_cast<double>(targets_[t].queue.size());
            at(now_ + 300ms, [this, t, load, measured = now_] {
                for (router_model& model : routers_) {
                    on_load_report(model.state, make_id<target_id>(objects_[t].address), load, measured);
                }
            });
        }
        at(now_ + 500ms, [this] { report_loads(); });
    }

    routing_request make_request(const request_state& request) const
    {
        return {.service = make_id<service_id>("s"),
                .route = route_id_of("s", "get"),
                .deadline = request.started + request_timeout,
                .timeout = request_timeout,
                .tried = request.tried};
    }

    std::optional<std::size_t> choose_baseline(router_model& model, const request_state& request)
    {
        std::optional<std::size_t> best;
        for (std::size_t step = 0; step < targets_.size(); ++step) {
            const std::size_t t = (model.next + step) % targets_.size();
            const auto id = make_id<target_id>(objects_[t].address);
            const bool tried =
                std::find(request.tried.begin(), request.tried.end(), id) != request.tried.end();
            if (targets_[t].region != model.region || tried) {
                continue;
            }
            if (!best || (settings_.chosen == policy::least_in_flight &&
                          model.in_flight[t] < model.in_flight[*best])) {
                best = t;
            }
        }
        model.next = settings_.chosen == policy::round_robin && best ? *best + 1 : model.next + 1;
        return best;
    }

    // A region takes at most 1.5 requests per slot, so that short queues are possible but no overload is.
    bool region_permits(region_id region)
    {
        std::uint32_t used = 0;
        std::uint32_t all = 0;
        for (std::size_t t = 0; t < targets_.size(); ++t) {
            if (make_id<region_id>(objects_[t].region) != region) {
                continue;
            }
            all += slots;
            for (const router_model& model : routers_) {
                used += model.in_flight[t];
            }
        }
        return used * 2 < all * 3;
    }

    void attempt(std::size_t r, bool hedge)
    {
        request_state& request = requests_[r];
        router_model& model = routers_[request.router];
        std::optional<std::size_t> chosen;
        if (settings_.chosen == policy::product) {
            const auto answer = choose_target(
                model.state, make_request(request),
                [this](service_id, region_id region) { return region_permits(region); }, now_);
            if (answer.choice) {
                chosen = ids_.at(answer.choice->target);
            }
        } else {
            chosen = choose_baseline(model, request);
        }
        if (!chosen) {
            if (!hedge && request.open_attempts == 0) {
                request.done = true;
                ++(request.tried.empty() ? result_.refused : result_.failed);
            }
            return;
        }
        send(r, *chosen);
        if (settings_.chosen == policy::product && request.open_attempts == 1) {
            if (const auto delay = hedge_delay(model.state, make_request(request), now_)) {
                at(now_ + *delay, [this, r] {
                    request_state& waiting = requests_[r];
                    if (!waiting.done && waiting.open_attempts == 1 &&
                        take_hedge_token(routers_[waiting.router].state)) {
                        attempt(r, true);
                    }
                });
            }
        }
    }

    void send(std::size_t r, std::size_t t)
    {
        request_state& request = requests_[r];
        router_model& model = routers_[request.router];
        const auto id = make_id<target_id>(objects_[t].address);
        request.tried.push_back(id);
        ++request.open_attempts;
        ++model.in_flight[t];
        ++result_.attempts_per_second[second()];
        std::uint64_t& pooled = model.pooled_generation[t];
        if (settings_.chosen == policy::product &&
            (pooled == 0 || pooled < oldest_trusted_generation(model.state, id))) {
            pooled = connection_generation(model.state, id);
        }
        attempts_.push_back(
            {.request = r, .target = t, .generation = std::max<std::uint64_t>(1, pooled), .started = now_});
        const std::size_t a = attempts_.size() - 1;
        at(now_ + one_way(model, t), [this, a] { arrive(a); });
        at(now_ + attempt_timeout, [this, a] { time_out(a); });
    }

    [[nodiscard]] duration one_way(const router_model& model, std::size_t t) const
    {
        return model.region == targets_[t].region ? ms(1) : ms(20);
    }

    void answer(std::size_t a, attempt_result how)
    {
        at(now_ + one_way(routers_[requests_[attempts_[a].request].router], attempts_[a].target),
           [this, a, how] { end(a, how); });
    }

    void arrive(std::size_t a)
    {
        const attempt_state& attempt = attempts_[a];
        target_model& target = targets_[attempt.target];
        if (attempt.ended || is_dead(attempt.target) || is_frozen(attempt.target) ||
            attempt.generation <= target.silent_up_to) {
            return;
        }
        if (is_failing(attempt.target)) {
            answer(a, attempt_result::server_error);
        } else if (target.running < slots) {
            serve(a);
        } else if (target.queue.size() < queue_limit) {
            target.queue.push_back(a);
        } else {
            answer(a, attempt_result::shed_before_run);
        }
    }

    void serve(std::size_t a)
    {
        attempt_state& attempt = attempts_[a];
        target_model& target = targets_[attempt.target];
        ++target.running;
        attempt.running = true;
        const bool cold = target.born > model_start && now_ - target.born < 8s;
        const double factor = (is_slow(attempt.target) ? 10.0 : 1.0) * (cold ? 4.0 : 1.0);
        // Half of the time is fixed, so the spread is that of a service with a few slow requests.
        const double service_ms = factor * (mean_service_ms / 2 + exponential(mean_service_ms / 2));
        const time_point begun = now_;
        at(now_ + ms(service_ms), [this, a, begun] {
            if (attempts_[a].running) {
                free_slot(a, begun);
                answer(a, attempt_result::answered);
            }
        });
        begun_[a] = begun;
    }

    void free_slot(std::size_t a, time_point begun)
    {
        attempt_state& attempt = attempts_[a];
        target_model& target = targets_[attempt.target];
        attempt.running = false;
        begun_.erase(a);
        --target.running;
        target.busy_ms += std::chrono::duration<double, std::milli>(now_ - begun).count();
        while (!target.queue.empty() && target.running < slots) {
            const std::size_t next = target.queue.front();
            target.queue.pop_front();
            if (!attempts_[next].ended) {
                serve(next);
            }
        }
    }

    void cancel(std::size_t a)
    {
        if (attempts_[a].running) {
            free_slot(a, begun_.at(a));
        }
        end(a, attempt_result::cancelled);
    }

    void time_out(std::size_t a)
    {
        if (attempts_[a].ended) {
            return;
        }
        if (attempts_[a].running) {
            free_slot(a, begun_.at(a));
        }
        attempt_state& attempt = attempts_[a];
        const bool dead = is_dead(attempt.target);
        end(a, dead ? attempt_result::connect_failed : attempt_result::timed_out);
        if (settings_.chosen != policy::product || dead) {
            return;
        }
        // The daemon tests the target with a fresh connection.
        const bool works = !is_frozen(attempt.target);
        on_silent_connection(routers_[requests_[attempt.request].router].state,
                             make_id<target_id>(objects_[attempt.target].address), attempt.generation, works);
    }

    void end(std::size_t a, attempt_result how)
    {
        attempt_state& attempt = attempts_[a];
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        request_state& request = requests_[attempt.request];
        router_model& model = routers_[request.router];
        --model.in_flight[attempt.target];
        --request.open_attempts;
        const attempt_report report{.target = make_id<target_id>(objects_[attempt.target].address),
                                    .service = make_id<service_id>("s"),
                                    .route = route_id_of("s", "get"),
                                    .version = make_id<version_id>("v1"),
                                    .result = how,
                                    .latency = now_ - attempt.started,
                                    .connection_generation = attempt.generation};
        on_attempt_end(model.state, report, now_);
        if (request.done || how == attempt_result::cancelled) {
            return;
        }
        if (how == attempt_result::answered) {
            finish(attempt.request);
        } else if (request.open_attempts == 0) {
            retry(attempt.request, report);
        }
    }

    void finish(std::size_t r)
    {
        requests_[r].done = true;
        result_.latency_ms.push_back(
            std::chrono::duration<double, std::milli>(now_ - requests_[r].started).count());
        const std::size_t first = attempts_.size() > 4000 ? attempts_.size() - 4000 : 0;
        for (std::size_t a = attempts_.size(); requests_[r].open_attempts > 0 && a-- > first;) {
            if (attempts_[a].request == r && !attempts_[a].ended) {
                cancel(a);
            }
        }
    }

    void retry(std::size_t r, const attempt_report& report)
    {
        request_state& request = requests_[r];
        bool again = request.tried.size() < most_attempts && now_ < request.started + request_timeout;
        if (settings_.chosen == policy::product) {
            const auto decided =
                decide_retry(routers_[request.router].state, make_request(request), report, now_);
            again = decided.decision == retry_decision::retry && request.tried.size() < most_attempts;
        }
        if (again && !routers_[request.router].dead) {
            attempt(r, false);
            return;
        }
        request.done = true;
        ++(report.result == attempt_result::shed_before_run ? result_.refused : result_.failed);
    }

    model_settings settings_;
    random_source random_;
    service_object service_{.name = "s",
                            .routes = {{.name = "get", .method = "GET", .path_prefix = "/s/"}},
                            .active_version = "v1"};
    time_point now_ = model_start;
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::vector<target_model> targets_;
    std::vector<target_object> objects_;
    std::map<target_id, std::size_t> ids_;
    std::vector<router_model> routers_;
    std::vector<request_state> requests_;
    std::vector<attempt_state> attempts_;
    std::map<std::size_t, time_point> begun_;
    model_result result_;
};

} // namespace camphorknot::model
