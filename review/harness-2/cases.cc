// The cases of this review that are scripts; `cases NAME RECORD` exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run.
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stage.h"

namespace review {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

const std::string host = "jepu9.example";
const std::string key = "tnfzs989anu6wsjnbanf";

std::string text(double value, int digits = 1)
{
    char line[40];
    std::snprintf(line, sizeof line, "%.*f", digits, value);
    return line;
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::string get(const std::string& path, const std::string& attempt, const std::string& with_key = key)
{
    return request_head("GET", path, host, attempt, with_key, 4000) + "\r\n";
}

/// Head of the largest size that the limits allow, with as many fields as fit.
std::string full_head(const std::string& path, const std::string& attempt, std::size_t bytes,
                      const std::string& field)
{
    std::string head = request_head("GET", path, host, attempt, key, 4000);
    while (head.size() + field.size() + 2 <= bytes) {
        head += field;
    }
    return head + "\r\n";
}

/// The platform: kills what exceeds the memory, and starts what has ended again after a short delay.
void keep_running(stage& scene, const std::atomic<bool>& over, std::map<std::string, int>& ends,
                  std::map<std::string, double>& peak)
{
    while (!over) {
        for (const auto& each : scene.machines) {
            bool has_ended = !scene.is_running(*each);
            if (!has_ended) {
                const double used = resident_mb(each->pid);
                peak[each->name] = std::max(peak[each->name], used);
                if (used > scene.limits.memory_mb) {
                    scene.note(each->name + " uses " + text(used) + " MB of " +
                               std::to_string(scene.limits.memory_mb) + ": killed by the platform");
                    scene.kill(*each);
                    has_ended = true;
                }
            }
            if (has_ended) {
                ++ends[each->name];
                pause(300ms);
                scene.start(*each);
            }
        }
        pause(10ms);
    }
}

/// Notes how often each process ended. @return the number of machines with three ends or more.
int count_ends(stage& scene, std::map<std::string, int>& ends, std::map<std::string, double>& peak)
{
    int machines_with_three = 0;
    for (const auto& each : scene.machines) {
        scene.note(each->name + ": peak " + text(peak[each->name]) + " MB, ends " +
                   std::to_string(ends[each->name]));
        machines_with_three += ends[each->name] >= 3 ? 1 : 0;
    }
    scene.note("machines with three ends or more: " + std::to_string(machines_with_three));
    return machines_with_three;
}

/// Starts the machines and waits until they are ready and know each other.
bool start_all(stage& scene)
{
    for (const auto& added : scene.machines) {
        scene.start(*added);
    }
    for (const auto& added : scene.machines) {
        if (!scene.wait_until_ready(*added, 15s)) {
            scene.note(added->name + " did not get ready");
            return false;
        }
    }
    pause(3s);
    return true;
}

// A crowd sends `safe` requests ahead, as many on a connection as it likes, each with a head of legal size
// and many short fields. The platform kills a process that exceeds its memory and starts it again.
int run_heads(stage& scene)
{
    constexpr int connections = 240;
    constexpr int ahead = 17;
    constexpr std::size_t head_bytes = 16384;
    const std::vector<standins::configured_route> routes = {
        {"r-archive", host, "/archive/", "safe", "ledger-room", 20, 4},
        {"r-match", host, "/match/", "safe", "compare-desk", 4, 0.6}};
    const std::vector<standins::configured_customer> customers = {{"yefi830", key}};
    standins::put_configuration(*scene.store, standins::configuration_row(1, routes, customers));
    for (int number = 1; number <= 46; ++number) {
        const bool is_archive = number <= 40;
        scene.add_server("i-" + std::to_string(number), is_archive ? "ledger-room" : "compare-desk",
                         number % 2 == 0 ? "rvk-a" : "aku-a", 6, is_archive ? 3520 : 880);
    }
    scene.add_machine("edge-rvk-a-1", "rvk-a");
    scene.add_machine("edge-aku-a-1", "aku-a");
    scene.limits.memory_mb = 160;
    if (!start_all(scene)) {
        return not_run;
    }
    std::map<std::string, int> ends;
    std::map<std::string, double> peak;
    std::atomic<bool> over{false};
    std::thread platform([&] { keep_running(scene, over, ends, peak); });
    const std::string field = has_trouble() ? "a:\r\n" : "X-Note: " + std::string(2000, 'a') + "\r\n";
    std::atomic<int> sent{0};
    std::atomic<int> answers{0};
    const auto end = steady::now() + 40s;
    std::vector<std::thread> crowd;
    for (int number = 0; number < connections; ++number) {
        crowd.emplace_back([&, number] {
            int round = 0;
            while (steady::now() < end) {
                const machine& entry = *scene.machines[static_cast<std::size_t>(number) % 2];
                const int socket = connect_to(scene.ip, entry.front, 1s);
                if (socket < 0) {
                    pause(200ms);
                    continue;
                }
                ++round;
                std::string burst;
                const int depth = has_trouble() ? ahead : 1;
                for (int position = 0; position < depth; ++position) {
                    const std::string id =
                        std::to_string(number) + "-" + std::to_string(round) + "-" + std::to_string(position);
                    burst += full_head((position == 0 ? "/archive/" : "/match/") + id, id, head_bytes, field);
                }
                sent += depth;
                if (send_all(socket, burst, 6s)) {
                    int seen = 0;
                    receive(socket, 20s, [&](const std::string& all) {
                        seen = 0;
                        for (std::size_t at = all.find("HTTP/1.1 "); at != std::string::npos;
                             at = all.find("HTTP/1.1 ", at + 1)) {
                            ++seen;
                        }
                        return seen >= depth;
                    });
                    answers += seen;
                }
                ::close(socket);
            }
        });
    }
    for (std::thread& caller : crowd) {
        caller.join();
    }
    over = true;
    platform.join();
    scene.note("requests sent " + std::to_string(sent) + ", answers " + std::to_string(answers));
    return count_ends(scene, ends, peak) >= 2 ? broken : held;
}

// One request of an ordinary client, with its route's timeout.
struct outcome {
    double sent_s = 0;
    asked answer;
};

// The crowd sends `safe` requests one after the other, each with a head of legal size: a long Connection
// field and many short fields. Ordinary clients ask beside it.
int run_tokens(stage& scene)
{
    constexpr double timeout_s = 2.5;
    constexpr int crowd_size = 200;
    const std::vector<standins::configured_route> routes = {
        {"r-lookup", host, "/lookup/", "safe", "catalogue", timeout_s, 0.6}};
    const std::vector<standins::configured_customer> customers = {{"yefi830", key}};
    standins::put_configuration(*scene.store, standins::configuration_row(1, routes, customers));
    for (int number = 1; number <= 12; ++number) {
        scene.add_server("i-" + std::to_string(number), "catalogue", number % 2 == 0 ? "rvk-a" : "aku-a", 3,
                         200);
    }
    scene.add_machine("edge-rvk-a-1", "rvk-a");
    scene.add_machine("edge-aku-a-1", "aku-a");
    if (!start_all(scene)) {
        return not_run;
    }
    std::string connection_field = "Connection: keep-alive";
    while (connection_field.size() < 8100) {
        connection_field += ",a";
    }
    connection_field += "\r\n";
    const auto end = steady::now() + 40s;
    std::atomic<int> crowd_sent{0};
    std::vector<std::thread> threads;
    for (int number = 0; number < crowd_size; ++number) {
        threads.emplace_back([&, number] {
            int round = 0;
            while (steady::now() < end) {
                const std::string id = "c" + std::to_string(number) + "-" + std::to_string(++round);
                std::string head = request_head("GET", "/lookup/" + id, host, id, key, 4000);
                if (has_trouble()) {
                    head += connection_field;
                    while (head.size() + 6 <= 16300) {
                        head += "b:\r\n";
                    }
                } else {
                    head += "X-Note: " + std::string(16000, 'b') + "\r\n";
                }
                ++crowd_sent;
                const asked seen = ask(scene.ip, scene.machines[static_cast<std::size_t>(number) % 2]->front,
                                       head + "\r\n", 4s);
                if (number % 20 == 0) { // One in twenty is enough for the record.
                    scene.note(id + " of the crowd: status " + std::to_string(seen.status) + " after " +
                               text(seen.took_s, 2) + " s");
                }
            }
        });
    }
    std::mutex guard;
    std::vector<outcome> ordinary;
    pause(2s);
    for (int number = 0; number < 60; ++number) {
        threads.emplace_back([&, number] {
            for (int round = 0; steady::now() < end - 8s; ++round) {
                const std::string id = "o" + std::to_string(number) + "-" + std::to_string(round);
                outcome seen;
                seen.sent_s = std::chrono::duration<double>(steady::now() - scene.began).count();
                seen.answer = ask(scene.ip, scene.machines[static_cast<std::size_t>(number) % 2]->front,
                                  get("/lookup/" + id, id), 4s);
                {
                    const std::lock_guard lock(guard);
                    ordinary.push_back(seen);
                }
                scene.note(id + " status " + std::to_string(seen.answer.status) + " after " +
                           text(seen.answer.took_s, 2) + " s");
                std::this_thread::sleep_for(milliseconds(500 + 37 * number % 500));
            }
        });
    }
    for (std::thread& caller : threads) {
        caller.join();
    }
    int late = 0;
    int unanswered = 0;
    for (const outcome& seen : ordinary) {
        if (seen.answer.took_s > timeout_s || seen.answer.status == 0) {
            ++late;
            unanswered += seen.answer.status == 0 || seen.answer.took_s > timeout_s + 0.5 ? 1 : 0;
        }
    }
    for (const auto& each : scene.machines) {
        scene.is_running(*each);
    }
    scene.note("crowd sent " + std::to_string(crowd_sent) + "; ordinary requests " +
               std::to_string(ordinary.size()) + ", unanswered at their timeout " + std::to_string(late) +
               ", of these without an answer 0.5 s later " + std::to_string(unanswered));
    return unanswered >= 8 && 2 * unanswered > late ? broken : held;
}

// A client sends one field that is longer than 65,533 bytes, inside the limit for heads that the operator has
// set.
int run_field(stage& scene)
{
    constexpr std::size_t max_header_bytes = 131072;
    const std::vector<standins::configured_route> routes = {
        {"r-lookup", host, "/lookup/", "safe", "catalogue", 2.5, 0.6}};
    const std::vector<standins::configured_customer> customers = {{"yefi830", key}};
    std::string row = standins::configuration_row(1, routes, customers);
    const std::string limits = "\"resource_kind\":\"limits\",\"spec\":{";
    const std::size_t at = row.find(limits);
    if (at == std::string::npos) {
        return not_run;
    }
    row.insert(at + limits.size(),
               "\"max_header_bytes\":" + std::to_string(max_header_bytes) +
                   ",\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15");
    standins::put_configuration(*scene.store, row);
    for (int number = 1; number <= 4; ++number) {
        scene.add_server("i-" + std::to_string(number), "catalogue", number % 2 == 0 ? "rvk-a" : "aku-a", 3,
                         100);
    }
    scene.add_machine("edge-rvk-a-1", "rvk-a");
    scene.add_machine("edge-aku-a-1", "aku-a");
    if (!start_all(scene)) {
        return not_run;
    }
    std::map<std::string, int> ends;
    for (int round = 1; round <= 3; ++round) {
        for (const auto& each : scene.machines) {
            const std::string id = each->name + "-" + std::to_string(round);
            const std::size_t length = has_trouble() ? 70'000 : 60'000;
            const asked answer = ask(scene.ip, each->front,
                                     request_head("GET", "/lookup/" + id, host, id, key, 4000) +
                                         "X-Note: " + std::string(length, 'a') + "\r\n\r\n",
                                     4s);
            scene.note(id + ": head of " + std::to_string(length + 200) + " bytes, status " +
                       std::to_string(answer.status));
            pause(500ms);
            if (!scene.is_running(*each)) {
                ++ends[each->name];
                scene.start(*each);
                if (!scene.wait_until_ready(*each, 15s)) {
                    return not_run;
                }
            }
        }
    }
    int machines_with_three = 0;
    for (const auto& each : scene.machines) {
        scene.note(each->name + ": ends " + std::to_string(ends[each->name]));
        machines_with_three += ends[each->name] >= 3 ? 1 : 0;
    }
    return machines_with_three >= 2 ? broken : held;
}

// A faulty server ends some of its answers with a trailer field that is longer than 65,533 bytes.
int run_trailer(stage& scene)
{
    constexpr double timeout_s = 2.5;
    const std::vector<standins::configured_route> routes = {
        {"r-lookup", host, "/lookup/", "safe", "catalogue", timeout_s, 0.6},
        {"r-seal", host, "/seal/", "unsafe", "sealdesk", timeout_s, 0.8}};
    const std::vector<standins::configured_customer> customers = {{"yefi830", key}};
    standins::put_configuration(*scene.store, standins::configuration_row(1, routes, customers));
    for (int number = 1; number <= 12; ++number) {
        const bool is_first = number <= 6;
        server& added = scene.add_server("i-" + std::to_string(number), is_first ? "catalogue" : "sealdesk",
                                         number % 2 == 0 ? "rvk-a" : "aku-a", 3, 200);
        if (is_first && number <= 2) {
            added.spoiled_field_bytes = has_trouble() ? 70'000 : 60'000;
        }
    }
    scene.add_machine("edge-rvk-a-1", "rvk-a");
    scene.add_machine("edge-aku-a-1", "aku-a");
    if (!start_all(scene)) {
        return not_run;
    }
    std::map<std::string, int> ends;
    std::atomic<bool> over{false};
    std::map<std::string, double> peak;
    std::thread platform([&] { keep_running(scene, over, ends, peak); });
    std::mutex guard;
    std::map<int, int> statuses;
    std::vector<std::string> lost;
    const auto end = steady::now() + 60s;
    std::vector<std::thread> clients;
    // Four times, for 6 s each: two of the six servers of the service spoil one answer in ten.
    clients.emplace_back([&] {
        for (int spell = 0; spell < 4; ++spell) {
            pause(6s);
            for (const int one_in : {10, 0}) {
                scene.servers[0]->spoils_one_in = one_in;
                scene.servers[1]->spoils_one_in = one_in;
                scene.note(one_in > 0 ? "servers spoil answers" : "servers are sound");
                pause(one_in > 0 ? 6s : 2s);
            }
        }
    });
    for (int number = 0; number < 16; ++number) {
        clients.emplace_back([&, number] {
            for (int round = 0; steady::now() < end; ++round) {
                const bool is_safe = number % 4 != 0;
                const std::string id = std::to_string(number) + "-" + std::to_string(round);
                const std::string request = is_safe
                                                ? get("/lookup/" + id, id)
                                                : request_head("POST", "/seal/" + id, host, id, key, 6000) +
                                                      "Content-Length: 4\r\n\r\nseal";
                const asked seen =
                    ask(scene.ip, scene.machines[static_cast<std::size_t>(number / 4 + round) % 2]->front,
                        request, 6s);
                {
                    const std::lock_guard lock(guard);
                    ++statuses[seen.status];
                    if (!is_safe && seen.connected && seen.status == 0) {
                        lost.push_back(id);
                    }
                }
                pause(100ms);
            }
        });
    }
    for (std::thread& client : clients) {
        client.join();
    }
    over = true;
    platform.join();
    std::string line = "answers by status:";
    for (const auto& [status, count] : statuses) {
        line += " " + std::to_string(status) + "=" + std::to_string(count);
    }
    scene.note(line + " (0: the connection ended without an answer)");
    int ran_and_lost = 0;
    unsigned spoiled = 0;
    for (const auto& each : scene.servers) {
        const std::lock_guard lock(each->guard);
        spoiled += each->spoiled;
        ran_and_lost += static_cast<int>(std::ranges::count_if(each->ran, [&](const std::string& attempt) {
            return std::ranges::find(lost, attempt) != lost.end();
        }));
    }
    scene.note("spoiled answers " + std::to_string(spoiled) +
               "; unsafe requests that ran and got no answer " + std::to_string(ran_and_lost));
    return count_ends(scene, ends, peak) >= 2 ? broken : held;
}

// One client at the directory port of each machine: a look-up with a chunked body whose trailers do not end.
// The platform kills a process that exceeds its memory and starts it again.
int run_directory(stage& scene)
{
    const std::vector<standins::configured_route> routes = {
        {"r-lookup", host, "/lookup/", "safe", "catalogue", 2.5, 0.6}};
    const std::vector<standins::configured_customer> customers = {{"yefi830", key}};
    standins::put_configuration(*scene.store, standins::configuration_row(1, routes, customers));
    for (int number = 1; number <= 4; ++number) {
        scene.add_server("i-" + std::to_string(number), "catalogue", number % 2 == 0 ? "rvk-a" : "aku-a", 3,
                         200);
    }
    scene.add_machine("edge-rvk-a-1", "rvk-a");
    scene.add_machine("edge-aku-a-1", "aku-a");
    if (!start_all(scene)) {
        return not_run;
    }
    std::atomic<bool> over{false};
    std::map<std::string, int> ends;
    std::map<std::string, double> peak;
    std::thread platform([&] { keep_running(scene, over, ends, peak); });
    const auto end = steady::now() + 30s;
    std::vector<std::thread> clients;
    for (const auto& each : scene.machines) {
        clients.emplace_back([&, entry = each.get()] {
            const std::string lookup = "GET /-/resolve?name=" + host +
                                       "&region=reykjavik&zone=rvk-a HTTP/1.1\r\nHost: " + host +
                                       "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
            const std::string trailers = "X-Note: " + std::string(120, 'a') + "\r\n";
            std::string block;
            while (block.size() < 16'000) {
                block += trailers;
            }
            while (steady::now() < end) {
                const int socket = connect_to(scene.ip, entry->directory, 1s);
                if (socket < 0) {
                    pause(100ms);
                    continue;
                }
                std::uint64_t sent = 0;
                bool is_open = send_all(socket, lookup, 1s);
                if (has_trouble()) {
                    while (is_open && steady::now() < end) {
                        is_open = send_all(socket, block, 1s);
                        sent += is_open ? block.size() : 0;
                    }
                } else {
                    send_all(socket, trailers + "\r\n", 1s);
                    const std::string answer = receive(socket, 2s, is_complete_answer);
                    scene.note(entry->name + ": look-up answered with " + std::to_string(status_of(answer)));
                    pause(500ms);
                }
                ::close(socket);
                if (sent > 0) {
                    scene.note(entry->name + ": sent " + std::to_string(sent / 1024 / 1024) +
                               " MB of trailers");
                }
            }
        });
    }
    int served = 0;
    int asked_for = 0;
    while (steady::now() < end) { // Ordinary clients, one request at a time.
        const machine& entry = *scene.machines[static_cast<std::size_t>(asked_for) % 2];
        const std::string id = "o" + std::to_string(++asked_for);
        served += ask(scene.ip, entry.front, get("/lookup/" + id, id), 4s).status == 200 ? 1 : 0;
        pause(100ms);
    }
    for (std::thread& client : clients) {
        client.join();
    }
    over = true;
    platform.join();
    scene.note("ordinary requests " + std::to_string(asked_for) + ", served " + std::to_string(served));
    return count_ends(scene, ends, peak) >= 2 ? broken : held;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    const std::map<std::string, std::function<int(review::stage&)>> cases = {
        {"heads", review::run_heads},
        {"tokens", review::run_tokens},
        {"field", review::run_field},
        {"trailer", review::run_trailer},
        {"directory", review::run_directory}};
    if (argc != 3 || !cases.contains(argv[1])) {
        std::fprintf(stderr, "usage: cases NAME RECORD\n");
        return 2;
    }
    int result = 2;
    try {
        review::stage scene(argv[2]);
        scene.note(review::has_trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
        result = cases.at(argv[1])(scene);
        scene.note("exit " + std::to_string(result));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return result;
}
