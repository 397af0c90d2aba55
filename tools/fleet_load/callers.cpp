#include "callers.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "standins/caller_standin.hpp"

namespace fleet_load {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto connect_timeout = 1s;
constexpr int max_attempts = 4;
// Of a connection of the callers that keep them for long, and of the others.
constexpr std::uint64_t max_long_requests = 60;
constexpr std::uint64_t max_short_requests = 3;

struct connection {
    explicit connection(asio::io_context& context) : stream(context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::size_t instance = 0;
    std::uint64_t requests = 0;
    std::uint64_t max_requests = 0;
};

struct caller {
    caller(fleet_state& parts, caller_log& results, std::uint64_t seed, std::size_t number)
        : fleet(parts), log(results), random(seed), timer(parts.context), region(number % regions.size()),
          keeps_addresses(number % 3 == 0)
    {
    }
    fleet_state& fleet;
    caller_log& log;
    std::mt19937_64 random;
    asio::steady_timer timer;
    std::size_t region;                 ///< Index.
    bool keeps_addresses;               ///< For three times their time to live.
    std::vector<std::size_t> addresses; ///< Indices of instances.
    clock::time_point addresses_expire{};
    std::vector<std::size_t> failed; ///< Addresses to which a connection or a request failed.
    std::shared_ptr<connection> open;
};

struct request_plan {
    std::size_t service = 0;
    int added_route = 0; ///< Number; 0 for the route of the service.
    bool chunked = false;
    std::string object;
    clock::time_point deadline{};
};

asio::awaitable<void> pause(caller& self, clock::duration time)
{
    boost::system::error_code cancelled;
    self.timer.expires_after(time);
    co_await self.timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

std::size_t index_of(const fleet_state& fleet, const std::string& address)
{
    const std::string ip = address.substr(0, address.find(':'));
    const auto found = std::ranges::find(fleet.instances, ip, &instance_process::ip);
    return static_cast<std::size_t>(found - fleet.instances.begin());
}

// Asks one instance for addresses. Returns whether it named any.
asio::awaitable<bool> ask_directory(caller& self, std::size_t instance)
{
    boost::system::error_code error;
    beast::tcp_stream stream(self.fleet.context);
    beast::flat_buffer buffer;
    stream.expires_after(connect_timeout);
    const tcp::endpoint address(asio::ip::make_address(self.fleet.instances.at(instance).ip), directory_port);
    co_await stream.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    const std::string region = regions.at(self.region);
    http::request<http::empty_body> request(
        http::verb::get,
        std::string("/-/resolve?name=") + caller_host + "&region=" + region + "&zone=" + region + "-a", 11);
    request.set(http::field::host, "directory");
    http::response<http::string_body> response;
    if (!error) {
        co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    }
    const auto body = nlohmann::json::parse(error ? std::string() : response.body(), nullptr, false);
    if (!body.is_object() || !body.contains("addresses") || body["addresses"].empty()) {
        co_return false;
    }
    self.addresses.clear();
    for (const auto& entry : body["addresses"]) {
        const std::size_t index = index_of(self.fleet, entry.get<std::string>());
        if (index < self.fleet.instances.size()) {
            self.addresses.push_back(index);
        }
    }
    const double time_to_live_s = std::min(5.0, body.value("ttl_s", 1.0)) * (self.keeps_addresses ? 3 : 1);
    self.addresses_expire = clock::now() + std::chrono::duration_cast<clock::duration>(
                                               std::chrono::duration<double>(time_to_live_s));
    self.failed.clear();
    co_return !self.addresses.empty();
}

asio::awaitable<void> refresh_addresses(caller& self)
{
    constexpr int max_nodes = 3;
    const std::size_t count = self.fleet.instances.size();
    for (int node = 0; node < max_nodes && clock::now() >= self.addresses_expire; ++node) {
        // The first two of the caller's region, the third of any.
        std::size_t instance = self.random() % count;
        if (node < 2) {
            instance = std::min(instance - instance % regions.size() + self.region, count - 1);
        }
        co_await ask_directory(self, instance);
    }
}

std::size_t pick_instance(caller& self)
{
    std::vector<std::size_t> choices = self.addresses;
    std::erase_if(choices, [&](std::size_t index) { return std::ranges::count(self.failed, index) > 0; });
    if (choices.empty()) {
        self.failed.clear();
        choices = self.addresses;
    }
    return choices.at(self.random() % choices.size());
}

asio::awaitable<bool> open_connection(caller& self)
{
    co_await refresh_addresses(self);
    if (self.addresses.empty()) {
        co_return false;
    }
    boost::system::error_code error;
    auto opened = std::make_shared<connection>(self.fleet.context);
    opened->instance = pick_instance(self);
    opened->max_requests =
        self.random() % 2 == 0 ? 1 + self.random() % max_short_requests : max_long_requests;
    opened->stream.expires_after(connect_timeout);
    const tcp::endpoint front(asio::ip::make_address(self.fleet.instances.at(opened->instance).ip),
                              front_port);
    co_await opened->stream.async_connect(front, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        self.failed.push_back(opened->instance);
        co_return false;
    }
    boost::system::error_code ignored; // The connection may have ended already.
    // A write that has ended is then in the instance's kernel but for a few kilobytes.
    opened->stream.socket().set_option(asio::socket_base::send_buffer_size(16 * 1024), ignored);
    opened->stream.socket().set_option(tcp::no_delay(true), ignored);
    self.open = std::move(opened);
    co_return true;
}

std::string path_of(const fleet_state& fleet, const request_plan& plan)
{
    return (plan.added_route > 0 ? prefix_of_added(plan.added_route)
                                 : "/" + fleet.services.at(plan.service).name + "/") +
           plan.object;
}

std::string head_of(const caller& self, const request_plan& plan, const std::string& attempt,
                    std::size_t bytes)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(plan.deadline - clock::now());
    std::string head = (bytes > 0 ? "POST " : "GET ") + path_of(self.fleet, plan) +
                       " HTTP/1.1\r\nHost: " + caller_host + "\r\nAttempt-Id: " + attempt +
                       "\r\nAffinity-Key: " + plan.object +
                       "\r\nDeadline-Ms: " + std::to_string(std::max<std::int64_t>(left.count(), 1)) +
                       "\r\nAuthorization: Token " + caller_key + "\r\n";
    if (bytes > 0) {
        head += plan.chunked ? "Transfer-Encoding: chunked\r\n"
                             : "Content-Length: " + std::to_string(bytes) + "\r\n";
    }
    return head + "\r\n";
}

std::string as_chunk(std::size_t bytes)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'b') + "\r\n";
}

