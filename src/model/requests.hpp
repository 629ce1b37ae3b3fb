/// The way of a request through a daemon, with the steps of net/request_handler and
/// net/backend_selection.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Handles a request that arrives at the daemon now. Precondition: the daemon's process runs.
void handle_request(world& world, std::uint64_t request);

} // namespace zinniaferry::model
