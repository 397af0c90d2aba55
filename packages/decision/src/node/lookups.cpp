#include <algorithm>

#include "camphorknot/node/views.hpp"

namespace camphorknot {
namespace {

constexpr duration lookup_time_to_live = std::chrono::seconds(2);
constexpr duration lookup_retry_after = std::chrono::milliseconds(500);
constexpr std::size_t max_named_instances = 8;
constexpr std::uint32_t default_weight = 1;
/// Tokens that one instance needs to absorb the variation in a customer's arrivals.
constexpr std::int64_t burst_per_instance = 16;

struct candidate {
    const member_record* member = nullptr;
    std::uint32_t weight = default_weight;
};

const route_view* find_route(const traffic_snapshot& view, std::string_view service, std::string_view route)
{
    const auto found = std::ranges::find_if(view.configured->routes, [&](const route_view& entry) {
        return view.configured->services[entry.service_index].name == service && entry.object.name == route;
    });
    return found == view.configured->routes.end() ? nullptr : &*found;
}

// An instance without authority is on the smaller side of a partition. The other instances of its region are
// on the same side, so it offers only instances of other regions.
bool can_offer(const traffic_snapshot& view, const member_record& member, bool self_has_authority)
{
    if (member.state != member_state::alive || member.traffic_address.empty()) {
        return false;
    }
    if (member.instance == view.self) {
        return self_has_authority && !view.leaving;
    }
    return member.has_authority && (self_has_authority || member.region != view.region);
}

const site_set_object* find_sites(const traffic_snapshot& view, std::uint32_t client_address)
{
    const auto index = find_site_set(view.blocks, client_address);
    return index && *index < view.configured->site_sets.size() ? &view.configured->site_sets[*index]
                                                               : nullptr;
}

std::vector<candidate> find_candidates_in_sites(const traffic_snapshot& view, const site_set_object& sites,
                                                bool self_has_authority)
{
    std::vector<candidate> candidates;
    for (const auto& site : sites.sites) {
        const auto domain = make_id<failure_domain_id>(site.failure_domain);
        for (const member_record& member : view.members) {
            if (member.failure_domain == domain && can_offer(view, member, self_has_authority)) {
                candidates.push_back({&member, site.weight});
            }
        }
    }
    return candidates;
}

std::vector<candidate> find_all_candidates(const traffic_snapshot& view, bool self_has_authority)
{
    std::vector<candidate> candidates;
    for (const member_record& member : view.members) {
        if (can_offer(view, member, self_has_authority)) {
            candidates.push_back({&member, default_weight});
        }
    }
    return candidates;
}

std::size_t choose_by_weight(random_source& random, std::span<const candidate> from)
{
    std::uint64_t sum = 0;
    for (const candidate& entry : from) {
        sum += entry.weight;
    }
    std::uint64_t remaining = uniform(random, sum);
    for (std::size_t index = 0; index < from.size(); ++index) {
        if (remaining < from[index].weight) {
            return index;
        }
        remaining -= from[index].weight;
    }
    return 0;
}

// Weighted random order without repetition, so that callers get different orders and the load is spread.
std::vector<candidate> draw_weighted(random_source& random, std::vector<candidate> from)
{
    std::vector<candidate> drawn;
    while (!from.empty() && drawn.size() < max_named_instances) {
        const std::size_t index = choose_by_weight(random, from);
        drawn.push_back(from[index]);
        from[index] = from.back();
        from.pop_back();
    }
    return drawn;
}

// If a small burst is split over many instances, each has only a token or two and refuses requests within the
// customer's rate because of ordinary variation. Callers of a small customer are therefore sent to few
// instances, selected by rendezvous hashing.
std::vector<candidate> limit_to_customer_subset(const traffic_snapshot& view, std::vector<candidate> from,
                                                const std::optional<key_hash>& key)
{
    const key_answer owner = key ? find_customer(view.keys, *key) : key_answer{};
    const auto customer = view.configured->customers.find(owner.customer);
    if (owner.status != key_status::valid || customer == view.configured->customers.end()) {
        return from;
    }
    const auto subset_size =
        static_cast<std::size_t>(std::max<std::int64_t>(1, customer->second.burst / burst_per_instance));
    if (subset_size >= from.size()) {
        return from;
    }
    const auto rank = [&](const candidate& entry) {
        return mix_hash(owner.customer.value, entry.member->instance.value);
    };
    std::ranges::partial_sort(from, from.begin() + static_cast<std::ptrdiff_t>(subset_size),
                              std::ranges::greater{}, rank);
    from.resize(subset_size);
    return from;
}

refusal refuse(refusal_reason reason, duration retry_after = {})
{
    return {reason, outcome::not_run, retry_after};
}

// Issues a ticket to the customer of the presented key.
refusal add_ticket(traffic_state& shared, const traffic_snapshot& view, const route_view& route,
                   const std::optional<key_hash>& key, const member_record& executing, time_point now,
                   lookup_answer& answer)
{
    if (!key) {
        return refuse(refusal_reason::key_missing);
    }
    const key_answer owner = find_customer(view.keys, *key);
    if (owner.status != key_status::valid) {
        return refuse(owner.status == key_status::revoked ? refusal_reason::key_revoked
                                                          : refusal_reason::key_unknown);
    }
    const std::lock_guard lock(shared.operations_mutex);
    const bool is_self = executing.instance == view.self;
    const std::uint64_t nonce = is_self ? view.process_nonce : executing.process_nonce;
    const std::uint64_t epoch = is_self ? current_epoch(shared.operations, now) : executing.ticket_epoch;
    answer.ticket_to_sign =
        issue_ticket(shared.operations, executing.instance, nonce, epoch, owner.customer, route.route);
    return {};
}

} // namespace

lookup_answer look_up(traffic_state& shared, const traffic_snapshot& view, std::string_view service,
                      std::string_view route, std::uint32_t client_address,
                      const std::optional<key_hash>& key, time_point now)
{
    lookup_answer answer;
    if (!view.trusted) {
        answer.why = refuse(refusal_reason::configuration_missing, lookup_retry_after);
        return answer;
    }
    const route_view* matched_route = find_route(view, service, route);
    if (matched_route == nullptr) {
        answer.why = refuse(refusal_reason::route_unknown);
        return answer;
    }
    const bool self_has_authority = has_authority(shared, now);
    const site_set_object* sites = find_sites(view, client_address);
    std::vector<candidate> candidates;
    if (sites != nullptr) {
        candidates = find_candidates_in_sites(view, *sites, self_has_authority);
    }
    if (candidates.empty()) {
        candidates = find_all_candidates(view, self_has_authority);
    }
    if (candidates.empty()) {
        answer.why = refuse(refusal_reason::authority_lost, lookup_retry_after);
        return answer;
    }
    candidates = limit_to_customer_subset(view, std::move(candidates), key);
    {
        const std::lock_guard lock(shared.lookup_mutex);
        candidates = draw_weighted(shared.lookup_random, std::move(candidates));
    }
    if (!matched_route->object.idempotent) {
        candidates.resize(1);
        answer.why = add_ticket(shared, view, *matched_route, key, *candidates.front().member, now, answer);
        if (answer.why.reason != refusal_reason::none) {
            return answer;
        }
    }
    for (const candidate& entry : candidates) {
        const bool is_self = entry.member->instance == view.self;
        answer.instances.push_back(
            {is_self ? view.traffic_address : entry.member->traffic_address, entry.weight});
    }
    answer.time_to_live = lookup_time_to_live;
    return answer;
}

} // namespace camphorknot
