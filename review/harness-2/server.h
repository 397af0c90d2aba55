// A small sound server: takes heads of any size, runs `slots` requests at a time, queues a few more and
// refuses the rest.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct server {
    server(std::string at_ip, std::string its_id, unsigned its_slots, int its_service_ms);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::string ip;
    std::string id;
    unsigned slots;
    std::atomic<int> service_ms;
    std::atomic<int> spoils_one_in{0};               ///< One in so many answers is spoiled; 0 for none.
    std::atomic<std::size_t> spoiled_field_bytes{0}; ///< Size of the trailer field in a spoiled answer.
    std::uint16_t port = 0;
    std::mutex guard;
    std::condition_variable changed;
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned answers = 0;
    unsigned spoiled = 0;
    std::vector<std::string> ran; ///< Ids of the attempts that began to run.
    std::atomic<bool> ended{false};
    int listener = -1;
    std::thread acceptor;
    std::list<std::thread> connections;

private:
    void accept_all();
    void serve(int socket);
    std::string answer(const std::string& attempt, bool keep);
};

} // namespace review
