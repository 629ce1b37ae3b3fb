/// Restorations of the store from a backup: the store is away for a moment and comes back as it was
/// some seconds before, and its writers write what was lost again.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Schedules restorations between `begin` and `end`, with times from `seed` and not from the
/// world's generator, so that the other disturbances of a run stay the same. Records them as
/// disturbances of all daemons.
void schedule_restorations(world& world, core::time_point begin, core::time_point end,
                           std::uint64_t seed);

} // namespace zinniaferry::model
