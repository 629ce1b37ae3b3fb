/// One caller's connection: reads requests one after another, has each decided and sent, and
/// writes the whole answer or a typed refusal.
#pragma once

#include "net/metrics.hpp"
#include "net/node_host.hpp"
#include "net/upstream_pool.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <unordered_set>

namespace zinniaferry::net
{

struct caller_options
{
    core::duration idle_timeout = std::chrono::seconds(60);
    /// A request that has begun must arrive whole within this time.
    core::duration request_timeout = std::chrono::seconds(10);
    core::duration write_timeout = std::chrono::seconds(10);
};

/// What the sessions of one daemon share. All members outlive the sessions.
struct session_context
{
    node_host& host;
    upstream_pool& upstream;
    request_durations& durations;
    caller_options options;
    bool closing = false; ///< Sessions end after the request at hand.
    std::size_t open_sessions = 0;
    /// Connections that wait for the first byte of a request.
    std::unordered_set<boost::asio::ip::tcp::socket*> idle = {};
};

/// Ends the connections that are between two requests; the others end after theirs. Thread safety:
/// the io_context's thread only.
void close_idle_sessions(session_context& context);

/// Serves one connection until it ends. Thread safety: the io_context's thread only.
boost::asio::awaitable<void> serve_caller(session_context& context,
                                          boost::asio::ip::tcp::socket socket);

} // namespace zinniaferry::net
