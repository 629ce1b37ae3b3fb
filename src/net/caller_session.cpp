#include "net/caller_session.hpp"

#include "net/accept_loop.hpp"
#include "net/request_flow.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

constexpr std::size_t read_chunk_bytes = 4UL * 1024UL;
/// A caller that does not read its answer for so long is given up.
constexpr core::duration write_timeout = std::chrono::seconds(10);

/// State of one caller's connection.
struct caller_connection
{
    caller_connection(caller_sessions& shared, asio::ip::tcp::socket accepted)
        : sessions(shared), socket(std::move(accepted)), timer(socket)
    {
        ++sessions.open;
    }
    ~caller_connection() { --sessions.open; }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    caller_sessions& sessions;
    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<request_flow> flow; ///< Of the request at hand.
};

using connection_pointer = std::shared_ptr<caller_connection>;

config::caller_limits limits_in_force(const gateway& gateway)
{
    return gateway.configuration ? gateway.configuration->config->limits : config::caller_limits();
}

bool caller_has_gone(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Waits beside the running request for the caller's connection to end. Pipelined bytes also make
// the socket readable; they are left for the next request, and the watch ends.
void watch_caller(const connection_pointer& connection)
{
    connection->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [connection, watched = std::weak_ptr(connection->flow)](const error_code& error)
        {
            const auto flow = watched.lock();
            if (!error && flow && flow == connection->flow && caller_has_gone(connection->socket))
            {
                flow->cancel();
            }
        });
}

asio::awaitable<bool> write_answer(caller_connection& connection, http_response& answer,
                                   bool keep_alive)
{
    // After a request that was not framed clearly, the next bytes may belong to it.
    keep_alive = keep_alive && answer.keep_alive();
    answer.keep_alive(keep_alive);
    connection.timer.expires_after(write_timeout);
    error_code error;
    co_await http::async_write(connection.socket, answer, into(error));
    connection.timer.clear();
    co_return !error && keep_alive;
}

// Closes the sending side first and drains what the caller still sends. Closing at once with
// unread bytes would reset the connection, and the caller could lose the answer.
asio::awaitable<void> close_gracefully(caller_connection& connection)
{
    constexpr core::duration linger = std::chrono::milliseconds(200);
    error_code error;
    connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    connection.timer.expires_after(linger);
    std::array<char, 1024> discarded;
    while (!error)
    {
        co_await connection.socket.async_read_some(asio::buffer(discarded), into(error));
    }
}

// Returns false when the connection ended or stayed idle before a request began.
asio::awaitable<bool> wait_for_request(caller_connection& connection)
{
    if (connection.buffer.size() > 0)
    {
        co_return true;
    }
    const config::caller_limits limits = limits_in_force(connection.sessions.gateway);
    connection.timer.expires_after(limits.idle_timeout);
    error_code error;
    connection.sessions.idle.insert(&connection.socket);
    co_await connection.socket.async_wait(asio::ip::tcp::socket::wait_read, into(error));
    connection.sessions.idle.erase(&connection.socket);
    // A request may have arrived in the moment in which the connection was to be closed.
    error_code unknown;
    co_return !error || (connection.socket.is_open() && connection.socket.available(unknown) > 0);
}

asio::awaitable<error_code> read_request(caller_connection& connection,
                                         http::request_parser<http::string_body>& parser)
{
    const config::caller_limits limits = limits_in_force(connection.sessions.gateway);
    parser.header_limit(limits.header_bytes);
    parser.body_limit(limits.body_bytes);
    connection.timer.expires_after(limits.header_timeout);
    error_code error;
    co_await http::async_read_header(connection.socket, connection.buffer, parser, into(error));
    if (!error && !parser.is_done() &&
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(connection.socket, asio::buffer(proceed), into(error));
    }
    if (!error && !parser.is_done())
    {
        co_await http::async_read(connection.socket, connection.buffer, parser, into(error));
    }
    const bool timed_out = connection.timer.expired();
    connection.timer.clear();
    co_return timed_out ? error_code(boost::beast::error::timeout) : error;
}

// Returns whether the connection may serve another request.
asio::awaitable<bool> serve_request(const connection_pointer& connection,
                                    const http_request& message)
{
    gateway& gateway = connection->sessions.gateway;
    connection->flow = std::make_shared<request_flow>(gateway, message, core::boot_clock_now());
    watch_caller(connection);
    std::optional<http_response> answer = co_await connection->flow->run();
    connection->flow.reset();
    error_code ignored;
    connection->socket.cancel(ignored);
    if (!answer)
    {
        co_return false;
    }
    if (message.method() == http::verb::head)
    {
        answer->body().clear();
    }
    co_return co_await write_answer(*connection, *answer, message.keep_alive() && !gateway.closing);
}

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
    http_response answer = make_refusal(refusal, gateway.profile, {});
    co_await write_answer(connection, answer, false);
    co_await close_gracefully(connection);
}

asio::awaitable<void> serve_caller(caller_sessions& sessions, asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(sessions, std::move(socket));
    bool again = true;
    while (again && co_await wait_for_request(*connection))
    {
        http::request_parser<http::string_body> parser;
        const error_code error = co_await read_request(*connection, parser);
        if (error)
        {
            co_await refuse_unparsed(*connection, error);
            co_return;
        }
        const http_request message = parser.release();
        again = co_await serve_request(connection, message);
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
    bool taken = false;
    while (!error)
    {
        asio::ip::tcp::socket socket = acceptor.accept(error);
        if (!error)
        {
            taken = true;
            start_serving(acceptor, std::move(socket), serve);
        }
    }
    if (!taken)
    {
        acceptor.close(error);
    }
    return !taken;
}

void close_idle_sessions(caller_sessions& sessions)
{
    for (asio::ip::tcp::socket* socket : sessions.idle)
    {
        error_code ignored;
        socket->cancel(ignored);
    }
}

} // namespace zinniaferry::net
