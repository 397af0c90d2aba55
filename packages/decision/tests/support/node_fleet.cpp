#include "node_fleet.hpp"

#include <algorithm>

namespace camphorknot::test_support {
namespace {

constexpr std::size_t instance_count = 8;
constexpr duration store_delay = 3ms;
constexpr duration service_time = 8ms;
constexpr duration revocation_bound = 5s; ///< "Within seconds" in P3, P9 and P11.
/// Maximum clock speed in a run; buckets may refill this much faster.
constexpr double clock_allowance = 1.05;

const std::array<std::string, 3> region_names = {"reykjavik", "akureyri", "egilsstadir"};

schedule_settings make_schedule(const fleet_settings& settings, const std::vector<std::string>& addresses,
                                const std::vector<std::string>& regions,
                                const std::vector<std::string>& domains)
{
    schedule_settings result;
    result.seed = settings.seed;
    result.faults = settings.faults;
    result.fault_limit = settings.fault_limit;
    result.faults_until = settings.faults_until;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        result.placements.push_back({make_id<instance_id>(addresses[i]), make_id<region_id>(regions[i]),
                                     make_id<failure_domain_id>(domains[i])});
    }
    return result;
}

std::string traffic_address_of(const std::string& peer_address)
{
    return peer_address + "1";
}

} // namespace

node_fleet::node_fleet(const fleet_settings& settings)
    : settings_(settings), random_{mix_hash(settings.seed, 77)}
{
    for (std::size_t i = 0; i < instance_count; ++i) {
        peer_addresses_.push_back("10.0.0." + std::to_string(i + 1) + ":71");
        regions_.push_back(region_names[i % region_names.size()]);
        domains_.push_back(regions_.back() + (i / region_names.size() % 2 == 0 ? "-a" : "-b"));
    }
    newest_version_.resize(instance_count);
    node_functions<fleet_member> functions;
    functions.make = [this](std::size_t index, incarnation number, time_point now) {
        return make_member(index, number, now);
    };
    functions.tick = [this](fleet_member& member, time_point now, outbox& out) {
        const std::size_t index = *find_instance(snapshot(*member.control)->traffic_address);
        node_output output;
        tick(*member.control, now, scheduler_->now().time_since_epoch() / 1ms, output);
        handle_output(index, output, out);
    };
    functions.on_message = [this](fleet_member& member, const envelope& message, time_point now,
                                  outbox& out) {
        const std::size_t index = *find_instance(snapshot(*member.control)->traffic_address);
        node_output output;
        on_message(*member.control, message, now, output);
        handle_output(index, output, out);
    };
    scheduler_ = std::make_unique<scheduler<fleet_member>>(
        make_schedule(settings_, peer_addresses_, regions_, domains_), std::move(functions));
    for (int i = 0; i < settings_.store_faults; ++i) {
        const duration when = uniform_duration(random_, settings_.length);
        const bool down = chance(random_, 500);
        at(when, [this, down] { store.fault = down ? store_fault::down : store_fault::lose_answers; });
        at(when + 3s, [this] { store.fault = store_fault::none; });
    }
}

fleet_member node_fleet::make_member(std::size_t index, incarnation number, time_point now)
{
    node_settings result;
    result.peer_address = peer_addresses_[index];
    result.traffic_address = traffic_address_of(peer_addresses_[index]);
    result.region = regions_[index];
    result.failure_domain = domains_[index];
    result.process_nonce = random_();
    result.number = number;
    result.seed = random_();
    fleet_member member{make_node(result, now)};
    std::vector<instance_contact> contacts;
    for (std::size_t i = 0; i < instance_count; ++i) {
        contacts.push_back({make_id<instance_id>(peer_addresses_[i]), make_id<region_id>(regions_[i]),
                            make_id<failure_domain_id>(domains_[i]), peer_addresses_[i]});
    }
    add_contacts(*member.control, contacts, now);
    return member;
}

void node_fleet::handle_output(std::size_t index, node_output& out, outbox& messages)
{
    std::ranges::move(out.messages, std::back_inserter(messages));
    for (const platform_call& call : out.calls) {
        call_platform(index, call);
    }
}

