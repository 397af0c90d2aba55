// A start that fails. Guards against a failure that does not say which port and what the system objected to.
#include <catch2/catch.hpp>

#include "edge_fixture.hpp"

using namespace edge_tests;
using camphorknot::edge::endpoint;
using camphorknot::edge::instance_port;

namespace {

struct named_port {
    instance_port port;
    endpoint camphorknot::edge::edge_settings::*address;
    std::string name;
};

} // namespace

TEST_CASE("edge start: a port in use is named with its address and the error of the system")
{
    using settings = camphorknot::edge::edge_settings;
    const auto tried = GENERATE(values<named_port>({
        {instance_port::front, &settings::front, "front"},
        {instance_port::relay, &settings::relay, "relay"},
        {instance_port::peers, &settings::peers, "peers"},
        {instance_port::directory, &settings::directory, "directory"},
        {instance_port::readiness, &settings::readiness, "readiness"},
        {instance_port::metrics, &settings::metrics, "metrics"},
    }));
    CAPTURE(tried.name);
    edge_fixture fixture(0);
    boost::asio::io_context context;
    const endpoint& address = fixture.settings.*tried.address;
    camphorknot::result<camphorknot::edge::instance_handle, camphorknot::edge::start_failure> started;
    // Retries with other ports, since an outgoing connection may take one of the others.
    for (int attempt = 0; attempt < 10 && (attempt == 0 || started.reason.port != tried.port); ++attempt) {
        fixture.choose_ports();
        const tcp::acceptor holder(context,
                                   tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port));
        started = camphorknot::edge::start_instance(fixture.settings);
    }
    REQUIRE_FALSE(started);
    CHECK(started.reason.port == tried.port);
    CHECK(camphorknot::edge::name_of(started.reason.port) == tried.name);
    CHECK(started.reason.address.ip == address.ip);
    CHECK(started.reason.address.port == address.port);
    CHECK(started.reason.error == boost::asio::error::address_in_use);
}

TEST_CASE("edge start: an invalid address of the store is named")
{
    edge_fixture fixture(0);
    fixture.choose_ports();
    fixture.settings.store.ip = "no address";
    const auto started = camphorknot::edge::start_instance(fixture.settings);
    REQUIRE_FALSE(started);
    CHECK(started.reason.port == instance_port::store);
    CHECK(started.reason.address.ip == "no address");
    CHECK(started.reason.error);
}
