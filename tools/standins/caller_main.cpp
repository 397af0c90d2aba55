/// @file
/// Stand-in for callers: looks up instances, caches the result, sends requests with the customer's key,
/// checks every answer, and prints the results by customer and region. Exits with 1 if an answer was wrong or
/// no request was served.
///
/// Plan (YAML): callers: [{customer, key, region, client, rate_per_second, requests: [{service, route,
/// method, path, body_kb, idempotent, weight}]}]. Keys come from the plan or from a file of lines "customer
/// key".
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include "http_client.hpp"
#include "http_server.hpp"

DEFINE_string(plan, "", "YAML file with the callers; see the head of the source file.");
DEFINE_string(keys, "", "File with lines of customer and key.");
DEFINE_string(entry, "", "Addresses of instances that answer the first look-up, separated by commas.");
DEFINE_int32(seconds, 10, "Time during which requests start.");
DEFINE_int32(timeout_ms, 10000, "Time limit of one request.");
DEFINE_double(rate_factor, 1.0, "Multiplies the rate of every caller.");
DEFINE_uint64(seed, 1, "Seed of arrivals and choices.");
DEFINE_string(json, "", "File for the counts as JSON.");

namespace {

using nlohmann::json;
using namespace standins;
namespace http = boost::beast::http;
using steady = std::chrono::steady_clock;

// Maximum attempts of one request. It is sent again only if it wasn't run, or if it is idempotent and its
// outcome is unknown.
constexpr int max_attempts_per_request = 4;

struct request_plan {
    std::string service;
    std::string route;
    std::string method;
    std::string path;
    std::size_t body_kb = 0;
    bool idempotent = true;
    double weight = 1;
};

struct caller_plan {
    std::string customer;
    std::string key;
    std::string region;
    std::string client;
    double rate_per_second = 1;
    std::vector<request_plan> requests;
};

struct counts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; ///< The answer was "unknown", or the request was sent and no answer arrived.
    std::uint64_t failed = 0;
    std::uint64_t wrong_answers = 0;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<double> latency_ms;
};

struct cached_lookup {
    std::vector<std::pair<std::string, unsigned>> instances;
    steady::time_point expires;
};

struct caller_fleet {
    std::vector<std::string> entry_addresses;
    connection_pool pool;
    std::map<std::string, cached_lookup> lookups;
    std::map<std::pair<std::string, std::string>, counts> results; ///< By customer and region.
    std::mt19937_64 random;
    std::uint64_t next_request = 0;
    std::uint64_t running = 0;
    std::set<std::string> not_run_operations; ///< Operations whose last answer was "not run".
};

struct lookup_result {
    std::string address;
    std::string ticket;
};

std::string lookup_url(const caller_plan& caller, const request_plan& request)
{
    return "/v1/lookup?service=" + request.service + "&route=" + request.route + "&client=" + caller.client;
}

std::string choose_weighted(caller_fleet& fleet, const cached_lookup& lookup)
{
    std::vector<double> weights;
    for (const auto& [address, weight] : lookup.instances) {
        weights.push_back(weight);
    }
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    return lookup.instances[choice(fleet.random)].first;
}

std::vector<std::string> lookup_contacts(caller_fleet& fleet, const std::string& url)
{
    // An instance of the last look-up is tried first, then the entry addresses in random order.
    std::vector<std::string> contacts = fleet.entry_addresses;
    std::shuffle(contacts.begin(), contacts.end(), fleet.random);
    if (const auto cached = fleet.lookups.find(url);
        cached != fleet.lookups.end() && !cached->second.instances.empty()) {
        contacts.insert(contacts.begin(), choose_weighted(fleet, cached->second));
    }
    return contacts;
}