void node_fleet::call_platform(std::size_t index, const platform_call& call)
{
    const incarnation number = scheduler_->state(index).number;
    // The store is in the first region, so a cut of the instance's region or of the first one separates them.
    const bool cut =
        scheduler_->is_cut(make_id<region_id>(regions_[index])) ||
        (regions_[index] != region_names[0] && scheduler_->is_cut(make_id<region_id>(region_names[0])));
    if (cut && !(regions_[index] == region_names[0])) {
        return;
    }
    scheduler_->at(scheduler_->now() + store_delay, [this, index, number, call] {
        const platform_answer answer = answer_call(store, call);
        scheduler_->at(scheduler_->now() + store_delay, [this, index, number, answer] {
            if (!scheduler_->runs(index) || scheduler_->state(index).number != number) {
                return;
            }
            node_output output;
            outbox messages;
            on_platform_answer(*scheduler_->node(index).control, answer, scheduler_->local_time(index),
                               output);
            handle_output(index, output, messages);
            scheduler_->send(messages);
        });
    });
}

std::optional<std::size_t> node_fleet::find_instance(const std::string& traffic_address) const
{
    for (std::size_t i = 0; i < peer_addresses_.size(); ++i) {
        if (traffic_address_of(peer_addresses_[i]) == traffic_address) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> node_fleet::choose_live_instance()
{
    const std::size_t first = uniform(random_, instance_count);
    for (std::size_t i = 0; i < instance_count; ++i) {
        const std::size_t index = (first + i) % instance_count;
        if (scheduler_->runs(index)) {
            return index;
        }
    }
    return std::nullopt;
}

void node_fleet::apply(const configuration_change& change)
{
    const auto index = choose_live_instance();
    if (!index) {
        at(scheduler_->now().time_since_epoch() + 500ms, [this, change] { apply(change); });
        return;
    }
    node& control = *scheduler_->node(*index).control;
    const incarnation number = scheduler_->state(*index).number;
    node_output output;
    outbox messages;
    const std::uint64_t id = propose_change(control, change, configuration_of(control).version,
                                            scheduler_->local_time(*index), output);
    handle_output(*index, output, messages);
    scheduler_->send(messages);
    // An operator's client polls until the change has ended and repeats a change that was not accepted.
    auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, poll, index = *index, number, id, change] {
        const bool same = scheduler_->runs(index) && scheduler_->state(index).number == number;
        const change_progress progress =
            same ? progress_of(*scheduler_->node(index).control, id) : change_progress{};
        if (same && progress.status == change_status::pending) {
            at(scheduler_->now().time_since_epoch() + 100ms, *poll);
            return;
        }
        if (!same || progress.status != change_status::accepted) {
            expect(progress.status != change_status::invalid, "change_valid");
            apply(change);
            return;
        }
        for (const configuration_object& object : change.upserts) {
            const auto* move = std::get_if<move_object>(&object);
            if (move != nullptr && move->kind == move_kind::withdrawal) {
                withdrawn.try_emplace(move->service + "/" + move->version, scheduler_->now());
            } else if (move != nullptr && move->kind == move_kind::drain) {
                for (const std::string& address : move->targets) {
                    drained.try_emplace(address, scheduler_->now());
                }
            }
        }
        for (const object_key& removal : change.removals) {
            if (const auto hash = parse_key_hash(removal.name); hash && removal.kind == object_kind::key) {
                revoked.try_emplace(*hash, scheduler_->now());
            }
        }
    };
    at(scheduler_->now().time_since_epoch() + 100ms, *poll);
}

void node_fleet::plan_caller(std::size_t caller)
{
    const double rate = callers_[caller].rate_per_second;
    const duration gap = exponential(random_, duration(static_cast<std::int64_t>(1e9 / rate)));
    scheduler_->at(scheduler_->now() + gap, [this, caller] {
        send_request(callers_[caller]);
        plan_caller(caller);
    });
}

void node_fleet::send_request(const model_caller& caller)
{
    ++counts.requests;
    ++counts.offered[caller.customer];
    const auto queried = choose_live_instance();
    if (!queried) {
        return;
    }
    const bool non_idempotent = chance(random_, static_cast<std::uint32_t>(caller.non_idempotent_permille));
    const node& control = *scheduler_->node(*queried).control;
    const lookup_answer lookup = look_up(
        *shared_traffic(control), *snapshot(control), non_idempotent ? "sealdesk" : "catalogue",
        non_idempotent ? "register" : "find", caller.client, caller.key, scheduler_->local_time(*queried));
    if (lookup.instances.empty()) {
        refuse(lookup.why, nullptr);
        return;
    }
    std::optional<std::size_t> index = find_instance(lookup.instances.front().address);
    if (!non_idempotent && chance(random_, static_cast<std::uint32_t>(caller.skew_permille))) {
        index = 0;
    }
    const duration transit = 8ms;
    scheduler_->at(scheduler_->now() + transit,
                   [this, caller, index = *index, presented = lookup.ticket_to_sign] {
                       if (!scheduler_->runs(index)) {
                           ++counts.refused["connect_failed"];
                           return;
                       }
                       start_request(caller, index, presented);
                       // A caller that did not get the answer presents its ticket again.
                       if (presented && chance(random_, 100)) {
                           scheduler_->at(scheduler_->now() + 5ms, [this, caller, index, presented] {
                               if (scheduler_->runs(index)) {
                                   start_request(caller, index, presented);
                               }
                           });
                       }
                   });
}

void node_fleet::start_request(const model_caller& caller, std::size_t index,
                               const std::optional<ticket>& presented)
{
    const node& control = *scheduler_->node(index).control;
    const auto view = snapshot(control);
    auto running = std::make_shared<running_request>();
    running->instance = index;
    running->number = scheduler_->state(index).number;
    running->shared = shared_traffic(control);
    const std::string ticket_text = presented ? format_ticket(*presented, {}) : std::string{};
    request_head head;
    head.method = presented ? "POST" : "GET";
    head.path = presented ? "/sealdesk/pieces" : "/catalogue/canes";
    head.key = caller.key;
    head.ticket = ticket_text;
    head.ticket_mac_valid = true;
    admission_answer answer = admit(*running->shared, *view, head, scheduler_->local_time(index));
    if (answer.prior_operation) {
        return;
    }
    if (!answer.request) {
        refuse(answer.why, nullptr);
        counts.over_rate[caller.customer] += answer.why.reason == refusal_reason::rate_exceeded ? 1 : 0;
        return;
    }
    const auto withdrawal = revoked.find(caller.key);
    expect(withdrawal == revoked.end() || scheduler_->now() - withdrawal->second < revocation_bound,
           "p3_revoked_key");
    count_admission(caller);
    running->request = std::move(*answer.request);
    running->operation = presented ? mix_hash(presented->sequence, presented->process_nonce) : 0;
    send_attempt(running);
}

reference_bucket& node_fleet::refill(const std::string& customer)
{
    reference_bucket& bucket = buckets[customer];
    const double seconds = std::chrono::duration<double>(scheduler_->now() - bucket.filled).count();
    bucket.tokens = std::min(bucket.burst, bucket.tokens + bucket.rate * seconds * clock_allowance);
    bucket.filled = scheduler_->now();
    return bucket;
}

void node_fleet::count_admission(const model_caller& caller)
{
    ++counts.admitted[caller.customer];
    reference_bucket& bucket = refill(caller.customer);

    bucket.tokens -= 1;
    expect(bucket.tokens > -1e-6, "p4_customer_rate");
}

bool node_fleet::is_same_process(const running_request& running) const
{
    return scheduler_->alive(running.instance) &&
           scheduler_->state(running.instance).number == running.number;
}

void node_fleet::refuse(const refusal& why, const std::shared_ptr<running_request>& running)
{
    ++counts.refused[std::string(name_of(why.reason))];
    counts.unknown += why.run == outcome::unknown ? 1 : 0;
    const bool ran = running && running->operation != 0 && runs_of_operation_.contains(running->operation);
    expect(!ran || why.run != outcome::not_run, "p7_not_run");
}

void node_fleet::send_attempt(const std::shared_ptr<running_request>& running)
{
    const std::size_t index = running->instance;
    const time_point now = scheduler_->local_time(index);
    const auto view = snapshot(*scheduler_->node(index).control);
    const attempt_answer answer =
        begin_attempt(*running->shared, *view, running->request, running->tried, now);
    if (!answer.next) {
        end_request(*running->shared, running->request, answer.why.run, 0, {}, now);
        refuse(answer.why, running);
        return;
    }
    const target_id target = answer.next->target.target;
    const version_id version = answer.next->target.version;
    running->tried.push_back(target);
    model_target& model = targets[target];
    const auto leaving = drained.find(model.object.address);
    expect(leaving == drained.end() || scheduler_->now() - leaving->second < revocation_bound,
           "p9_leaving_target");
    const auto stopped = withdrawn.find(model.object.service + "/" + model.object.version);
    expect(stopped == withdrawn.end() || scheduler_->now() - stopped->second < revocation_bound,
           "p5_withdrawn_version");
    ++model.running;
    running_[{model.object.service, model.object.region}].push_back(running);
    check_region_load(model);
    if (running->operation != 0) {
        expect(++runs_of_operation_[running->operation] == 1, "p8_at_most_once");
        ++counts.non_idempotent_runs;
    }
    const duration time = exponential(random_, service_time) + model.extra_time;
    scheduler_->at(scheduler_->now() + time,
                   [this, running, target, version, now] { finish_attempt(running, target, version, now); });
}

void node_fleet::finish_attempt(const std::shared_ptr<running_request>& running, target_id target,
                                version_id version, time_point sent)
{
    model_target& model = targets[target];
    --model.running;
    std::erase(running_[{model.object.service, model.object.region}], running);
    if (!is_same_process(*running)) {
        return; // The process is dead; its caller gets the outcome unknown from the closed connection.
    }
    if (!scheduler_->runs(running->instance)) {
        ++model.running;
        running_[{model.object.service, model.object.region}].push_back(running);
        scheduler_->at(scheduler_->now() + 100ms, [this, running, target, version, sent] {
            finish_attempt(running, target, version, sent);
        });
        return;
    }
    const time_point now = scheduler_->local_time(running->instance);
    attempt_report report;
    report.target = target;
    report.service = running->request.service;
    report.route = running->request.route;
    report.version = version;
    report.latency = now - sent;
    const bool failed = chance(random_, static_cast<std::uint32_t>(model.fail_permille));
    report.result = failed ? attempt_result::server_error : attempt_result::answered;
    const auto view = snapshot(*scheduler_->node(running->instance).control);
    const retry_answer next = end_attempt(*running->shared, *view, running->request, report, now);
    if (next.decision == retry_decision::retry) {
        send_attempt(running);
        return;
    }
    end_request(*running->shared, running->request, outcome::ran, failed ? 500 : 200, {}, now);
    if (failed) {
        refuse(next.why, running);
    } else {
        ++counts.served;
    }
}

void node_fleet::check_region_load(const model_target& target)
{
    std::uint64_t slots = 0;
    for (const auto& [id, other] : targets) {
        const bool same =
            other.object.service == target.object.service && other.object.region == target.object.region;
        slots += same ? other.object.slots : 0;
    }
    // The connections of a dead process are closed, so targets cancel its requests.
    const auto& running = running_[{target.object.service, target.object.region}];
    const auto live =
        std::ranges::count_if(running, [this](const auto& request) { return is_same_process(*request); });
    expect(static_cast<std::uint64_t>(live) <= slots, "p2_region_load");
}

void node_fleet::expect(bool holds, const char* name)
{
    if (!holds) {
        ++counts.violations[name];
    }
}

bool node_fleet::check_promises()
{
    for (std::size_t i = 0; i < instance_count; ++i) {
        if (!scheduler_->alive(i)) {
            continue;
        }
        const configuration& current = configuration_of(*scheduler_->node(i).control);
        auto& [number, newest] = newest_version_[i];
        if (number != scheduler_->state(i).number) {
            newest = 0;
            number = scheduler_->state(i).number;
        }
        if (current.version == newest) {
            continue;
        }
        expect(current.version > newest, "p11_version_reverted");
        newest = current.version;
        const std::string text = encode_snapshot(current);
        expect(content_by_version_.try_emplace(current.version, text).first->second == text,
               "p11_one_content");
    }
    return counts.violations.empty();
}

bool node_fleet::run()
{
    for (std::size_t i = 0; i < callers_.size(); ++i) {
        plan_caller(i);
    }
    return scheduler_->run_until(time_point(settings_.length), [this] { return check_promises(); });
}

} // namespace camphorknot::test_support
