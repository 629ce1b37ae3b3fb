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
    const bool surge = at >= account.surge_start && at < account.surge_end;
    return account.rate * (surge ? account.surge_factor : 1.0);
}

// Draws the interval to the next arrival, in units of the mean interval at the current rate.
double draw_interarrival_units(schedule& state)
{
    return state.spacing == arrival_spacing::fixed ? 1.0
                                                   : -std::log(1.0 - core::uniform(state.random));
}

// Returns the first time after `at` at which the rate changes.
seconds next_rate_change(const account_load& account, seconds at)
{
    if (at < account.surge_start)
    {
        return account.surge_start;
    }
    return at < account.surge_end ? account.surge_end : seconds(HUGE_VAL);
}

std::size_t pick_route(schedule& state)
{
    const double weight_sum =
        std::accumulate(state.route_weights.begin(), state.route_weights.end(), 0.0);
    double remaining_weight = core::uniform(state.random) * weight_sum;
    std::size_t route_index = 0;
    for (std::size_t i = 0; i < state.route_weights.size(); ++i)
    {
        if (state.route_weights[i] <= 0.0)
        {
            continue;
        }
        route_index = i;
        if (remaining_weight < state.route_weights[i])
        {
            break;
        }
        remaining_weight -= state.route_weights[i];
    }
    return route_index;
}

} // namespace

schedule make_schedule(const traffic_mix& mix, std::size_t account_index, arrival_spacing spacing,
                       std::uint64_t seed)
{
    schedule state{.account = mix.accounts[account_index], .spacing = spacing};
    for (const route_load& route : mix.routes)
    {
        state.route_weights.push_back(route.weight);
    }
    state.random.seed(core::stable_hash(state.account.name, seed));
    return state;
}

std::optional<arrival> next_arrival(schedule& state, seconds end)
{
    // The interval is consumed at the rate of each period in turn, so that a surge starts and ends
    // on time even if the interval at the ordinary rate is longer than the surge.
    double remaining_units = draw_interarrival_units(state);
    while (state.generated_until < end)
    {
        const double rate = rate_at(state.account, state.generated_until);
        const seconds rate_change = next_rate_change(state.account, state.generated_until);
        const double units_until_change =
            rate > 0.0 ? (rate_change - state.generated_until).count() * rate : 0.0;
        if (rate > 0.0 && remaining_units <= units_until_change)
        {
            state.generated_until += seconds(remaining_units / rate);
            if (state.generated_until >= end)
            {
                return std::nullopt;
            }
            return arrival{.send_offset = state.generated_until, .route_index = pick_route(state)};
        }
        remaining_units -= units_until_change;
        state.generated_until = rate_change;
    }
    return std::nullopt;
}

} // namespace zinniaferry::load
