/// The reads and watches of the store by a daemon, with the times and steps of
/// platform/store_follower.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Follows the store while the daemon must, until its process ends.
void follow_store(world& world, std::size_t daemon);

} // namespace zinniaferry::model
