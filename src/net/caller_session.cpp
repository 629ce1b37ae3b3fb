#include "net/caller_session.hpp"

#include "net/accept_loop.hpp"
#include "net/read_body.hpp"
#include "net/read_header.hpp"
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
/// Memory of a header that each connection may have beside what is counted, in bytes. Ordinary
/// requests without a body so need no room.
constexpr std::uint64_t uncounted_header_bytes = 4UL * 1024UL;
/// Longest time that a request's header or body waits for memory before it is refused. Others that
/// make progress are complete by then, as each has a time limit of a few seconds.
constexpr core::duration max_room_wait = std::chrono::seconds(1);
/// Retry-After of requests refused for memory.
constexpr core::duration memory_retry_after = std::chrono::milliseconds(500);

/// A caller's connection; counted in `open_count` while it exists.
struct caller_connection
{
    caller_connection(caller_sessions& shared, asio::ip::tcp::socket accepted)
        : sessions(shared), socket(std::move(accepted)), timer(socket)
    {
        ++sessions.open_count;
        connections->sockets[id] = &socket;
    }
    ~caller_connection()
    {
        --sessions.open_count;
        limits::remove_connection(connections->budget, id);
        connections->sockets.erase(id);
    }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    caller_sessions& sessions;
    std::shared_ptr<caller_connections> connections = sessions.connections;
    const limits::connection_id id =
        limits::add_connection(connections->budget, core::boot_clock_now());
    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<request_handler> handler; ///< Of the current request.
    bool lost_place = false;                  ///< A slow body of this caller made room for others.
};

using caller_connection_pointer = std::shared_ptr<caller_connection>;

void set_phase(const caller_connection& connection, limits::connection_phase phase)
{
    limits::set_phase(connection.connections->budget, connection.id, phase, core::boot_clock_now());
}

// Closes the connection that has to make way for a new one, which may be the new one itself.
void close_for_descriptors(caller_connection& newest)
{
    caller_connections& all = *newest.connections;
    const auto id = limits::connection_to_close(all.budget, newest.id);
    if (!id)
    {
        return;
    }
    error_code ignored;
    all.sockets.at(*id)->close(ignored);
    limits::remove_connection(all.budget, *id);
    gateway& gateway = newest.sessions.gateway;
    ++gateway.counters.connections_closed;
    gateway.log.write("callers", "closed_for_descriptors",
                      {{"connections", all.budget.entries.size()}});
}

// Returns what closes a caller whose body is slow while others wait for its memory.
std::function<void()> make_closer(caller_connection& connection)
{
    return [&connection]
    {
        connection.lost_place = true;
        error_code ignored;
        connection.socket.cancel(ignored);
        const gateway& gateway = connection.sessions.gateway;
        connection.sessions.gateway.log.write("callers", "slow_body_closed",
                                              {{"held_bytes", gateway.bodies->budget.held}});
    };
}

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

// Writes a response piece by piece, so that the memory of one that is not read can be freed.
asio::awaitable<error_code> write_large_response(caller_connection& connection,
                                                 http_response& response, held_body& room)
{
    room.begin_transfer(response.body().size(), core::boot_clock_now() + write_timeout,
                        make_closer(connection));
    http::response_serializer<http::string_body> serializer(response);
    error_code error;
    std::uint64_t written = 0;
    while (!error && !serializer.is_done())
    {
        written += co_await http::async_write_some(connection.socket, serializer,
                                                   redirect_error_to(error));
        room.on_progress(written);
        if (connection.lost_place)
        {
            error = asio::error::operation_aborted;
        }
    }
    room.end_transfer();
    co_return error;
}

