/// The open-loop schedule of one account: when it sends, and on which route. It depends on the
/// seed alone, never on how fast answers come.
#pragma once

#include "core/random.hpp"
#include "load/mix.hpp"

#include <optional>

namespace zinniaferry::load
{

enum class arrival_spacing
{
    poisson,
    fixed
};

struct schedule
{
    account_load account;
    std::vector<double> route_weights; ///< Of the routes.
    arrival_spacing spacing = arrival_spacing::poisson;
    core::random_generator random;
    seconds generated_until{0.0}; ///< Intended send time of the next request, from the start.
};

struct arrival
{
    seconds send_offset{0.0};
    std::size_t route_index = 0;
};

/// Returns the schedule of the account with that index. Precondition: the index exists.
schedule make_schedule(const traffic_mix& mix, std::size_t account_index, arrival_spacing spacing, std::uint64_t seed);

/// Returns the next request, or nothing when the account sends no more before `end`.
std::optional<arrival> next_arrival(schedule& state, seconds end);

} // namespace zinniaferry::load
