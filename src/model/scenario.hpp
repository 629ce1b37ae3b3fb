/// The disturbances of one run, chosen from the seed.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Schedules disturbances and changes between `begin` and `end`, and records the disturbances in
/// the history. All have ended some seconds after `end`.
void schedule_scenario(world& world, core::time_point begin, core::time_point end);

} // namespace zinniaferry::model
