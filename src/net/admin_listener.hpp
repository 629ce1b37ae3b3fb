/// The daemon's admin listener: health, readiness, metrics, state dump and read-only views.
#pragma once

#include "net/node_host.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <functional>
#include <string>

namespace zinniaferry::net
{

struct admin_options
{
    std::string credential; ///< Bearer token of operators; never empty.
};

/// Where the listener reads from. All members outlive it.
struct admin_context
{
    node_host& host;
    admin_options options;
    std::function<bool()> is_ready;
    std::function<std::string()> metrics;
    std::function<boost::json::object()> dump; ///< The whole state of the process.
};

/// Serves one admin connection until it ends. Thread safety: the io_context's thread only.
boost::asio::awaitable<void> serve_admin(const admin_context& context,
                                         boost::asio::ip::tcp::socket socket);

} // namespace zinniaferry::net
