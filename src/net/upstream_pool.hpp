/// Connections to backend servers: kept alive, reused, and closed whenever an answer could be
/// mixed up with another.
#pragma once

#include "net/deadline_timer.hpp"
#include "net/http_rules.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinniaferry::net
{

namespace asio = boost::asio;

struct upstream_events;

/// One connection to a backend server.
struct upstream_connection
{
    upstream_connection(asio::io_context& io, std::string server_name, upstream_events& listener)
        : server(std::move(server_name)), events(listener), socket(io), timer(socket)
    {
    }
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    std::string server;
    upstream_events& events;
    bool announced = false; ///< `opened` was called for it.

    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    core::time_point idle_since;
};

/// Lets the front end end an attempt whose caller has gone.
struct attempt_handle
{
    std::shared_ptr<upstream_connection> connection;
    bool caller_gone = false;
};

struct attempt_outcome
{
    node::attempt_result result;
    std::optional<http_response> answer;
};

struct upstream_options
{
    std::size_t max_idle_per_server = 12;
    core::duration max_idle_time = std::chrono::seconds(20);
    core::duration connect_timeout = std::chrono::milliseconds(500);
};

/// Told of each connection that opens or closes, by the backend server's name.
struct upstream_events
{
    std::function<void(const std::string&)> opened;
    std::function<void(const std::string&)> closed;
};

class upstream_pool
{
public:
    upstream_pool(asio::io_context& io, upstream_options options, upstream_events events);

    /// Sends `request` to the server of `target` and reads the whole answer. `may_send` is
    /// asked directly before the first byte is written. Never throws for network failures; they
    /// are in the result. Thread safety: the io_context's thread only.
    asio::awaitable<attempt_outcome> attempt(const node::dispatch& target,
                                             const http_request& request, attempt_handle& handle,
                                             const std::function<bool()>& may_send);

    /// Ends the attempt of `handle` because its caller has gone. Thread safety: as attempt.
    static void cancel(attempt_handle& handle);

    /// Closes idle connections that were unused for too long, but for one per server. Thread
    /// safety: as attempt.
    void close_idle(core::time_point now);

    /// Number of idle connections kept now. Thread safety: as attempt.
    std::size_t idle_count() const;

private:
    void watch_idle(const std::string& address,
                    const std::shared_ptr<upstream_connection>& connection);
    std::shared_ptr<upstream_connection> take_idle(const node::dispatch& target);
    asio::awaitable<std::shared_ptr<upstream_connection>> connect(const node::dispatch& target);
    asio::awaitable<attempt_outcome> exchange(const node::dispatch& target,
                                              const http_request& request, attempt_handle& handle,
                                              const std::function<bool()>& may_send);
    void put_back(const std::string& address, std::shared_ptr<upstream_connection> connection);

    asio::io_context& io_;
    upstream_options options_;
    upstream_events events_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<upstream_connection>>> idle_;
};

/// Reads "IP:port". Returns nothing when the text is not an IP number and port. Thread safe.
std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text);

} // namespace zinniaferry::net
