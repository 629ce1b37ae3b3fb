/// The open-loop schedule of one account: when it sends, and on which route. It depends on the
/// seed alone, never on how fast answers come.
#pragma once

#include "core/random.hpp"
#include "load/mix.hpp"

#include <optional>

namespace zinniaferry::load
{

enum class spacing
{
    poisson,
    fixed
};

struct schedule
{
    account_load account;
    std::vector<double> weights; ///< Of the routes.
    spacing kind = spacing::poisson;
    core::random_generator random;
    seconds next{0.0}; ///< Intended send time of the next request, from the start.
};

struct arrival
{
    seconds at{0.0};
    std::size_t route = 0;
};

/// Returns the schedule of the account with that index. Precondition: the index exists.
schedule make_schedule(const mix& loads, std::size_t account, spacing kind, std::uint64_t seed);

/// Returns the next request, or nothing when the account sends no more before `end`.
std::optional<arrival> next_arrival(schedule& state, seconds end);

} // namespace zinniaferry::load