// The pieces in which the request is written; chunked bodies have several, with pauses between them.
std::vector<std::string> pieces_of(caller& self, const request_plan& plan, const std::string& attempt)
{
    constexpr std::size_t chunks_of_body = 5;
    const std::size_t bytes = self.fleet.services.at(plan.service).request_bytes;
    std::vector<std::string> pieces = {head_of(self, plan, attempt, bytes)};
    if (bytes == 0 || !plan.chunked) {
        pieces.front() += std::string(bytes, 'b');
        return pieces;
    }
    for (std::size_t index = 0; index < chunks_of_body; ++index) {
        pieces.push_back(as_chunk(bytes / chunks_of_body));
    }
    pieces.back() += "0\r\n\r\n";
    return pieces;
}

asio::awaitable<boost::system::error_code> write_request(caller& self, connection& used,
                                                         const request_plan& plan, attempt_record& record)
{
    boost::system::error_code error;
    const std::vector<std::string> pieces = pieces_of(self, plan, record.id);
    record.sent = clock::now();
    for (const std::string& piece : pieces) {
        if (&piece != &pieces.front()) {
            co_await pause(self, std::chrono::milliseconds(5 + self.random() % 40));
        }
        used.stream.expires_at(record.deadline);
        co_await asio::async_write(used.stream, asio::buffer(piece),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return error;
        }
    }
    record.last_byte = clock::now();
    co_return error;
}

void record_answer(const http::response<http::string_body>& response, attempt_record& record)
{
    record.status = response.result_int();
    record.is_signed = standins::is_signed_answer(response, record.id);
    record.retry_after_s = std::strtod(std::string(response[http::field::retry_after]).c_str(), nullptr);
}

