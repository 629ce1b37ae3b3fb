#include "net/service_admission.hpp"

#include "platform/http_profile.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using testing::HasSubstr;
using testing::StartsWith;

// Few urgent requests and a flood of others, for which no capacity is left.
void report_flood(caller_sessions& sessions, asio::ip::tcp::acceptor&)
{
    admission::service_load load{.running = 20.0, .waiting = 1000.0, .completions = 100.0};
    load.by_priority.at(config::order_priority).arrivals = 10.0;
    load.by_priority.at(config::browse_priority).arrivals = 1e12;
    // Recent for the whole test.
    sessions.gateway.fleet_load = {.by_service = {{"s", load}},
                                   .as_of = core::boot_clock_now() + std::chrono::hours(1)};
}

std::string request(const std::string& method, const std::string& path)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: x\r\nX-Zinniaferry-Request-Id: q1\r\n"
           "Authorization: Bearer secret-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

// Guards against a less urgent request that takes a place although the fleet's load leaves none to
// it, and against refusing an urgent one together with it.
TEST(service_admission, a_short_service_gets_the_urgent_requests)
{
    test_support::raw_server server("HTTP/1.1 200 OK\r\nX-Zinniaferry-Request-Id: q1\r\n"
                                    "X-Zinniaferry-Response-Signature: 1.2\r\n"
                                    "Content-Length: 5\r\n\r\nhello");
    test_support::front_end daemon(test_support::one_server_configuration(server.address()),
                                   platform::make_http_profile());
    daemon.run_on_io_thread(report_flood);
    const std::string refused = daemon.exchange(request("GET", "/open"));
    EXPECT_THAT(refused, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(refused, HasSubstr("Retry-After: "));
    EXPECT_EQ(daemon.refusals("overloaded"), 1U);
    EXPECT_EQ(server.received(), "");
    EXPECT_THAT(daemon.exchange(request("POST", "/keyed")), StartsWith("HTTP/1.1 200 "));
}

// Guards against a load that drifts because an event is not reported, or reported twice: a service
// without requests would stay short.
TEST(service_admission, a_served_request_leaves_nothing_in_the_load)
{
    test_support::raw_server server("HTTP/1.1 200 OK\r\nX-Zinniaferry-Request-Id: q1\r\n"
                                    "X-Zinniaferry-Response-Signature: 1.2\r\n"
                                    "Content-Length: 5\r\n\r\nhello");
    test_support::front_end daemon(test_support::one_server_configuration(server.address()),
                                   platform::make_http_profile());
    EXPECT_THAT(daemon.exchange(request("POST", "/keyed")), StartsWith("HTTP/1.1 200 "));
    daemon.run_on_io_thread(
        [](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        {
            const admission::load_meter& meter = sessions.gateway.load_meters.at("s");
            EXPECT_EQ(meter.averages.running, 0.0);
            EXPECT_EQ(meter.averages.waiting, 0.0);
            EXPECT_GT(meter.averages.completions, 0.0);
            EXPECT_GT(meter.averages.by_priority.at(config::order_priority).arrivals, 0.0);
        });
}

} // namespace
} // namespace zinniaferry::net
