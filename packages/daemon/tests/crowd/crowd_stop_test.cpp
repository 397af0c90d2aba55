// A reload and a stop while a crowd is connected.
#include <catch2/catch.hpp>

#include <csignal>

#include "crowd.hpp"
#include "survival.hpp"

using namespace crowd_tests;

// Guards against a stop that waits for connections which never end.
TEST_CASE("memory under crowds: a reload and a stop")
{
    process_fixture process{process_limits{}};
    crowd callers;
    const std::string upload = make_upload(std::string(64'000, 'b'), true);
    connect_silent_crowd(callers, process.instance_ip, front_port, 100);
    connect_silent_crowd(callers, process.instance_ip, directory_port, 100);
    connect_silent_crowd(callers, process.instance_ip, peers_port, 100);
    send_from_crowd(callers, process.instance_ip, 100, upload, upload.size(), 0, 64);
    send_from_crowd(callers, process.instance_ip, 100, make_archive_head("GET", ""), 64, 100, 0);
    kill(process.pid, SIGHUP);
    check_survival(process);
    kill(process.pid, SIGTERM);
    CHECK(process.ends_by_itself());
}
