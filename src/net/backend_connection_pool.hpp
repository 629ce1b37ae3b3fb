/// Connections to backend servers: probes and requests on them, kept connections, and the check
/// that an response belongs to its request and is whole.
#pragma once

#include "net/deadline_timer.hpp"
#include "net/http_profile.hpp"
#include "net/message_rules.hpp"
#include "routing/backends.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::net
{

namespace asio = boost::asio;

struct backend_connection
{
    explicit backend_connection(asio::io_context& io) : socket(io), timer(socket) {}

    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    core::time_point last_response_at; ///< The server answered on it.
    core::duration keep_alive_timeout{};  ///< How long the server keeps it open while idle.
    bool reusable = false;        ///< The last response allows another request.
};

using backend_connection_pointer = std::shared_ptr<backend_connection>;

enum class exchange_outcome
{
    answered,
    not_run,      ///< The server states that it did not run the request.
    wrong_server, ///< Another server has the address; it did not run the request.
    broken,       ///< The connection ended early; the request may have run.
    malformed,    ///< The response is not whole or not the server's; the request may have run.
    timed_out
};

/// Returns the name of the end for logs. Thread safe.
const char* to_string(exchange_outcome value);

struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::broken;
    std::optional<http_response> response; ///< Present when `answered`.
};

struct probe_result
{
    bool answered = false;
    bool healthy = false;
    bool is_expected_server = false;
    std::optional<routing::load_reading> load;
    core::duration warmup_left{};
};

struct backend_connection_pool_options
{
    core::duration connect_timeout = std::chrono::milliseconds(150);
    std::size_t max_idle_per_server = 8;
};

struct backend_connection_pool_counters
{
    std::uint64_t connections = 0;
    std::uint64_t probes = 0;
};

/// One thread for all functions: the io_context's.
class backend_connection_pool
{
public:
    /// Preconditions: `io` and `profile` outlive the pool.
    backend_connection_pool(asio::io_context& io, const http_profile& profile);

    /// Returns a kept connection that has not been closed by the server and was answered on after
    /// `answered_since`, or nothing.
    backend_connection_pointer take_idle(const routing::backend& server,
                                         core::time_point answered_since);

    /// Opens a connection. Returns nothing when that fails or takes too long.
    asio::awaitable<backend_connection_pointer> connect(const routing::backend& server);

    /// Asks the server's health path.
    asio::awaitable<probe_result> probe(backend_connection_pointer connection,
                                        std::string server_id, std::string path,
                                        core::duration timeout);

    /// Sends a request and reads its response.
    asio::awaitable<exchange_result> exchange(backend_connection_pointer connection,
                                              const http_request& request,
                                              core::time_point deadline);

    /// Keeps the connection when it may be used again.
    void put_back(const routing::backend& server, backend_connection_pointer connection);

    /// Closes the idle connections of servers that are not in the set, and those that their server
    /// is about to close.
    void close_stale(const routing::backend_set& set, core::time_point now);

    std::size_t idle_count() const;

    backend_connection_pool_options options;
    backend_connection_pool_counters counters;

private:
    exchange_outcome classify(const http_request& request, const http_response& response) const;

    asio::io_context& io_;
    const http_profile& profile_;
    std::unordered_map<std::string, std::vector<backend_connection_pointer>> idle_;
};

} // namespace zinniaferry::net
