/// Which backend servers of a service may get a request, in which order, and what a cold one gets.
#pragma once

#include "core/random.hpp"
#include "routing/backends.hpp"

#include <span>
#include <string>
#include <vector>

namespace zinniaferry::routing
{

/// All functions: one thread at a time.

/// Returns up to `count` servers of the service that may get a request now, best first. Servers in
/// `excluded` are left out. Takes the part of a cold server's allowance when it returns one.
std::vector<backend_pointer> select_candidates(backend_set& set, const std::string& service,
                                        std::span<const backend_pointer> excluded,
                                        std::size_t count, core::time_point now,
                                        core::random_generator& random);

/// Returns whether the server may get a request at this moment. A request is prepared in steps,
/// and the server may have left meanwhile.
bool is_eligible(const backend_set& set, const backend& server, core::time_point now);

/// Returns the time that a request is expected to take at the server, relative to others.
double expected_cost(const backend_set& set, const backend& server, core::time_point now);

/// Returns whether the server reports, freshly, that it has no room for another request.
bool is_full(const backend& server, core::time_point now);

/// What a request is ready for at a server whose slots are all taken.
enum class queueing
{
    none,    ///< Only a free slot will do.
    in_time, ///< To wait for as long as it can still be answered in time.
    late     ///< To be answered late, while the queue is shorter than the slots.
};

/// Returns whether the server has room for a request that may wait for `patience` before its work
/// begins. Servers break off what exceeds their queue, so a long one has no room in any case.
bool has_capacity(const backend_set& set, const backend& server, queueing accepted,
              core::duration max_queue_time, core::time_point now);

} // namespace zinniaferry::routing
