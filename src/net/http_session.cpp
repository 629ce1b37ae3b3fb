#include "net/http_session.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

constexpr std::size_t read_chunk_bytes = 8UL * 1024UL;

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// State of one caller's connection.
struct caller_connection
{
    caller_connection(session_context& shared, asio::ip::tcp::socket accepted)
        : context(shared), socket(std::move(accepted)), timer(socket), slot(shared.host.io())
    {
        ++context.open_sessions;
    }
    ~caller_connection() { --context.open_sessions; }
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    session_context& context;
    asio::ip::tcp::socket socket;
    deadline_timer timer;
    boost::beast::flat_buffer buffer;
    reply_slot slot;
    attempt_handle attempt;
    node::request_id request = 0;
    bool in_progress = false;
};

using connection_pointer = std::shared_ptr<caller_connection>;

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
        [connection, watched = connection->request](const error_code& error)
        {
            const bool same_request = connection->in_progress && connection->request == watched;
            if (error || !same_request || !caller_has_gone(connection->socket))
            {
                return;
            }
            upstream_pool::cancel(connection->attempt);
            connection->context.host.caller_gone(watched);
        });
}

asio::awaitable<bool> write_answer(caller_connection& connection, const http_response& answer)
{
    connection.timer.expires_after(connection.context.options.write_timeout);
    error_code error;
    co_await http::async_write(connection.socket, answer, into(error));
    connection.timer.clear();
    co_return !error && answer.keep_alive();
}

asio::awaitable<bool> write_refusal(caller_connection& connection, const node::refusal& refusal,
                                    const http_request& request, bool keep_alive)
{
    http_response answer = make_refusal(refusal, request.version() == 10 ? 10 : 11,
                                        keep_alive && !connection.context.closing);
    if (request.method() == http::verb::head)
    {
        answer.body().clear();
    }
    co_return co_await write_answer(connection, answer);
}

// Closes the sending side first and drains what the caller still sends. Closing at once with
// unread bytes would reset the connection, and the caller could lose the error it was sent.
asio::awaitable<void> close_gracefully(caller_connection& connection)
{
    constexpr auto linger = std::chrono::milliseconds(200);
    error_code error;
    connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    connection.timer.expires_after(linger);
    std::array<char, 4096> discarded;
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
    connection.timer.expires_after(connection.context.options.idle_timeout);
    error_code error;
    connection.context.idle.insert(&connection.socket);
    const std::size_t received = co_await connection.socket.async_read_some(
        connection.buffer.prepare(read_chunk_bytes), into(error));
    connection.context.idle.erase(&connection.socket);
    connection.buffer.commit(received);
    co_return !error;
}

asio::awaitable<error_code> read_request(caller_connection& connection,
                                         http::request_parser<http::string_body>& parser)
{
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_request_body_bytes);
    connection.timer.expires_after(connection.context.options.request_timeout);
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

void prepare_for_server(http_request& request, const node::dispatch& dispatch,
                        const core::process_id& self)
{
    request.set("X-Zinnia-Account", dispatch.account);
    request.set("X-Zinnia-Request-Id",
                fmt::format("{}-{:x}-{}", self.vm, self.incarnation, dispatch.request));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(dispatch.deadline -
                                                                            core::elapsed_now());
    request.set("X-Zinnia-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 0)));
    request.set(http::field::host, dispatch.address);
}

asio::awaitable<std::optional<http_response>> run_attempt(const connection_pointer& connection,
                                                          const node::dispatch& dispatch,
                                                          http_request& request)
{
    session_context& context = connection->context;
    prepare_for_server(request, dispatch, node::self(context.host.decider()));
    attempt_outcome outcome = co_await context.upstream.attempt(
        dispatch, request, connection->attempt,
        [&] { return context.host.bytes_leaving(dispatch.request); });
    context.host.attempt_ended(dispatch.request, outcome.result);
    co_return std::move(outcome.answer);
}

// Carries out the decider's actions for one request until it has an answer or a refusal. Returns
// whether the connection may serve another request.
asio::awaitable<bool> carry_out(const connection_pointer& connection, http_request& request,
                                bool keep_alive)
{
    std::optional<http_response> answer;
    while (true)
    {
        const node::action action = co_await connection->slot.take();
        if (const auto* dispatch = std::get_if<node::dispatch>(&action))
        {
            answer = co_await run_attempt(connection, *dispatch, request);
        }
        else if (const auto* refusal = std::get_if<node::refusal>(&action))
        {
            co_return co_await write_refusal(*connection, *refusal, request, keep_alive);
        }
        else if (std::holds_alternative<node::relay_answer>(action) && answer)
        {
            remove_server_headers(*answer);
            answer->version(request.version());
            answer->keep_alive(keep_alive && !connection->context.closing);
            co_return co_await write_answer(*connection, *answer);
        }
    }
}

asio::awaitable<bool> serve_request(const connection_pointer& connection, http_request request)
{
    session_context& context = connection->context;
    const bool keep_alive = request.keep_alive();
    const auto described = describe_request(request);
    if (const auto* error = std::get_if<node::request_error>(&described))
    {
        node::count_malformed(context.host.decider(), *error);
        co_return co_await write_refusal(*connection, {.error = *error}, request, false);
    }
    connection->attempt = {};
    const core::time_point arrived = core::elapsed_now();
    connection->request = context.host.start_request(std::get<node::request_description>(described),
                                                     connection->slot);
    connection->in_progress = true;
    remove_caller_headers(request);
    request.version(11);
    request.keep_alive(true);
    request.prepare_payload();
    watch_caller(connection);
    const bool again = co_await carry_out(connection, request, keep_alive);
    connection->in_progress = false;
    context.durations.record(core::elapsed_now() - arrived);
    context.host.end_request(connection->request);
    error_code ignored;
    connection->socket.cancel(ignored);
    co_return again;
}

asio::awaitable<void> refuse_unparsed(caller_connection& connection, const error_code& error)
{
    if (error == http::error::end_of_stream ||
        error.category() == asio::error::get_system_category())
    {
        co_return;
    }
    const node::refusal refusal = {.error = classify_parse_error(error)};
    node::count_malformed(connection.context.host.decider(), refusal.error);
    co_await write_answer(connection, make_refusal(refusal, 11, false));
    co_await close_gracefully(connection);
}

} // namespace

void close_idle_sessions(session_context& context)
{
    for (asio::ip::tcp::socket* socket : context.idle)
    {
        error_code ignored;
        socket->cancel(ignored);
    }
}

asio::awaitable<void> serve_caller(session_context& context, asio::ip::tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(context, std::move(socket));
    error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    bool again = true;
    while (again && !context.closing && co_await wait_for_request(*connection))
    {
        http::request_parser<http::string_body> parser;
        const error_code error = co_await read_request(*connection, parser);
        if (error)
        {
            co_await refuse_unparsed(*connection, error);
            co_return;
        }
        again = co_await serve_request(connection, parser.release());
    }
    if (connection->socket.is_open())
    {
        co_await close_gracefully(*connection);
    }
}

} // namespace zinniaferry::net
