#include "limits/probe_budget.hpp"

#include <algorithm>
#include <array>

namespace zinniaferry::limits
{

namespace
{

/// Fraction of the budget that is used; the rest covers the seconds in which the daemons' views of
/// the fleet differ.
constexpr double used_fraction = 0.9;
/// Fraction of the budget that is divided equally, for daemons that have just got callers.
constexpr double equal_fraction = 0.2;
/// Unused probes are saved up for this time, so that a burst of requests does not lose its probes.
constexpr core::duration max_saved_time = std::chrono::seconds(10);
/// A daemon starts with the probes of this time.
constexpr core::duration initial_time = std::chrono::seconds(1);
/// With the probes of this time saved up, a selection probes many servers.
constexpr core::duration wide_plan_time = std::chrono::seconds(3);
/// Below the probes of this time, servers are probed one at a time.
constexpr core::duration full_plan_time = std::chrono::seconds(1);
/// Below the probes of this time, a selection sends a single probe.
constexpr core::duration two_round_time = std::chrono::milliseconds(250);
/// Servers of the first round in calm times: the second one matters when the first works slowly for
/// a moment.
constexpr std::size_t calm_round_size = 2;
/// The probes of this time are kept for trials of suspect servers.
constexpr core::duration trial_reserve_time = std::chrono::milliseconds(50);

void refill(probe_budget& budget, core::time_point now)
{
    const double rate = budget.options.rate_per_server * used_fraction *
                        static_cast<double>(budget.servers) * budget.share;
    const bool is_first_use = budget.probes.refilled_at == core::time_point();
    resize(budget.probes, rate, std::max(1.0, rate * core::to_seconds(max_saved_time)), now);
    if (is_first_use)
    {
        budget.probes.tokens = rate * core::to_seconds(initial_time);
    }
}

/// A plan, and the time whose probes must be left for it.
struct conditional_plan
{
    probe_plan plan;
    core::duration min_saved_time{};
};

/// The widest first.
constexpr std::array<conditional_plan, 4> plans = {{
    {{.per_round = 4, .rounds = 2}, wide_plan_time},
    {{.per_round = 2, .rounds = 2}, full_plan_time},
    {{.per_round = 1, .rounds = 2}, two_round_time},
    {{.per_round = 1, .rounds = 1}, trial_reserve_time},
}};

// Returns whether the probes of all the plan's rounds are left, and those of its time.
bool is_affordable(const probe_budget& budget, const conditional_plan& entry)
{
    const auto probes = static_cast<double>(entry.plan.per_round * entry.plan.rounds);
    const double saved = budget.probes.rate * core::to_seconds(entry.min_saved_time);
    return budget.probes.tokens >= std::max(probes, saved);
}

} // namespace

double probe_share(double own_rate, double fleet_rate, std::size_t members)
{
    const double equal = 1.0 / static_cast<double>(std::max<std::size_t>(members, 1));
    if (fleet_rate <= 0.0)
    {
        return equal;
    }
    const double by_demand = std::min(1.0, own_rate / fleet_rate);
    return equal * equal_fraction + by_demand * (1.0 - equal_fraction);
}

probe_plan plan_probes(probe_budget& budget, core::time_point now)
{
    refill(budget, now);
    const auto affordable =
        std::find_if(plans.begin(), plans.end(),
                     [&](const conditional_plan& entry) { return is_affordable(budget, entry); });
    return affordable == plans.end() ? probe_plan() : affordable->plan;
}

std::size_t first_round_size(const probe_plan& plan, bool is_calm)
{
    return is_calm ? std::min(plan.per_round, calm_round_size) : plan.per_round;
}

bool may_send_trial(probe_budget& budget, core::time_point now)
{
    refill(budget, now);
    return budget.probes.tokens >= 1.0;
}

void on_probe_sent(probe_budget& budget, core::time_point now)
{
    refill(budget, now);
    budget.probes.tokens -= 1.0;
}

} // namespace zinniaferry::limits
