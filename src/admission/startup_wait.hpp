/// Decides how long a request waits for the first configuration of a daemon that has just started.
///
/// Load pattern: all VMs lose power at once. The callers are back in the same moment as the
/// daemons, which know no route yet. A caller that is refused spends its retry on it, and returns
/// when the configuration has long been there.
#pragma once

#include "core/time.hpp"

#include <optional>

namespace zinniaferry::admission
{

/// A request that arrived before the first configuration.
struct early_request
{
    core::time_point daemon_started_at;
    core::time_point arrived_at;
    std::optional<core::duration> time_left; ///< As the caller stated it at its arrival.
};

/// Returns until when the request waits for a configuration. A time that has passed means that it
/// is refused at once: a configuration that has not come for so long is not expected soon. Thread
/// safe.
core::time_point configuration_wait_end(const early_request& request);

} // namespace zinniaferry::admission