boost::asio::awaitable<std::optional<lookup_result>> look_up(caller_fleet& fleet, const caller_plan& caller,
                                                             const request_plan& plan)
{
    const std::string url = lookup_url(caller, plan);
    if (const auto cached = fleet.lookups.find(url);
        plan.idempotent && cached != fleet.lookups.end() && steady::now() < cached->second.expires) {
        co_return lookup_result{choose_weighted(fleet, cached->second), {}};
    }
    for (const std::string& contact : lookup_contacts(fleet, url)) {
        client_request request{http::verb::get, url, 11};
        request.set(http::field::authorization, "Bearer " + caller.key);
        client_reply reply = co_await send_request(fleet.pool, contact, request, 2000);
        if (reply.result != client_result::answered || reply.response.result_int() != 200) {
            continue;
        }
        const json body = json::parse(reply.response.body(), nullptr, false);
        cached_lookup lookup{{}, steady::now() + std::chrono::milliseconds(body.value("ttl_ms", 0))};
        for (const json& instance : body.value("instances", json::array())) {
            lookup.instances.emplace_back(instance.value("address", ""), instance.value("weight", 1U));
        }
        if (lookup.instances.empty()) {
            continue;
        }
        fleet.lookups[url] = lookup;
        const std::string ticket = body.value("ticket", "");
        co_return lookup_result{
            ticket.empty() ? choose_weighted(fleet, lookup) : lookup.instances.front().first, ticket};
    }
    co_return std::nullopt;
}

struct attempt_result {
    enum class kind { served, refused, unknown, failed, wrong } outcome = kind::failed;
    std::string reason;
    std::int64_t retry_after_ms = 0;
    bool not_run = false;
};

std::string header(const client_response& response, const char* name)
{
    const auto field = response.find(name);
    return field == response.end() ? std::string{} : std::string(field->value());
}

bool is_correct_answer(const client_response& response, const std::string& request_id,
                       const std::string& customer, const std::string& body)
{
    const json answer = json::parse(response.body(), nullptr, false);
    return answer.is_object() && answer.value("request_id", "") == request_id &&
           answer.value("customer", "") == customer &&
           answer.value("received_bytes", std::size_t{0}) == body.size() &&
           answer.value("received_hash", std::size_t{0}) == std::hash<std::string>{}(body);
}

attempt_result classify_reply(const client_reply& reply, const std::string& request_id,
                              const caller_plan& caller, const std::string& body)
{
    using kind = attempt_result::kind;
    if (reply.result == client_result::connect_failed) {
        return {kind::failed, "connect_failed", 0, true};
    }
    if (reply.result != client_result::answered) {
        return {kind::unknown, reply.result == client_result::timed_out ? "no_answer" : "connection_broken"};
    }
    const std::string reason = header(reply.response, "Camphorknot-Reason");
    if (reason.empty()) {
        const bool correct = reply.response.result_int() != 200 ||
                             is_correct_answer(reply.response, request_id, caller.customer, body);
        const bool ok = reply.response.result_int() == 200;
        return {!correct ? kind::wrong
                : ok     ? kind::served
                         : kind::failed,
                "status_" + std::to_string(reply.response.result_int())};
    }
    const std::string outcome_header = header(reply.response, "Camphorknot-Outcome");
    const std::int64_t retry_after = std::atoll(header(reply.response, "Camphorknot-Retry-After-Ms").c_str());
    return {outcome_header == "not_run" ? kind::refused : kind::unknown, reason, retry_after,
            outcome_header == "not_run"};
}

boost::asio::awaitable<attempt_result> send_attempt(caller_fleet& fleet, const caller_plan& caller,
                                                    const request_plan& plan,
                                                    const lookup_result& destination,
                                                    const std::string& request_id, const std::string& body)
{
    client_request request{http::string_to_verb(plan.method), plan.path, 11};
    request.set(http::field::authorization, "Bearer " + caller.key);
    request.set("Request-Id", request_id);
    request.set("Camphorknot-Deadline-Ms", std::to_string(FLAGS_timeout_ms));
    if (!plan.idempotent) {
        request.set("Operation-Id", request_id);
        request.set("Camphorknot-Ticket", destination.ticket);
    }
    request.body() = body;
    client_reply reply = co_await send_request(fleet.pool, destination.address, request, FLAGS_timeout_ms);
    if (reply.result != client_result::answered) {
        fleet.lookups.erase(lookup_url(caller, plan));
    }
    co_return classify_reply(reply, request_id, caller, body);
}

