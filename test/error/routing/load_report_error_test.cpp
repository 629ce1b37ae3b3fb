#include "routing/load_report.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

// Guards against a server whose malformed report is taken as an idle one.
TEST(load_report, refuses_malformed_headers)
{
    for (const char* header : {"", "inflight", "inflight=", "inflight=-1", "inflight=1x",
                               "queue=12345678901", "state=asleep", "slots=2;;queue=1"})
    {
        EXPECT_FALSE(parse_load_report(header).has_value()) << header;
    }
}

TEST(load_report, reads_the_documented_form_and_ignores_unknown_parts)
{
    const auto report = parse_load_report("inflight=3;queue=1;slots=2; state=draining;new=x");
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->in_flight, 3U);
    EXPECT_EQ(report->queued, 1U);
    EXPECT_EQ(report->slots, 2U);
    EXPECT_EQ(report->state, server_state::draining);
}

} // namespace
} // namespace zinniaferry::routing
