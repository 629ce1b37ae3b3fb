/// Orders the requests of one daemon that wait for a server of a service: the most urgent first,
/// and of the same priority the one with the most time left. Only the first one looks for a server,
/// and it is woken when one is likely free.
///
/// Load pattern: a burst in which a daemon holds several requests for a service. If each looks for
/// a server by its own clock, a free slot stays unused until one of them looks, and it goes to
/// whichever does: often to one that is nearly late, whose response then is.
#pragma once

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace zinniaferry::admission
{

/// A request that waits for a server.
struct waiter
{
    std::uint64_t id = 0;          ///< Unique in its queue.
    std::size_t priority = 0;      ///< 0 is the most urgent.
    core::time_point latest_start; ///< The response to a later start is late.
};

struct waiting_queue
{
    std::vector<waiter> waiters; ///< The first one looks for a server.
};

/// Not thread safe: calls on one waiting_queue must not run concurrently.

/// Adds a waiter. Returns the id of the last waiter if that leaves because the queue is full; it
/// may be the new one. Precondition: its id is not in the queue.
std::optional<std::uint64_t> enter(waiting_queue& queue, const waiter& entering);

/// Removes a waiter. Returns whether it was the first one; the next one is to be woken then.
bool leave(waiting_queue& queue, std::uint64_t id);

/// Returns the id of the first waiter; nothing if the queue is empty.
std::optional<std::uint64_t> first(const waiting_queue& queue);

/// Returns whether a waiter is in the queue.
bool contains(const waiting_queue& queue, std::uint64_t id);

} // namespace zinniaferry::admission