// Sends the request over the open connection. Returns whether the connection stays usable.
asio::awaitable<bool> send_attempt(caller& self, const request_plan& plan, attempt_record& record)
{
    const std::shared_ptr<connection> used = self.open;
    record.instance = used->instance;
    record.kept = used->requests++ > 0;
    boost::system::error_code error = co_await write_request(self, *used, plan, record);
    http::response_parser<http::string_body> parser;
    // After a failed write the answer may still have arrived: instances may answer early.
    used->stream.expires_at(record.deadline);
    boost::system::error_code read_error;
    co_await http::async_read(used->stream, used->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, read_error));
    record.ended = clock::now();
    if (parser.is_header_done()) {
        record_answer(parser.get(), record);
    }
    if (!read_error) {
        record.end = attempt_end::answered;
        co_return !error && parser.get().keep_alive();
    }
    const bool timed_out = read_error == beast::error::timeout || error == beast::error::timeout;
    record.end = timed_out ? attempt_end::gave_up : attempt_end::cut;
    record.error =
        (error ? "write: " + error.message() + ", " : std::string()) + "read: " + read_error.message();
    co_return false;
}

bool is_promise(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool is_final(unsigned status)
{
    return status / 100 == 2 || status == 400 || status == 401 || status == 404 || status == 413 ||
           status == 431;
}

// Unsafe requests are sent again only after a promise that they have not run, or if no connection was
// established. Those that were closed unread are known from the servers' records.
bool may_repeat(const caller& self, const attempt_record& record)
{
    if (record.end == attempt_end::answered && is_final(record.status)) {
        return false;
    }
    if (record.end == attempt_end::unreached || self.fleet.services.at(record.service).kind == "safe") {
        return true;
    }
    return record.end == attempt_end::answered ? is_promise(record.status)
                                               : !self.fleet.runs.contains(record.id);
}

clock::duration retry_delay(const attempt_record& record)
{
    const auto third_left = (record.deadline - clock::now()) / 3;
    const auto asked =
        std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(record.retry_after_s));
    return std::clamp<clock::duration>(asked, 20ms, std::max<clock::duration>(third_left, 20ms));
}

request_plan plan_request(caller& self)
{
    constexpr std::array<std::size_t, 10> mix = {0, 0, 0, 0, 0, 0, 1, 1, 1, 2};
    request_plan plan;
    plan.service = mix.at(self.random() % mix.size());
    const std::set<int>& added = self.fleet.added_routes;
    if (plan.service == 0 && self.random() % 20 == 0 && !added.empty()) {
        plan.added_route = *added.rbegin();
    }
    plan.chunked = self.random() % 3 == 0 && self.fleet.services.at(plan.service).request_bytes > 0;
    plan.object = std::to_string(self.random() % 500);
    plan.deadline = clock::now() + std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(
                                       self.fleet.services.at(plan.service).deadline_s));
    return plan;
}

asio::awaitable<void> send_request(caller& self)
{
    const request_plan plan = plan_request(self);
    ++self.log.requests;
    for (int attempt = 0; attempt < max_attempts && clock::now() < plan.deadline; ++attempt) {
        attempt_record record;
        record.id = "a" + std::to_string(self.log.next_attempt++);
        record.service = plan.service;
        record.added_route = plan.added_route > 0;
        record.chunked = plan.chunked;
        record.deadline = plan.deadline;
        if (attempt > 0) {
            self.open.reset();
        }
        const bool connected = self.open != nullptr || co_await open_connection(self);
        if (connected) {
            const bool usable = co_await send_attempt(self, plan, record);
            const bool spent = usable && self.open->requests >= self.open->max_requests;
            if (!usable || spent) {
                self.open.reset();
            }
            self.log.attempts.push_back(record);
        }
        if (record.end == attempt_end::cut) {
            self.failed.push_back(record.instance);
        }
        if (record.end == attempt_end::answered && record.status == 200 && record.is_signed) {
            ++self.log.served;
        }
        if (!may_repeat(self, record)) {
            break;
        }
        co_await pause(self, retry_delay(record));
    }
}

asio::awaitable<void> run_caller(std::shared_ptr<caller> self)
{
    co_await pause(*self, std::chrono::milliseconds(self->random() % 2000));
    while (self->log.running) {
        co_await send_request(*self);
        co_await pause(*self, std::chrono::milliseconds(20 + self->random() % 500));
    }
}

} // namespace

void start_callers(fleet_state& fleet, caller_log& log, std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (std::size_t index = 0; index < count; ++index) {
        asio::co_spawn(fleet.context, run_caller(std::make_shared<caller>(fleet, log, random(), index)),
                       asio::detached);
    }
}

} // namespace fleet_load
