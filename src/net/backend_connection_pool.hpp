/// Pool of connections to backend servers. Sends probes and requests on them, and verifies that
/// each response is complete and belongs to its request.
#pragma once

#include "net/body_room.hpp"
#include "net/deadline_timer.hpp"
#include "net/http_profile.hpp"
#include "net/message_rules.hpp"
#include "net/notice_headers.hpp"
#include "routing/backends.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// A connection to one backend server.
struct backend_connection
{
    explicit backend_connection(asio::io_context& io) : socket(io), timer(socket) {}

    asio::ip::tcp::socket socket;
    deadline_timer timer;
    routing::server_lifetime server;                      ///< At the other end.
    std::string address;                                  ///< Of the server.
    boost::beast::flat_buffer buffer{max_unparsed_bytes}; ///< Bytes that were read but not parsed.
    core::time_point last_response_at;                    ///< When the last response was complete.
    core::duration keep_alive_timeout{}; ///< Idle time after which the server closes it.
    bool reusable = false;               ///< The last response allows another request.
};

using backend_connection_pointer = std::shared_ptr<backend_connection>;

/// How sending a request and reading its response ended.
enum class exchange_outcome
{
    answered,     ///< Complete response, whatever its status.
    not_run,      ///< The server states that it did not run the request.
    wrong_server, ///< Another server listens on the address; it did not run the request.
    broken,       ///< The connection ended before the response header; the request may have run.
    malformed,    ///< The response is incomplete or not the server's; the request may have run.
    timed_out     ///< The deadline passed; the request may have run.
};

/// Returns the outcome's name in logs. Thread safe.
const char* to_string(exchange_outcome value);

struct exchange_result
{
    exchange_outcome outcome = exchange_outcome::broken;
    /// The complete response, if one was read; always present if `outcome` is `answered`.
    std::optional<http_response> response;
    held_body room; ///< That the body of the response takes.
};

/// Why a server is probed.
enum class probe_purpose
{
    selection, ///< Reads the load of a candidate for a request.
    trial      ///< Finds out whether a suspect server works again.
};
inline constexpr std::size_t probe_purpose_count = 2;

/// Returns the purpose's name in metrics. Thread safe.
const char* to_string(probe_purpose value);

/// A request to a server's health path.
struct probe_request
{
    std::string server_id; ///< Id that the server must state, if it states one.
    std::string path;
    core::duration timeout{}; ///< After this the connection is closed.
    probe_purpose purpose = probe_purpose::selection;
};

/// Result of a request to a server's health path.
struct probe_result
{
    bool answered = false;           ///< Complete response; the other members are only valid then.
    bool healthy = false;            ///< The status is 200.
    bool is_expected_server = false; ///< The response names the probed server, or no server.
    std::optional<routing::load_reading> load; ///< Absent if the response states none.
    core::duration warmup_left{};              ///< Zero for a warm server.
};

struct backend_connection_pool_options
{
    core::duration connect_timeout = std::chrono::milliseconds(150);
    std::size_t max_idle_per_server = 8;
};

struct backend_connection_pool_counters
{
    std::uint64_t connections = 0; ///< Opened since the start.
    /// Sent since the start, by probe_purpose.
    std::array<std::uint64_t, probe_purpose_count> probes{};
};

/// Thread safety: the io_context's thread only.
class backend_connection_pool
{
public:
    /// Preconditions: `io` and `profile` outlive the pool.
    backend_connection_pool(asio::io_context& io, const http_profile& profile);

    /// Returns an idle connection to this lifetime of the server that the server has not closed and
    /// on which it has responded since `answered_since`, or null.
    backend_connection_pointer take_idle(const routing::backend& server,
                                         core::time_point answered_since);

    /// Opens a connection. Returns null if that fails or exceeds `connect_timeout`.
    asio::awaitable<backend_connection_pointer> connect(const routing::backend& server);

    /// Sends a probe and evaluates the response.
    asio::awaitable<probe_result> probe(backend_connection_pointer connection,
                                        probe_request wanted);

    /// Sends a request and reads its response, at the latest until `deadline`. `request` must stay
    /// valid until the coroutine ends.
    asio::awaitable<exchange_result> exchange(backend_connection_pointer connection,
                                              const forwarded_request& request,
                                              core::time_point deadline);

    /// Keeps the connection as idle if it is open and reusable, its server still listed and the
    /// number of the server's idle connections below the limit; drops it otherwise.
    void put_back(const routing::backend& server, backend_connection_pointer connection);

    /// Closes the idle connections of servers that are not in the set, and those whose keep-alive
    /// timeout has passed.
    void close_stale(const routing::backend_set& set, core::time_point now);

    std::size_t idle_count() const;

    backend_connection_pool_options options;
    backend_connection_pool_counters counters;
    std::shared_ptr<body_room> bodies; ///< Bounds the bodies of responses; null for no bound.
    /// Called for each response with notice headers, whether somebody waits for it or not; may be
    /// empty.
    std::function<void(const routing::server_lifetime& server, const parsed_notice& notice,
                       routing::notice_source source)>
        on_notice;

private:
    /// Calls on_notice if the response has notice headers and no other server sent it.
    void report_notice(const backend_connection& connection,
                       const http::response_header<>& response,
                       routing::notice_source source) const;
    /// Classifies a complete response.
    exchange_outcome classify(const forwarded_request& request,
                              const http_response& response) const;

    asio::io_context& io_;
    const http_profile& profile_;
    /// By server id.
    std::unordered_map<std::string, std::vector<backend_connection_pointer>> idle_;
};

} // namespace zinniaferry::net
