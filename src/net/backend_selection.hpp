/// Selects the backend server for one request: probes the load of a few candidates on connections
/// that the request can then use, and of a few more if all of these are full or slow.
#pragma once

#include "net/gateway.hpp"
#include "routing/candidates.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>

namespace zinniaferry::net
{

/// A backend server and an open connection on which it has just responded.
struct connected_backend
{
    routing::backend_pointer server;
    backend_connection_pointer connection;
    bool selected_cold = false; ///< It was cold when it became a candidate.
};

/// What a request requires of a backend server.
struct selection_criteria
{
    std::string service; ///< Name of the service whose servers are candidates.
    std::span<const routing::backend_pointer> excluded; ///< Servers already tried for the request.
    core::time_point deadline;                          ///< Latest end of the selection.
    routing::queueing queueing = routing::queueing::in_time;
    core::duration max_delay{}; ///< Beyond the usual latency; see routing::has_capacity.
    /// Of a request that may run only once; see routing::would_outlive.
    std::optional<routing::run_limit> limit;
};

/// Result of a selection.
struct backend_selection
{
    std::optional<connected_backend> selected;
    std::size_t candidates = 0; ///< Number of servers considered.
    bool all_full = false;      ///< Servers responded, but none has capacity for the request.
    std::size_t too_slow = 0;   ///< Servers at which the request would outlive its limit.
};

/// Returns the best candidate that responds and has capacity, or none. `criteria` must stay valid
/// until the coroutine ends. Thread safety: the io_context's thread only.
asio::awaitable<backend_selection> select_backend(gateway& gateway,
                                                  const selection_criteria& criteria);

} // namespace zinniaferry::net