// Without `with_body` only the header is written, whatever coding it states: the last chunk of an
// empty body would be taken for the beginning of the next response.
asio::awaitable<bool> write_response(caller_connection& connection, http_response& response,
                                     bool keep_alive, bool with_body, held_body room = {})
{
    // After a request whose framing is ambiguous, the next bytes may belong to it. Its response
    // therefore states that the connection closes.
    keep_alive = keep_alive && response.keep_alive();
    response.keep_alive(keep_alive);
    connection.timer.expires_after(write_timeout);
    error_code error;
    if (with_body && room.counts())
    {
        error = co_await write_large_response(connection, response, room);
    }
    else if (with_body)
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

// Waits until there is room for a header that takes more memory than an ordinary one, at the latest
// until `until`. Returns whether there is.
asio::awaitable<bool> reserve_header(const caller_connection& connection, std::uint64_t bytes,
                                     held_body& room, core::time_point until)
{
    if (bytes <= uncounted_header_bytes)
    {
        co_return true;
    }
    if (!room.counts())
    {
        room = held_body(connection.sessions.gateway.bodies);
    }
    // The request that is forwarded has a copy.
    co_return co_await room.wait_for_header_room(2 * bytes, until);
}

// Receives a header, and parses it when there is room for it. Moves `complete_by` by the time that
// this takes.
asio::awaitable<error_code> read_request_header(caller_connection& connection,
                                                http::request_parser<http::string_body>& parser,
                                                held_body& room, core::time_point& complete_by)
{
    error_code error = co_await receive_header(connection.socket, connection.buffer);
    set_phase(connection, limits::connection_phase::serving);
    if (error)
    {
        co_return error;
    }
    const core::time_point waits_from = core::boot_clock_now();
    const bool has_room = co_await reserve_header(
        connection, unparsed_header_memory(connection.buffer), room, waits_from + max_room_wait);
    if (!has_room)
    {
        co_return asio::error::no_memory;
    }
    complete_by += core::boot_clock_now() - waits_from;
    connection.timer.expires_at(complete_by);
    co_await http::async_read_header(connection.socket, connection.buffer, parser,
                                     redirect_error_to(error));
    co_return error;
}

// Reads the body of a request whose header is complete. A caller that is slow while others wait for
// memory loses its place, as if its time had passed.
asio::awaitable<error_code> read_request_body(caller_connection& connection,
                                              http::request_parser<http::string_body>& parser,
                                              held_body& room, core::time_point complete_by)
{
    const core::time_point waits_from = core::boot_clock_now();
    const bool has_room =
        co_await room.wait_for_room(room_needed(parser, 0), waits_from + max_room_wait);
    if (!has_room)
    {
        co_return asio::error::no_memory;
    }
    // Waiting for room takes none of the caller's time.
    complete_by += core::boot_clock_now() - waits_from;
    connection.timer.expires_at(complete_by);
    room.begin_transfer(parser.content_length().value_or(0), complete_by, make_closer(connection));
    const room_wait wait = {.longest = max_room_wait, .deadline = complete_by};
    const error_code error =
        co_await read_body(connection.socket, connection.buffer, parser, room, wait);
    room.end_transfer();
    co_return error;
}

// Reads one request into `parser`. Returns beast::error::timeout if `header_timeout` passes before
// the request is complete, and no_memory if there is no room for its header or body.
asio::awaitable<error_code> read_request(caller_connection& connection,
                                         http::request_parser<http::string_body>& parser,
                                         held_body& room)
{
    set_phase(connection, limits::connection_phase::reading_header);
    const config::caller_limits limits = current_limits(connection.sessions.gateway);
    parser.header_limit(limits.header_bytes);
    // A pipelined request may already be in the buffer.
    connection.buffer.max_size(
        std::max<std::size_t>(connection.buffer.size(), limits.header_bytes + read_ahead_bytes));
    parser.body_limit(limits.body_bytes);
    core::time_point complete_by = core::boot_clock_now() + limits.header_timeout;
    connection.timer.expires_at(complete_by);
    error_code error = co_await read_request_header(connection, parser, room, complete_by);
    if (!error && !parser.is_done() &&
        boost::beast::iequals(parser.get()[http::field::expect], "100-continue"))
    {
        static constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(connection.socket, asio::buffer(proceed),
                                   redirect_error_to(error));
    }
    if (!error && !parser.is_done())
    {
        if (!room.counts())
        {
            room = held_body(connection.sessions.gateway.bodies);
        }
        error = co_await read_request_body(connection, parser, room, complete_by);
    }
    if (!error && parser.chunked())
    {
        // The header has the fields of the trailer now. They take their memory, so they don't wait.
        const bool has_room = co_await reserve_header(connection, header_memory(parser.get()), room,
                                                      core::boot_clock_now());
        error = has_room ? error : error_code(asio::error::no_memory);
    }
    const bool timed_out = connection.timer.expired() || connection.lost_place;
    connection.timer.clear();
    co_return timed_out ? error_code(boost::beast::error::timeout) : error;
}

// Handles a request and writes its response. Returns whether the connection stays open.
asio::awaitable<bool> serve_request(const caller_connection_pointer& connection,
                                    http_request message, held_body room)
{
    gateway& gateway = connection->sessions.gateway;
    const bool is_head = message.method() == http::verb::head;
    const bool keep_alive = message.keep_alive();
    connection->handler =
        std::make_shared<request_handler>(gateway, std::move(message), core::boot_clock_now());
    cancel_on_disconnect(connection);
    std::optional<http_response> response = co_await connection->handler->run();
    held_body response_room = connection->handler->take_response_room();
    connection->handler.reset();
    room = held_body();
    error_code ignored;
    connection->socket.cancel(ignored);
    if (!response)
    {
        co_return false;
    }
    const bool with_body = has_body(*response, is_head);
    co_return co_await write_response(*connection, *response,
                                      keep_alive && !gateway.close_after_response, with_body,
                                      std::move(response_room));
}

// Responds to a request that could not be parsed. Sends nothing if the connection failed or ended.
asio::awaitable<void> refuse_unparsed(caller_connection& connection, const error_code& error)
{
    const bool is_failure =
        error.category() == asio::error::get_system_category() && error != asio::error::no_memory;
    if (error == http::error::end_of_stream || is_failure)
    {
        co_return;
    }
    gateway& gateway = connection.sessions.gateway;
    const bool has_no_memory = error == asio::error::no_memory;
    const request::refusal refusal =
        has_no_memory ? request::refusal{request::refusal_reason::memory_limit, memory_retry_after}
                      : request::refusal{.reason = classify_parse_error(error)};
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
    close_for_descriptors(*connection);
    bool keep_open = connection->socket.is_open();
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
        held_body room;
        const error_code error = co_await read_request(*connection, parser, room);
        if (error)
        {
            // The memory goes to others while the refusal is written.
            // Assigning an empty string would keep the block.
            std::string().swap(parser.get().body());
            parser.get().clear();
            room = held_body();
            co_await refuse_unparsed(*connection, error);
            co_return;
        }
        http_request message = parser.release();
        keep_open = co_await serve_request(connection, std::move(message), std::move(room));
        set_phase(*connection, limits::connection_phase::idle);
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
