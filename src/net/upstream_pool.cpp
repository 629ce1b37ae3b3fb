#include "net/upstream_pool.hpp"

#include "request/outcome.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

// A server closes an idle connection at any time. Its FIN, or bytes that nobody asked for, show in
// the receive buffer, and such a connection must not carry a request.
bool looks_usable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// An answer that ends with the connection cannot be told from a truncated one, so it counts as
// incomplete; HTTP/1.1 servers send a length or chunks.
bool has_definite_length(const http::response_parser<http::string_body>& parser)
{
    return !parser.need_eof();
}

node::attempt_end classify_end(const upstream_connection& connection, const attempt_handle& handle,
                               const error_code& error, bool header_read)
{
    if (handle.caller_gone)
    {
        return node::attempt_end::caller_gone;
    }
    if (connection.timer.expired())
    {
        return node::attempt_end::timed_out;
    }
    const bool nothing_read = error == http::error::end_of_stream ||
                              error.category() == asio::error::get_system_category();
    return nothing_read && !header_read ? node::attempt_end::lost : node::attempt_end::incomplete;
}

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    error_code error;
    const auto address = asio::ip::make_address(host, error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, failed] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || failed != std::errc() || parsed != end)
    {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

upstream_connection::~upstream_connection()
{
    if (announced)
    {
        events.closed(server);
    }
}

upstream_pool::upstream_pool(asio::io_context& io, upstream_options options, upstream_events events)
    : io_(io), options_(options), events_(std::move(events))
{
}

std::shared_ptr<upstream_connection> upstream_pool::take_idle(const node::dispatch& target)
{
    const auto found = idle_.find(target.address);
    if (found == idle_.end())
    {
        return nullptr;
    }
    const core::time_point now = core::elapsed_now();
    auto& connections = found->second;
    while (!connections.empty())
    {
        // The last one was used most recently. Older ones stay open for requests that may be
        // repeated, and as evidence that the server has not restarted.
        if (!request::may_use_connection(target.idempotent, false,
                                         now - connections.back()->idle_since))
        {
            return nullptr;
        }
        std::shared_ptr<upstream_connection> connection = std::move(connections.back());
        connections.pop_back();
        if (looks_usable(connection->socket))
        {
            error_code ignored;
            connection->socket.cancel(ignored);
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<std::shared_ptr<upstream_connection>>
upstream_pool::connect(const node::dispatch& target)
{
    const auto endpoint = parse_endpoint(target.address);
    if (!endpoint)
    {
        co_return nullptr;
    }
    auto connection = std::make_shared<upstream_connection>(io_, target.server, events_);
    connection->timer.expires_at(
        std::min(target.deadline, core::elapsed_now() + options_.connect_timeout));
    error_code error;
    co_await connection->socket.async_connect(*endpoint, into(error));
    if (error)
    {
        co_return nullptr;
    }
    connection->socket.set_option(asio::ip::tcp::no_delay(true), error);
    connection->announced = true;
    events_.opened(target.server);
    co_return connection;
}

asio::awaitable<attempt_outcome> upstream_pool::attempt(const node::dispatch& target,
                                                        const http_request& request,
                                                        attempt_handle& handle,
                                                        const std::function<bool()>& may_send)
{
    handle.connection = take_idle(target);
    const bool fresh = handle.connection == nullptr;
    if (fresh)
    {
        handle.connection = co_await connect(target);
    }
    attempt_outcome out;
    if (handle.caller_gone)
    {
        out.result.end = node::attempt_end::caller_gone;
    }
    else if (!handle.connection)
    {
        out.result.end = node::attempt_end::connect_failed;
    }
    else
    {
        out = co_await exchange(target, request, handle, may_send);
    }
    out.result.fresh_connection = fresh;
    handle.connection.reset();
    co_return out;
}

asio::awaitable<attempt_outcome> upstream_pool::exchange(const node::dispatch& target,
                                                         const http_request& request,
                                                         attempt_handle& handle,
                                                         const std::function<bool()>& may_send)
{
    // The local pointer keeps the connection alive while an operation is pending.
    const std::shared_ptr<upstream_connection> connection = handle.connection;
    connection->timer.expires_at(target.deadline);
    attempt_outcome out;
    if (!may_send())
    {
        connection->timer.clear();
        put_back(target.address, connection);
        out.result.end = node::attempt_end::not_sent;
        co_return out;
    }
    error_code error;
    co_await http::async_write(connection->socket, request, into(error));
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_answer_body_bytes);
    parser.skip(request.method() == http::verb::head);
    // Interim 1xx answers precede the final one and are not passed on.
    if (!error)
    {
        co_await http::async_read(connection->socket, connection->buffer, parser, into(error));
    }
    connection->timer.clear();
    const bool whole = !error && parser.is_done() && has_definite_length(parser) &&
                       parser.get().result_int() >= 200;
    if (!whole)
    {
        out.result.end = classify_end(*connection, handle, error, parser.is_header_done());
        co_return out;
    }
    out.result.end = node::attempt_end::answered;
    out.answer = parser.release();
    out.result.status = out.answer->result_int();
    out.result.load_report = header_value(out.answer->base(), load_header);
    out.result.server_did_not_run =
        out.result.status == 503 && header_value(out.answer->base(), outcome_header) == "not-run";
    // Bytes after the answer belong to nobody; the connection is not used again.
    if (out.answer->keep_alive() && connection->buffer.size() == 0 && !handle.caller_gone)
    {
        put_back(target.address, connection);
    }
    co_return out;
}

void upstream_pool::cancel(attempt_handle& handle)
{
    handle.caller_gone = true;
    if (handle.connection)
    {
        // Closing tells the backend server to stop the work, and keeps a late answer from reuse.
        error_code ignored;
        handle.connection->socket.close(ignored);
    }
}

void upstream_pool::put_back(const std::string& address,
                             std::shared_ptr<upstream_connection> connection)
{
    auto& connections = idle_[address];
    if (connections.size() < options_.max_idle_per_server)
    {
        connection->idle_since = core::elapsed_now();
        watch_idle(address, connection);
        connections.push_back(std::move(connection));
    }
}

// A backend server that restarts closes its connections. Noticing it on idle ones at once tells
// that the server may be cold before the next request goes there.
void upstream_pool::watch_idle(const std::string& address,
                               const std::shared_ptr<upstream_connection>& connection)
{
    const std::weak_ptr<upstream_connection> watched = connection;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [this, address, watched](const error_code& error)
                                  {
                                      const auto found = idle_.find(address);
                                      if (error || found == idle_.end())
                                      {
                                          return;
                                      }
                                      std::erase_if(found->second, [&](const auto& entry)
                                                    { return entry == watched.lock(); });
                                  });
}

void upstream_pool::close_idle(core::time_point now)
{
    for (auto& [address, connections] : idle_)
    {
        // Reuse takes the newest, so the oldest come first. One stays open: its end tells that the
        // server restarted, and without any the server would count as cold.
        while (connections.size() > 1 &&
               now - connections.front()->idle_since > options_.max_idle_time)
        {
            connections.erase(connections.begin());
        }
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t upstream_pool::idle_count() const
{
    std::size_t count = 0;
    for (const auto& [address, connections] : idle_)
    {
        count += connections.size();
    }
    return count;
}

} // namespace zinniaferry::net
