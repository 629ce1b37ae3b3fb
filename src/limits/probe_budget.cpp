#include "limits/probe_budget.hpp"

#include <algorithm>

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

// Returns whether at least `probes` are left, and at least those that `time` earns.
bool has_tokens(const probe_budget& budget, double probes, core::duration time)
{
    return budget.probes.tokens >= std::max(probes, budget.probes.rate * core::to_seconds(time));
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
    if (has_tokens(budget, 8.0, wide_plan_time))
    {
        return {.per_round = 4, .rounds = 2};
    }
    if (has_tokens(budget, 4.0, full_plan_time))
    {
        return {.per_round = 2, .rounds = 2};
    }
    if (has_tokens(budget, 2.0, two_round_time))
    {
        return {.per_round = 1, .rounds = 2};
    }
    return has_tokens(budget, 1.0, trial_reserve_time) ? probe_plan{.per_round = 1, .rounds = 1}
                                                       : probe_plan{};
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
