#include "net/gateway_metrics.hpp"

#include "config/text_file.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace zinniaferry::net
{
namespace
{

// Guards against metrics that are missing from the operators' page.
TEST(gateway_metrics, the_operators_page_names_every_metric)
{
    asio::io_context io;
    gateway shared(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    const std::string page =
        config::read_text_file(std::string(ZINNIA_SOURCE_DIR) + "/docs/OPERATIONS.md").value();
    std::istringstream lines(print_metrics(shared, {}));
    std::size_t metrics = 0;
    for (std::string line; std::getline(lines, line);)
    {
        if (line.starts_with("# TYPE "))
        {
            const std::string name = line.substr(7, line.find(' ', 7) - 7);
            EXPECT_NE(page.find("`" + name), std::string::npos) << name;
            ++metrics;
        }
    }
    EXPECT_GT(metrics, 10U);
}

// Guards against counters that are missing or printed under a wrong name.
TEST(gateway_metrics, counters_are_printed_with_their_values)
{
    asio::io_context io;
    gateway shared(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    shared.counters.requests = 7;
    shared.counters.refused.at(static_cast<std::size_t>(request::refusal_reason::over_limit)) = 2;
    shared.durations.record(std::chrono::milliseconds(5));
    const std::string page = print_metrics(shared, {.platform_calls = 3});
    EXPECT_NE(page.find("\nzinnia_requests_total 7\n"), std::string::npos);
    EXPECT_NE(page.find("zinnia_refusals_total{reason=\"over_limit\"} 2\n"), std::string::npos);
    EXPECT_NE(page.find("\nzinnia_platform_calls_total 3\n"), std::string::npos);
    EXPECT_NE(page.find("zinnia_request_duration_seconds_count 1\n"), std::string::npos);
}

// Guards against loads that operators cannot see, and against one of the fleet that is out of date
// and shown as if it were not.
TEST(gateway_metrics, loads_of_the_daemon_and_of_the_fleet_are_printed)
{
    asio::io_context io;
    gateway shared(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    const core::time_point now{std::chrono::hours(1)};
    admission::on_attempt_began(shared.load_meters["a \"b\""]);
    shared.fleet_load = {.by_service = {{"c", {.waiting = 7.0}}}, .as_of = now};
    const std::string page = print_metrics(shared, {.now = now});
    EXPECT_NE(page.find(R"(scope="daemon",service="a \"b\"",value="running"} 1.00)"),
              std::string::npos);
    EXPECT_NE(page.find(R"(scope="fleet",service="c",value="waiting"} 7.00)"), std::string::npos);
    EXPECT_EQ(dump(shared, now).at("loads").at("c").at("fleet").at("waiting"), 7.0);
    const std::string later = print_metrics(shared, {.now = now + std::chrono::seconds(5)});
    EXPECT_EQ(later.find("scope=\"fleet\""), std::string::npos);
}

} // namespace
} // namespace zinniaferry::net
