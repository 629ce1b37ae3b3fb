#include "net/caller_session.hpp"

#include "net/accept_loop.hpp"
#include "net/request_handler.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// Bytes beyond the largest header that are read before they are parsed.
constexpr std::size_t read_ahead_bytes = 4UL * 1024UL;
/// Time for the caller to read its response before its connection is closed.
constexpr core::duration write_timeout = std::chrono::seconds(10);

/// A caller's connection; counted in `open_count` while it exists.
struct caller_connection
{
    caller_connection(caller_sessions& shared, asio::ip::tcp::socket accepted)
        : sessions(shared), socket(std::move(accepted)), timer(socket)
    {
        ++sessions.open_count;
    }
    ~caller_connection() { --sessions.open_count; }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    caller_sessions& sessions;
    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<request_handler> handler; ///< Of the current request.
};

using caller_connection_pointer = std::shared_ptr<caller_connection>;

config::caller_limits current_limits(const gateway& gateway)
{
    return gateway.configuration ? gateway.configuration->config->limits : config::caller_limits();
}

// Returns whether the caller has closed or reset the connection.
bool has_disconnected(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Cancels the current request if the caller disconnects. Pipelined bytes also make the socket
// readable; they are left for the next request, and a disconnect is not detected any more.
void cancel_on_disconnect(const caller_connection_pointer& connection)
{
    connection->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection, weak_handler = std::weak_ptr(connection->handler)](const error_code& error)
        {
            const auto handler = weak_handler.lock();
            if (!error && handler && handler == connection->handler &&
                has_disconnected(connection->socket))
            {
                handler->cancel();
            }
        });
}

// Without `with_body` only the header is written, whatever coding it states: the last chunk of an
// empty body would be taken for the beginning of the next response.
asio::awaitable<bool> write_response(caller_connection& connection, http_response& response,
                                     bool keep_alive, bool with_body)
{
    // After a request whose framing is ambiguous, the next bytes may belong to it. Its response
    // therefore states that the connection closes.
    keep_alive = keep_alive && response.keep_alive();
    response.keep_alive(keep_alive);
    connection.timer.expires_after(write_timeout);
    error_code error;
    if (with_body)
    {
        co_await http::async_write(connection.socket, response, redirect_error_to(error));
    }
    else
    {
        http::response_serializer<http::string_body> serializer(response);
        co_await http::async_write_header(connection.socket, serializer, redirect_error_to(error));
    }
    connection.timer.clear();
    co_return !error && keep_alive;
}

// Shuts down the sending side and discards what the caller still sends, up to a limit. Closing with
// unread bytes would reset the connection, and the caller could lose the response.
asio::awaitable<void> close_gracefully(caller_connection& connection)
{
    constexpr core::duration linger_time = std::chrono::milliseconds(200);
    constexpr std::size_t max_discarded_bytes = 4UL * 1024UL * 1024UL;
    error_code error;
    connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    connection.timer.expires_after(linger_time);
    std::array<char, 1024> discarded;
    std::size_t total = 0;
    while (!error && total < max_discarded_bytes)
    {
        total += co_await connection.socket.async_read_some(asio::buffer(discarded),
                                                            redirect_error_to(error));
    }
}

// Returns false if the connection was closed or reached its idle timeout before a request began.
asio::awaitable<bool> wait_for_request(caller_connection& connection)
{
    if (connection.buffer.size() > 0)
    {
        co_return true;
    }
    const config::caller_limits limits = current_limits(connection.sessions.gateway);
    connection.timer.expires_after(limits.idle_timeout);
    error_code error;
    connection.sessions.idle_sockets.insert(&connection.socket);
    co_await connection.socket.async_wait(asio::ip::tcp::socket::wait_read,
                                          redirect_error_to(error));
    connection.sessions.idle_sockets.erase(&connection.socket);
    // A request may have arrived just before the wait was cancelled to close the connection.
    error_code ignored;
    co_return !error || (connection.socket.is_open() && connection.socket.available(ignored) > 0);
}

