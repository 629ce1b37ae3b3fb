#include "fleet/report_echoes.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

// Guards against an unnoticed queue on the way: reports that updates do not repeat show that the
// updates are older than they say.
TEST(report_echoes, an_update_that_does_not_repeat_a_report_is_as_old_as_the_report)
{
    report_echoes echoes;
    EXPECT_EQ(on_report_sent(echoes, start), 1U);
    EXPECT_EQ(on_report_sent(echoes, start + 1s), 2U);
    EXPECT_EQ(path_delay(echoes, start + 500ms), 0ms);
    EXPECT_GE(path_delay(echoes, start + 3s), 2s);
    EXPECT_LE(path_delay(echoes, start + 3s), 3s);
    on_echo(echoes, 1);
    EXPECT_GE(path_delay(echoes, start + 3s), 1s);
    EXPECT_LE(path_delay(echoes, start + 3s), 2s);
    on_echo(echoes, 2);
    EXPECT_EQ(path_delay(echoes, start + 9s), 0ms);
}

} // namespace
} // namespace zinniaferry::fleet
