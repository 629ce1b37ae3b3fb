#include "net/configuration_service.hpp"

#include "config/text_file.hpp"
#include "stand_in/platform.hpp"
#include "support/loopback.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

// Guards against calls to the service by each daemon that starts, although its hub sends it the
// configuration: the service has a limited call rate.
TEST(configuration_service, a_daemon_that_need_not_follow_makes_no_calls)
{
    stand_in::platform_state service;
    const auto text =
        config::read_text_file(std::string(ZINNIA_SOURCE_DIR) + "/examples/kandy.json");
    ASSERT_TRUE(text);
    ASSERT_TRUE(stand_in::publish_configuration(service, *text));
    fleet::replica replica;
    event_log log({.enabled = false});
    bool must_follow = false;
    std::size_t checks = 0;
    asio::io_context io; // Destroyed first, with the coroutines that use the above.
    const test::loopback_server server(io, stand_in::make_platform_handler(service),
                                       service.connections);
    const platform_adapter adapter = make_configuration_service_adapter(
        "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port()));
    asio::co_spawn(io,
                   adapter.follow({.io = io,
                                   .replica = replica,
                                   .log = log,
                                   .on_changes = [](const std::vector<fleet::entry_change>&) {},
                                   .must_follow =
                                       [&]
                                   {
                                       ++checks;
                                       return must_follow;
                                   }}),
                   asio::detached);
    ASSERT_TRUE(test::run_until(io, [&] { return checks >= 2 || replica.complete; }));
    EXPECT_EQ(adapter.call_count(), 0U);
    EXPECT_FALSE(replica.complete);
    must_follow = true;
    EXPECT_TRUE(test::run_until(io, [&] { return replica.complete; }));
}

} // namespace
} // namespace zinniaferry::net