void count_result(counts& tally, const attempt_result& result)
{
    using kind = attempt_result::kind;
    tally.served += result.outcome == kind::served ? 1 : 0;
    tally.refused += result.outcome == kind::refused ? 1 : 0;
    tally.unknown += result.outcome == kind::unknown ? 1 : 0;
    tally.failed += result.outcome == kind::failed ? 1 : 0;
    tally.wrong_answers += result.outcome == kind::wrong ? 1 : 0;
    if (result.outcome != kind::served) {
        ++tally.reasons[result.reason];
    }
}

boost::asio::awaitable<void> run_request(caller_fleet& fleet, const caller_plan& caller,
                                         const request_plan& plan)
{
    const auto started = steady::now();
    const std::string id = std::to_string(FLAGS_seed) + "-" + std::to_string(fleet.next_request++);
    const std::string body(plan.body_kb * 1024, static_cast<char>('a' + fleet.next_request % 26));
    counts& tally = fleet.results[{caller.customer, caller.region}];
    ++tally.sent;
    ++fleet.running;
    attempt_result result;
    std::optional<lookup_result> destination;
    for (int attempt = 0; attempt < max_attempts_per_request; ++attempt) {
        // The ticket identifies the operation: it is used again for as long as the operation may have run.
        if (!destination || plan.idempotent || result.not_run) {
            destination = co_await look_up(fleet, caller, plan);
        }
        if (!destination) {
            result = {attempt_result::kind::refused, "no_lookup_answer", 200, true};
        } else {
            result = co_await send_attempt(fleet, caller, plan, *destination, id, body);
        }
        const bool may_repeat =
            result.not_run || (plan.idempotent && result.outcome == attempt_result::kind::unknown);
        if (result.outcome == attempt_result::kind::served || result.outcome == attempt_result::kind::wrong ||
            !may_repeat) {
            break;
        }
        co_await sleep_ms(std::max<std::int64_t>(result.retry_after_ms, 5));
    }
    count_result(tally, result);
    if (result.not_run && result.outcome != attempt_result::kind::served && !plan.idempotent) {
        fleet.not_run_operations.insert(id);
    }
    tally.latency_ms.push_back(std::chrono::duration<double, std::milli>(steady::now() - started).count());
    --fleet.running;
}

const request_plan& choose_request(caller_fleet& fleet, const caller_plan& caller)
{
    std::vector<double> weights;
    for (const request_plan& request : caller.requests) {
        weights.push_back(request.weight);
    }
    std::discrete_distribution<std::size_t> choice(weights.begin(), weights.end());
    return caller.requests[choice(fleet.random)];
}

boost::asio::awaitable<void> run_caller(caller_fleet& fleet, const caller_plan& caller)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto end = steady::now() + std::chrono::seconds(FLAGS_seconds);
    std::exponential_distribution<double> gap(caller.rate_per_second * FLAGS_rate_factor);
    auto next = steady::now();
    while (next < end) {
        next +=
            std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(gap(fleet.random)));
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(next - steady::now()).count();
        if (wait > 0) {
            co_await sleep_ms(wait);
        }
        boost::asio::co_spawn(executor, run_request(fleet, caller, choose_request(fleet, caller)),
                              boost::asio::detached);
    }
}

std::map<std::string, std::string> read_keys(const std::string& file)
{
    std::map<std::string, std::string> keys;
    std::ifstream in(file);
    for (std::string customer, key; in >> customer >> key;) {
        keys[customer] = key;
    }
    return keys;
}

