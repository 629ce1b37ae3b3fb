#include "net/process_lifecycle.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

// Guards against MSM state numbers that differ from process_state, and against a stop that skips
// the time in which the platform's balancer stops sending to the VM.
TEST(process_lifecycle, announces_a_stop_before_it_finishes)
{
    process_lifecycle lifecycle;
    EXPECT_EQ(lifecycle.state(), process_state::starting);
    EXPECT_EQ(lifecycle.apply(process_event::became_ready), process_state::serving);
    EXPECT_EQ(lifecycle.apply(process_event::work_finished), process_state::serving);
    EXPECT_EQ(lifecycle.apply(process_event::stop_requested), process_state::announcing);
    EXPECT_EQ(lifecycle.apply(process_event::announcement_finished), process_state::finishing);
    EXPECT_EQ(lifecycle.apply(process_event::work_finished), process_state::stopped);
}

// Guards against a second stop signal that returns to the announcement and so restarts the grace
// period.
TEST(process_lifecycle, ignores_a_repeated_stop)
{
    process_lifecycle lifecycle;
    lifecycle.apply(process_event::became_ready);
    lifecycle.apply(process_event::stop_requested);
    lifecycle.apply(process_event::announcement_finished);
    EXPECT_EQ(lifecycle.apply(process_event::stop_requested), process_state::finishing);
}

} // namespace
} // namespace zinniaferry::net
