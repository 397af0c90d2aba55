#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "camphorknot/platform/store_client.hpp"
#include "edge_fixture.hpp"

using namespace edge_tests;
namespace asio = boost::asio;
namespace platform = camphorknot::platform;
using standins::store_fault;

namespace {

// Reads rows again and again, like the registration and the rollouts of one instance do at the same time.
asio::awaitable<void> read_repeatedly(std::shared_ptr<platform::store_client> client, int count,
                                      int& answered, int& malformed)
{
    for (int call = 0; call < count; ++call) {
        const platform::store_answer answer = co_await platform::read_rows(client, "op", "", "");
        answered += answer.status == platform::store_status::ok ? 1 : 0;
        malformed += answer.status == platform::store_status::malformed ? 1 : 0;
    }
}

} // namespace

TEST_CASE("store client: calls that begin while another is in progress get their own answers")
{
    auto store = standins::start_store(local_ip(), 0);
    standins::put_row(*store, "op", "config", configuration_row(1, one_customer));
    asio::io_context context;
    const auto client =
        platform::make_store_client({.address = {asio::ip::make_address(local_ip()), store->port}});
    int answered = 0;
    int malformed = 0;
    for (int caller = 0; caller < 4; ++caller) {
        asio::co_spawn(context, read_repeatedly(client, 25, answered, malformed), asio::detached);
    }
    context.run();
    CHECK(answered == 100);
    CHECK(malformed == 0);
}

TEST_CASE("store client: a call that fails leaves the calls behind it a connection of their own")
{
    auto store = standins::start_store(local_ip(), 0);
    asio::io_context context;
    const auto client =
        platform::make_store_client({.address = {asio::ip::make_address(local_ip()), store->port}});
    store->fault = store_fault::reset;
    int answered = 0;
    int malformed = 0;
    for (int caller = 0; caller < 4; ++caller) {
        asio::co_spawn(context, read_repeatedly(client, 25, answered, malformed), asio::detached);
    }
    context.run_for(50ms);
    store->fault = store_fault::none;
    context.run();
    CHECK(answered + malformed <= 100);
    CHECK(malformed == 0);
    asio::co_spawn(context, read_repeatedly(client, 10, answered, malformed), asio::detached);
    answered = 0;
    context.restart();
    context.run();
    CHECK(answered == 10);
}
