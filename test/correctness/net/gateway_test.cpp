#include "net/gateway.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

// Guards against a log that does not show that a server was started again under its id.
TEST(gateway, listed_lines_name_the_incarnation)
{
    testing::internal::CaptureStdout();
    {
        asio::io_context io;
        gateway shared(io, {}, {.vm = "vm-1"});
        routing::listed_backend server = {.id = "s-1", .service = "orders", .incarnation = 17};
        apply_server_listing(shared, server, core::boot_clock_now());
        server.incarnation = 18;
        apply_server_listing(shared, server, core::boot_clock_now());
    }
    const std::string out = testing::internal::GetCapturedStdout();
    EXPECT_THAT(out, testing::ContainsRegex(R"("kind":"listed","server":"s-1".*"incarnation":17)"));
    EXPECT_THAT(out, testing::HasSubstr(R"("incarnation":18)"));
}

// Guards against refusing as unknown what a newer configuration allows that could not be decoded.
TEST(gateway, a_configuration_with_an_unreadable_successor_is_outdated)
{
    constexpr core::time_point start{1000s};
    asio::io_context io;
    gateway shared(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    const auto reason_at = [&](core::time_point now)
    {
        return refuse_unknown(shared, request::refusal_reason::unknown_key, now).reason;
    };
    set_configuration_current_as_of(shared, start);
    EXPECT_EQ(reason_at(start + 2s), request::refusal_reason::unknown_key);
    EXPECT_EQ(reason_at(start + 2001ms), request::refusal_reason::configuration_outdated);
    shared.newer_configuration_unreadable = true;
    set_configuration_current_as_of(shared, start + 5s);
    EXPECT_EQ(reason_at(start + 5s), request::refusal_reason::configuration_outdated);
    auto readable = std::make_shared<config::configuration>();
    readable->version = 2;
    apply_configuration(shared, readable, start + 6s);
    set_configuration_current_as_of(shared, start + 6s);
    EXPECT_EQ(reason_at(start + 6s), request::refusal_reason::unknown_key);
}

} // namespace
} // namespace zinniaferry::net
