#include "fleet/report_echoes.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

// Guards against an unnoticed queue on the way: an update that repeats a report may have been sent
// just after that report, whatever was sent later.
TEST(report_echoes, an_update_was_sent_after_the_report_that_it_repeats)
{
    report_echoes echoes{.echoed_sent_at = start};
    EXPECT_EQ(on_report_sent(echoes, start + 1s), 1U);
    EXPECT_EQ(on_report_sent(echoes, start + 2s), 2U);
    EXPECT_EQ(sent_after(echoes), start);
    on_echo(echoes, 0);
    EXPECT_EQ(sent_after(echoes), start);
    on_echo(echoes, 1);
    EXPECT_EQ(sent_after(echoes), start + 1s);
    on_echo(echoes, 2);
    EXPECT_EQ(sent_after(echoes), start + 2s);
    on_echo(echoes, 1);
    EXPECT_EQ(sent_after(echoes), start + 2s) << "an older update that arrives later";
}

// Guards against a hub that repeats numbers that were never sent, or none.
TEST(report_echoes, a_hub_that_repeats_no_report_gets_no_later_time)
{
    report_echoes echoes{.echoed_sent_at = start};
    for (int i = 1; i <= 1000; ++i)
    {
        on_report_sent(echoes, start + i * 400ms);
    }
    on_echo(echoes, 5000);
    EXPECT_EQ(sent_after(echoes), start);
    EXPECT_LE(echoes.unanswered.size(), 64U);
}

} // namespace
} // namespace zinniaferry::fleet
