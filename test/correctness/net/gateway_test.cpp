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

/// Asks for a grant of an account with a small rate, whose hub answers `late_by` after the request
/// has ceased to wait for it.
limits::grant acquire_with_late_hub(core::duration late_by, bool is_standalone = false)
{
    asio::io_context io;
    gateway shared(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    const core::time_point now = core::boot_clock_now();
    auto config = std::make_shared<config::configuration>();
    config->version = 1;
    config->accounts.push_back({.name = "a", .rate = 1.0, .burst = 1.0});
    apply_configuration(shared, config, now);
    limits::set_fleet_size(shared.accounts, {.members_known = 312, .is_size_known = true}, now);
    limits::set_standalone(shared.accounts, is_standalone, now);
    asio::steady_timer late(io, late_by);
    shared.request_hub_grant =
        [&](std::string account) -> asio::awaitable<std::optional<limits::grant>>
    {
        late.async_wait(
            [&shared, account](const boost::system::error_code&)
            {
                const core::time_point arrived = core::boot_clock_now();
                limits::add_granted(shared.accounts, account, 1, arrived, arrived);
            });
        co_return std::nullopt;
    };
    limits::grant out;
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { out = co_await acquire_grant(shared, "a"); },
        asio::detached);
    io.run();
    return out;
}

// Guards against refusing requests within the rate of their account (QUOTA) because its hub, busy
// with a large configuration, answers some tens of milliseconds late.
TEST(gateway, a_request_waits_for_a_late_grant)
{
    EXPECT_EQ(acquire_with_late_hub(25ms).requests, 1U);
}

// Guards against holding a request for a grant that no hub will send.
TEST(gateway, a_request_is_refused_when_no_late_grant_arrives)
{
    EXPECT_EQ(acquire_with_late_hub(1s).requests, 0U);
    EXPECT_EQ(acquire_with_late_hub(25ms, true).requests, 0U) << "no hub is reachable";
}

} // namespace
} // namespace zinniaferry::net
