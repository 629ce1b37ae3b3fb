/// Follows when a service has no capacity for requests, and decides when refused callers are to
/// return.
///
/// Load pattern: a burst of seconds on a service. Callers that return after a short fixed time come
/// back as the next burst; callers that return after a long one miss capacity that is free again.
#pragma once

#include "core/random.hpp"
#include "core/time.hpp"

namespace zinniaferry::admission
{

/// When a service last had no capacity for requests of this daemon.
struct overload
{
    core::time_point began_at;   ///< First refusal of the current overload.
    core::time_point refused_at; ///< Latest refusal.
};

/// Not thread safe: calls on one overload must not run concurrently.

/// Returns whether requests were refused a moment ago.
bool is_overloaded(const overload& state, core::time_point now);

/// Records that a request was refused because no server had capacity for it.
void on_refused(overload& state, core::time_point now);

/// Returns when a caller that is refused now is to return. An overload that has lasted for some
/// time is expected to last about as long again; the time is spread at random around that.
core::duration retry_after(const overload& state, core::time_point now,
                           core::random_generator& random);

} // namespace zinniaferry::admission
