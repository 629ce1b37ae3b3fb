/// Chooses the backend server for one request: asks a few candidates for their load on connections
/// that the request may then take, and a few more when all of these are full or slow.
#pragma once

#include "net/gateway.hpp"
#include "routing/candidates.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>

namespace zinniaferry::net
{

/// A server with a connection on which it has just answered.
struct connected_backend
{
    routing::backend_pointer server;
    backend_connection_pointer connection;
};

struct selection_criteria
{
    std::string service;
    std::span<const routing::backend_pointer> excluded; ///< Servers that failed the request.
    core::time_point deadline;                          ///< The choice ends at the latest then.
    routing::queueing queueing = routing::queueing::late;
    core::duration max_queue_time{}; ///< Time that the request may wait at a server.
};

struct backend_selection
{
    std::optional<connected_backend> selected;
    std::size_t candidates = 0; ///< Servers that were asked.
    bool all_full = false;      ///< Some answered, and none of them has room.
};

/// Returns the best candidate that answers, or none. Thread safety: the io_context's thread only.
asio::awaitable<backend_selection> select_backend(gateway& gateway, const selection_criteria& criteria);

} // namespace zinniaferry::net
