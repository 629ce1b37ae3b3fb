#include "load/schedule.hpp"

#include "core/hash.hpp"

#include <cmath>
#include <numeric>

namespace zinniaferry::load
{

namespace
{

double rate_at(const account_load& account, seconds at)
{
    const bool surge = at >= account.surge_from && at < account.surge_to;
    return account.rate * (surge ? account.surge_factor : 1.0);
}

// One unit of the Poisson process at rate 1, or of fixed spacing.
double draw_gap(schedule& state)
{
    return state.kind == spacing::fixed ? 1.0 : -std::log(1.0 - core::uniform(state.random));
}

// The next time at which the rate changes after `at`.
seconds next_change(const account_load& account, seconds at)
{
    if (at < account.surge_from)
    {
        return account.surge_from;
    }
    return at < account.surge_to ? account.surge_to : seconds(HUGE_VAL);
}

std::size_t pick_route(schedule& state)
{
    const double sum = std::accumulate(state.weights.begin(), state.weights.end(), 0.0);
    double left = core::uniform(state.random) * sum;
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < state.weights.size(); ++i)
    {
        if (state.weights[i] <= 0.0)
        {
            continue;
        }
        chosen = i;
        if (left < state.weights[i])
        {
            break;
        }
        left -= state.weights[i];
    }
    return chosen;
}

} // namespace

schedule make_schedule(const mix& loads, std::size_t account, spacing kind, std::uint64_t seed)
{
    schedule state{.account = loads.accounts[account], .kind = kind};
    for (const route_load& route : loads.routes)
    {
        state.weights.push_back(route.weight);
    }
    state.random.seed(core::stable_hash(state.account.name, seed));
    return state;
}

std::optional<arrival> next_arrival(schedule& state, seconds end)
{
    // The gap is spent at the rate of each stretch in turn, so that a surge starts and ends in
    // time even when the ordinary gap is longer.
    double gap = draw_gap(state);
    while (state.next < end)
    {
        const double rate = rate_at(state.account, state.next);
        const seconds change = next_change(state.account, state.next);
        const double until_change = rate > 0.0 ? (change - state.next).count() * rate : 0.0;
        if (rate > 0.0 && gap <= until_change)
        {
            state.next += seconds(gap / rate);
            if (state.next >= end)
            {
                return std::nullopt;
            }
            return arrival{.at = state.next, .route = pick_route(state)};
        }
        gap -= until_change;
        state.next = change;
    }
    return std::nullopt;
}

} // namespace zinniaferry::load
