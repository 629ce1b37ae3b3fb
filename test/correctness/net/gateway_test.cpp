#include "net/gateway.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

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

} // namespace
} // namespace zinniaferry::net
