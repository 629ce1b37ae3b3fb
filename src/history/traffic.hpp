/// Callers of a simulated fleet: each account sends at random times at its own rate.
#pragma once

#include "history/simulation.hpp"

namespace zinniaferry::history
{

struct traffic_options
{
    double part_of_rate = 0.6; ///< Mean offered load of an account, of its configured rate.
    core::time_point until{};
};

/// Starts the callers of all accounts and of the open routes. Not thread safe.
void start_traffic(simulation& sim, const traffic_options& options);

} // namespace zinniaferry::history
