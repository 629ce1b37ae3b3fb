/// Network partitions behind which daemons start again: the others remember the fleet, those that
/// have started do not.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Chooses the seeds of the fleet: one to three daemons, of one data centre or of several.
/// Precondition: no daemon has been started.
void choose_seeds(world& world, std::uint64_t seed);

/// Schedules partitions between `begin` and `end`, with times from `seed` and not from the world's
/// generator. A data centre, the seeds, or some of all daemons are cut off from the others, and all
/// or some of them start again; all daemons reach the store, callers and servers. All accounts send
/// far above their rates meanwhile, a service fails, and servers restart. Records the partitions as
/// disturbances of all daemons.
void schedule_cut_off_restarts(world& world, core::time_point begin, core::time_point end,
                               std::uint64_t seed);

} // namespace zinniaferry::model
