/// Learns how long the callers of a route wait for a response, from the deadlines that their
/// requests state. A caller that returns after a refusal states the rest of its time, so a request
/// that states less than first attempts do tells how long ago its caller first asked.
///
/// Load pattern: a burst whose refused callers return. Their requests compete with new ones, and
/// only the new ones can still be in time.
#pragma once

#include "core/time.hpp"

#include <array>
#include <cstddef>

namespace zinniaferry::admission
{

/// Time left that the latest requests of a route stated at their arrival.
struct stated_deadlines
{
    std::array<core::duration, 32> latest{}; ///< A ring.
    std::size_t count = 0;                   ///< Of all requests that were recorded.
};

/// Not thread safe: calls on one stated_deadlines must not run concurrently.

/// Records the deadline that a request stated. Precondition: nearly all callers make their first
/// attempt, because none were refused of late.
void record(stated_deadlines& deadlines, core::duration stated);

/// Returns how long ago the caller of a request that states `stated` has made its first attempt, at
/// the least. Returns zero if first attempts state as little, or if too little is known.
core::duration time_since_first_attempt(const stated_deadlines& deadlines, core::duration stated);

} // namespace zinniaferry::admission