// Reads one request into `parser`. Returns beast::error::timeout if `header_timeout` passes before
// the request is complete.
asio::awaitable<error_code> read_request(caller_connection& connection,
                                         http::request_parser<http::string_body>& parser)
{
    const config::caller_limits limits = current_limits(connection.sessions.gateway);
    parser.header_limit(limits.header_bytes);
    // A pipelined request may already be in the buffer.
    connection.buffer.max_size(
        std::max<std::size_t>(connection.buffer.size(), limits.header_bytes + read_ahead_bytes));
    parser.body_limit(limits.body_bytes);
    connection.timer.expires_after(limits.header_timeout);
    error_code error;
    co_await http::async_read_header(connection.socket, connection.buffer, parser,
                                     redirect_error_to(error));
    if (!error && !parser.is_done() &&
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(connection.socket, asio::buffer(proceed),
                                   redirect_error_to(error));
    }
    if (!error && !parser.is_done())
    {
        co_await http::async_read(connection.socket, connection.buffer, parser,
                                  redirect_error_to(error));
    }
    const bool timed_out = connection.timer.expired();
    connection.timer.clear();
    co_return timed_out ? error_code(boost::beast::error::timeout) : error;
}

// Handles a request and writes its response. Returns whether the connection stays open.
asio::awaitable<bool> serve_request(const caller_connection_pointer& connection,
                                    const http_request& message)
{
    gateway& gateway = connection->sessions.gateway;
    connection->handler =
        std::make_shared<request_handler>(gateway, message, core::boot_clock_now());
    cancel_on_disconnect(connection);
    std::optional<http_response> response = co_await connection->handler->run();
    connection->handler.reset();
    error_code ignored;
    connection->socket.cancel(ignored);
    if (!response)
    {
        co_return false;
    }
    const bool with_body = has_body(*response, message.method() == http::verb::head);
    co_return co_await write_response(
        *connection, *response, message.keep_alive() && !gateway.close_after_response, with_body);
}

// Responds to a request that could not be parsed. Sends nothing if the connection failed or ended.
asio::awaitable<void> refuse_unparsed(caller_connection& connection, const error_code& error)
{
    if (error == http::error::end_of_stream ||
        error.category() == asio::error::get_system_category())
    {
        co_return;
    }
    gateway& gateway = connection.sessions.gateway;
    const request::refusal refusal = {.reason = classify_parse_error(error)};
    ++gateway.counters.refused.at(static_cast<std::size_t>(refusal.reason));
    gateway.log.write(
        "requests", "unreadable",
        {{"reason", request::to_string(refusal.reason)}, {"detail", error.message()}});
    http_response response = make_refusal_response(refusal, gateway.profile, {});
    co_await write_response(connection, response, false, true);
    co_await close_gracefully(connection);
}

asio::awaitable<void> serve_caller(caller_sessions& sessions, asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(sessions, std::move(socket));
    bool keep_open = true;
    while (keep_open)
    {
        // A statement of its own: in a condition `keep_open && co_await ...`, GCC 12 waits for a
        // request although keep_open is false.
        const bool has_request = co_await wait_for_request(*connection);
        if (!has_request)
        {
            break;
        }
        http::request_parser<http::string_body> parser;
        const error_code error = co_await read_request(*connection, parser);
        if (error)
        {
            co_await refuse_unparsed(*connection, error);
            co_return;
        }
        const http_request message = parser.release();
        keep_open = co_await serve_request(connection, message);
    }
    if (connection->socket.is_open())
    {
        co_await close_gracefully(*connection);
    }
}

} // namespace

asio::awaitable<void> accept_callers(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
{
    return accept_connections(
        acceptor,
        [&sessions](asio::ip::tcp::socket socket)
        { return serve_caller(sessions, std::move(socket)); },
        [&sessions](const error_code& error) {
            sessions.gateway.log.write("callers", "accept_failed", {{"error", error.message()}});
        });
}

bool stop_accepting(caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
{
    error_code error;
    acceptor.non_blocking(true, error);
    const auto serve = [&sessions](asio::ip::tcp::socket socket)
    {
        return serve_caller(sessions, std::move(socket));
    };
    bool accepted_any = false;
    while (!error)
    {
        asio::ip::tcp::socket socket = acceptor.accept(error);
        if (!error)
        {
            accepted_any = true;
            start_serving(acceptor, std::move(socket), serve);
        }
    }
    if (!accepted_any)
    {
        acceptor.close(error);
    }
    return !accepted_any;
}

void close_idle_sessions(caller_sessions& sessions)
{
    for (asio::ip::tcp::socket* socket : sessions.idle_sockets)
    {
        error_code ignored;
        socket->cancel(ignored);
    }
}

} // namespace zinniaferry::net
