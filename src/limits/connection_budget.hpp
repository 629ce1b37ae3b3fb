/// Bound of the open connections of callers. It answers crowds of connections that send nothing or
/// a part of a header: when there are too many, those that are idle close first, then those whose
/// header is incomplete, the oldest first, and a new one only if all others are in use.
#pragma once

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>

namespace zinniaferry::limits
{

/// What a connection does, in the order in which connections are closed.
enum class connection_phase
{
    idle,           ///< Between two requests, or before the first.
    reading_header, ///< A request has begun.
    serving         ///< A request has a complete header and no complete response.
};

using connection_id = std::uint64_t;

struct connection_entry
{
    connection_phase phase = connection_phase::idle;
    core::time_point since; ///< Of the phase.
};

/// Connections of callers to one process.
struct connection_budget
{
    std::size_t max_open = std::numeric_limits<std::size_t>::max();
    connection_id last_id = 0;
    std::unordered_map<connection_id, connection_entry> entries;
};

/// Returns the most connections of callers for a process that may have `max_sockets` sockets;
/// unlimited for 0. The others are kept for backend servers, other daemons and the store.
std::size_t max_caller_connections(std::size_t max_sockets);

/// Not thread safe: calls on one connection_budget must not run concurrently.

/// Adds a new connection.
connection_id add_connection(connection_budget& budget, core::time_point now);

/// Sets the phase of a connection; has no effect on one that was removed.
void set_phase(connection_budget& budget, connection_id id, connection_phase phase,
               core::time_point now);

/// Removes a connection, if it was not removed before.
void remove_connection(connection_budget& budget, connection_id id);

/// Returns the connection that must close so that the bound holds with the newest one, `newest`.
/// Nothing if the bound holds.
std::optional<connection_id> connection_to_close(const connection_budget& budget,
                                                 connection_id newest);

} // namespace zinniaferry::limits