std::vector<caller_plan> read_plan(const std::string& file, const std::map<std::string, std::string>& keys)
{
    std::vector<caller_plan> callers;
    for (const YAML::Node& entry : YAML::LoadFile(file)["callers"]) {
        caller_plan caller;
        caller.customer = entry["customer"].as<std::string>();
        const auto key = keys.find(caller.customer);
        caller.key = entry["key"].as<std::string>(key == keys.end() ? "" : key->second);
        caller.region = entry["region"].as<std::string>();
        caller.client = entry["client"].as<std::string>();
        caller.rate_per_second = entry["rate_per_second"].as<double>();
        for (const YAML::Node& item : entry["requests"]) {
            caller.requests.push_back({item["service"].as<std::string>(), item["route"].as<std::string>(),
                                       item["method"].as<std::string>(), item["path"].as<std::string>(),
                                       item["body_kb"].as<std::size_t>(0), item["idempotent"].as<bool>(true),
                                       item["weight"].as<double>(1)});
        }
        callers.push_back(std::move(caller));
    }
    return callers;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

void print_table(const caller_fleet& fleet)
{
    std::cout << std::left << std::setw(22) << "customer" << std::setw(14) << "region" << std::right
              << std::setw(7) << "sent" << std::setw(8) << "served" << std::setw(8) << "refused"
              << std::setw(8) << "unknown" << std::setw(7) << "failed" << std::setw(6) << "wrong"
              << std::setw(9) << "p50_ms" << std::setw(9) << "p99_ms"
              << "  reasons\n";
    for (const auto& [group, result] : fleet.results) {
        std::cout << std::left << std::setw(22) << group.first << std::setw(14) << group.second << std::right
                  << std::setw(7) << result.sent << std::setw(8) << result.served << std::setw(8)
                  << result.refused << std::setw(8) << result.unknown << std::setw(7) << result.failed
                  << std::setw(6) << result.wrong_answers << std::fixed << std::setprecision(1)
                  << std::setw(9) << percentile(result.latency_ms, 0.5) << std::setw(9)
                  << percentile(result.latency_ms, 0.99) << " ";
        for (const auto& [reason, count] : result.reasons) {
            std::cout << " " << reason << "=" << count;
        }
        std::cout << "\n";
    }
}

json totals(const caller_fleet& fleet)
{
    counts sum;
    for (const auto& [group, result] : fleet.results) {
        sum.sent += result.sent;
        sum.served += result.served;
        sum.refused += result.refused;
        sum.unknown += result.unknown;
        sum.failed += result.failed;
        sum.wrong_answers += result.wrong_answers;
        sum.latency_ms.insert(sum.latency_ms.end(), result.latency_ms.begin(), result.latency_ms.end());
        for (const auto& [reason, count] : result.reasons) {
            sum.reasons[reason] += count;
        }
    }
    return {{"sent", sum.sent},
            {"served", sum.served},
            {"refused", sum.refused},
            {"unknown", sum.unknown},
            {"failed", sum.failed},
            {"wrong_answers", sum.wrong_answers},
            {"reasons", sum.reasons},
            {"p50_ms", percentile(sum.latency_ms, 0.5)},
            {"p99_ms", percentile(sum.latency_ms, 0.99)},
            {"not_run_operations", fleet.not_run_operations}};
}

boost::asio::awaitable<void> stop_when_idle(caller_fleet& fleet, boost::asio::io_context& context)
{
    co_await sleep_ms(std::int64_t{FLAGS_seconds} * 1000 + 100);
    while (fleet.running > 0) {
        co_await sleep_ms(20);
    }
    context.stop();
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for the callers of the example deployments.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context(1);
    caller_fleet fleet;
    fleet.entry_addresses = split(FLAGS_entry, ',');
    fleet.random.seed(FLAGS_seed);
    const std::vector<caller_plan> callers = read_plan(FLAGS_plan, read_keys(FLAGS_keys));
    for (const caller_plan& caller : callers) {
        boost::asio::co_spawn(context, run_caller(fleet, caller), boost::asio::detached);
    }
    boost::asio::co_spawn(context, stop_when_idle(fleet, context), boost::asio::detached);
    stop_at_signal(context);
    context.run();
    print_table(fleet);
    const json sum = totals(fleet);
    if (!FLAGS_json.empty()) {
        std::ofstream(FLAGS_json) << sum.dump(1) << "\n";
    }
    const bool promise_broken = sum["wrong_answers"] != 0 || sum["served"] == 0;
    return promise_broken ? 1 : 0;
}
