/// The open-loop schedule of one account: when it sends a request, and on which route. For one
/// traffic mix it depends on the seed alone, never on how fast responses arrive.
#pragma once

#include "core/random.hpp"
#include "load/mix.hpp"

#include <optional>

namespace zinniaferry::load
{

/// How the intended send times of an account are spaced.
enum class arrival_spacing
{
    poisson, ///< Exponentially distributed intervals.
    fixed    ///< Equal intervals.
};

/// Generator of one account's arrivals.
struct schedule
{
    account_load account;
    std::vector<double> route_weights; ///< By the index of the route in the mix.
    arrival_spacing spacing = arrival_spacing::poisson;
    core::random_generator random;
    /// Time up to which arrivals have been generated, from the start of the run.
    seconds generated_until{0.0};
};

/// One scheduled request.
struct arrival
{
    seconds send_offset{0.0}; ///< Intended send time, from the start of the run.
    std::size_t route_index = 0;
};

/// Returns the schedule of the account at `account_index`, which must exist in the mix.
schedule make_schedule(const traffic_mix& mix, std::size_t account_index, arrival_spacing spacing,
                       std::uint64_t seed);

/// Returns the next request, or nothing when the account sends no more before `end`, which is
/// counted from the start of the run.
std::optional<arrival> next_arrival(schedule& state, seconds end);

} // namespace zinniaferry::load
