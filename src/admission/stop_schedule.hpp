/// Decides which requests a daemon that is stopping still sends to a backend server.
///
/// Load pattern: callers go on sending to a daemon after its stop signal, because too few others
/// are ready. A request whose server is still at work when the process exits gets no response, and
/// its caller does not know whether it has run.
#pragma once

#include "core/time.hpp"

namespace zinniaferry::admission
{

/// The times of a planned stop.
struct stop_schedule
{
    /// Callers may not have noticed the stop before, so all requests are sent until then.
    core::time_point announced_until;
    core::time_point exit_at; ///< The process exits at the latest then.
};

/// Returns the schedule of a stop that was requested at `requested_at`; the platform kills the
/// process `grace` later. Precondition: `grace` is not negative. Thread safe.
stop_schedule plan_stop(core::time_point requested_at, core::duration grace);

/// Returns until when a request with that deadline may be sent to a server. `may_have_run`: a
/// server may have run it, so it cannot be refused as not run. Thread safe.
core::time_point last_send_time(const stop_schedule& schedule, core::time_point deadline,
                                bool may_have_run);

} // namespace zinniaferry::admission
