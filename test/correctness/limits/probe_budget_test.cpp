#include "limits/probe_budget.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start = core::time_point(1000s);

// Sends the probes of one selection in which no server is good enough.
std::size_t select_once(probe_budget& budget, core::time_point now)
{
    const probe_plan plan = plan_probes(budget, now);
    for (std::size_t i = 0; i < plan.per_round * plan.rounds; ++i)
    {
        on_probe_sent(budget, now);
    }
    return plan.per_round * plan.rounds;
}

// Guards against a fleet whose daemons together probe the servers more often than allowed, however
// the requests are spread over the daemons.
TEST(probe_budget, the_budgets_of_all_daemons_add_up_to_the_fleets)
{
    constexpr std::size_t members = 16;
    constexpr std::size_t servers = 31;
    constexpr double rate = 60.0;
    constexpr auto length = 40s;
    std::vector<probe_budget> fleet(members);
    double fleet_rate = 0.0;
    for (std::size_t i = 0; i < members; ++i)
    {
        fleet_rate += 500.0 / static_cast<double>(i + 1);
    }
    std::size_t probes = 0;
    for (std::size_t i = 0; i < members; ++i)
    {
        fleet[i].options = {.rate_per_server = rate};
        const auto interval = std::chrono::microseconds(2000 * (i + 1));
        fleet[i].share = probe_share(1.0 / core::to_seconds(interval), fleet_rate, members);
        fleet[i].servers = servers;
        for (core::duration at = 0s; at < length; at += interval)
        {
            probes += select_once(fleet[i], start + at);
        }
    }
    const double allowed = rate * servers * core::to_seconds(length);
    EXPECT_LE(static_cast<double>(probes), allowed);
    EXPECT_GT(static_cast<double>(probes), allowed * 0.5);
}

// Guards against a share that is lost or counted twice while the fleet's rate is not known.
TEST(probe_budget, the_shares_of_all_daemons_add_up_to_one)
{
    EXPECT_DOUBLE_EQ(probe_share(30.0, 40.0, 2) + probe_share(10.0, 40.0, 2), 1.0);
    EXPECT_DOUBLE_EQ(probe_share(30.0, 0.0, 4), 0.25);
    EXPECT_DOUBLE_EQ(probe_share(0.0, 0.0, 0), 1.0);
    EXPECT_LE(probe_share(50.0, 40.0, 1), 1.0);
}

// Guards against suspect servers that are never tried again because selections take all probes.
TEST(probe_budget, selections_leave_probes_for_trials)
{
    probe_budget budget{.options = {.rate_per_server = 60.0}, .servers = 2};
    std::size_t trials = 0;
    for (core::duration at = 0s; at < 10s; at += 1ms)
    {
        select_once(budget, start + at);
        if (at % 500ms == 0s && may_send_trial(budget, start + at))
        {
            on_probe_sent(budget, start + at);
            ++trials;
        }
    }
    EXPECT_EQ(trials, 20U);
}

// Guards against a daemon that probes one server at a time although the fleet is far from its
// budget.
TEST(probe_budget, a_daemon_within_its_share_probes_several_servers_at_once)
{
    probe_budget budget{.options = {.rate_per_server = 60.0}, .share = 1.0 / 16.0, .servers = 31};
    for (core::duration at = 0s; at < 10s; at += 40ms)
    {
        EXPECT_GE(plan_probes(budget, start + at).per_round, 2U);
        select_once(budget, start + at);
    }
}

// Guards against a selection among two servers while a quarter of them work slowly for a moment and
// the fleet is far from its budget.
TEST(probe_budget, a_daemon_with_saved_probes_compares_four_servers)
{
    probe_budget budget{.options = {.rate_per_server = 60.0}, .share = 1.0 / 16.0, .servers = 31};
    for (core::duration at = 0s; at < 30s; at += 200ms)
    {
        const probe_plan plan = plan_probes(budget, start + at);
        if (at >= 4s)
        {
            EXPECT_EQ(plan.per_round, 4U);
        }
        select_once(budget, start + at);
    }
}

// Guards against two candidates in a busy service, and against a calm one that is probed beyond the
// plan.
TEST(probe_budget, only_calm_services_get_a_narrow_first_round)
{
    EXPECT_EQ(first_round_size({.per_round = 4, .rounds = 2}, false), 4U);
    EXPECT_EQ(first_round_size({.per_round = 4, .rounds = 2}, true), 2U);
    EXPECT_EQ(first_round_size({.per_round = 1, .rounds = 2}, true), 1U);
}

} // namespace
} // namespace zinniaferry::limits
