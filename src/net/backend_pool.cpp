#include "net/backend_pool.hpp"

#include "net/await_error.hpp"
#include "net/endpoint.hpp"

#include <array>
#include <charconv>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A server that does not state how long it keeps idle connections.
constexpr core::duration default_keep_alive = std::chrono::seconds(4);
/// Part of the stated time after which a connection counts as closing.
constexpr double usable_part = 0.7;
/// Answers to earlier requests that may precede the expected one on a kept connection.
constexpr int max_stray_answers = 2;

// A server closes an idle connection at any time. Its FIN, or bytes that nobody asked for, show in
// the receive buffer, and such a connection must not carry a request.
bool looks_usable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

core::duration stated_keep_alive(const http_response& answer)
{
    const std::string_view text = header_value(answer.base(), "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t at = text.find(name);
    unsigned seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + name.size(), text.data() + text.size(), seconds).ec !=
            std::errc())
    {
        return default_keep_alive;
    }
    return std::chrono::seconds(seconds);
}

core::duration read_milliseconds(std::string_view text)
{
    constexpr double longest_ms = 3'600'000.0;
    double ms = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool good =
        error == std::errc() && end == text.data() + text.size() && ms > 0.0 && ms < longest_ms;
    return good ? core::from_seconds(ms / 1e3) : core::duration::zero();
}

void note_answer(backend_connection& connection, const http_response& answer)
{
    connection.last_answer = core::boot_clock_now();
    connection.keep_alive = stated_keep_alive(answer);
    // Bytes after the answer belong to no request.
    connection.reusable = answer.keep_alive() && connection.buffer.size() == 0;
}

} // namespace

const char* to_string(exchange_end value)
{
    constexpr std::array names = {"answered", "not_run",   "wrong_server",
                                  "broken",   "malformed", "timed_out"};
    return names.at(static_cast<std::size_t>(value));
}

backend_pool::backend_pool(asio::io_context& io, const http_profile& profile)
    : io_(io), profile_(profile)
{
}

backend_connection_pointer backend_pool::take_idle(const routing::backend& server,
                                                   core::time_point proven_since)
{
    const auto found = idle_.find(server.listed.id);
    if (found == idle_.end())
    {
        return nullptr;
    }
    const core::time_point now = core::boot_clock_now();
    auto& connections = found->second;
    while (!connections.empty())
    {
        backend_connection_pointer connection = connections.back();
        const core::duration idle = now - connection->last_answer;
        const bool proven = connection->last_answer >= proven_since;
        const bool expired =
            core::to_seconds(idle) > core::to_seconds(connection->keep_alive) * usable_part;
        if (!expired && !proven)
        {
            return nullptr;
        }
        connections.pop_back();
        if (!expired && looks_usable(connection->socket))
        {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<backend_connection_pointer> backend_pool::connect(const routing::backend& server)
{
    const auto endpoint = read_endpoint(server.listed.address);
    if (!endpoint)
    {
        co_return nullptr;
    }
    auto connection = std::make_shared<backend_connection>(io_);
    connection->timer.expires_after(options.connect_timeout);
    error_code error;
    co_await connection->socket.async_connect(*endpoint, into(error));
    connection->timer.clear();
    if (error)
    {
        co_return nullptr;
    }
    ++counters.connections;
    set_connection_options(connection->socket);
    co_return connection;
}

asio::awaitable<probe_result> backend_pool::probe(backend_connection_pointer connection,
                                                  std::string server_id, std::string path,
                                                  core::duration limit)
{
    ++counters.probes;
    connection->reusable = false;
    connection->timer.expires_after(limit);
    http_request request(http::verb::get, path, 11);
    request.set(http::field::host, server_id);
    error_code error;
    co_await http::async_write(connection->socket, request, into(error));
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_header_bytes);
    if (!error)
    {
        co_await http::async_read(connection->socket, connection->buffer, parser, into(error));
    }
    connection->timer.clear();
    probe_result out;
    if (error || !parser.is_done())
    {
        co_return out;
    }
    const http_response answer = parser.release();
    note_answer(*connection, answer);
    out.answered = true;
    out.healthy = answer.result_int() == 200;
    const std::string_view named = header_value(answer.base(), profile_.server_id);
    out.right_server = named.empty() || named == server_id;
    out.load =
        profile_.parse_load(header_value(answer.base(), profile_.load), connection->last_answer);
    out.warmup_left = read_milliseconds(header_value(answer.base(), profile_.warmup_left));
    connection->reusable = connection->reusable && out.right_server;
    co_return out;
}

exchange_end backend_pool::classify(const http_request& request, const http_response& answer) const
{
    if (answer.result() == http::status::misdirected_request)
    {
        return exchange_end::wrong_server;
    }
    const std::string_view not_run = header_value(answer.base(), profile_.not_run);
    if (!not_run.empty() && (profile_.not_run_value.empty() || not_run == profile_.not_run_value))
    {
        return exchange_end::not_run;
    }
    const bool success = answer.result_int() >= 200 && answer.result_int() < 300;
    const std::string_view echo = header_value(answer.base(), profile_.request_id);
    const bool echoed = echo == header_value(request.base(), profile_.request_id) ||
                        (echo.empty() && profile_.signature.empty());
    const bool signed_by_server =
        profile_.signature.empty() || !header_value(answer.base(), profile_.signature).empty();
    const bool encoded = !header_value(answer.base(), "Content-Encoding").empty();
    return success && (!echoed || !signed_by_server || encoded) ? exchange_end::malformed
                                                                : exchange_end::answered;
}

asio::awaitable<exchange_result> backend_pool::exchange(backend_connection_pointer connection,
                                                        const http_request& request,
                                                        core::time_point deadline)
{
    connection->reusable = false;
    connection->timer.expires_at(deadline);
    exchange_result out;
    error_code error;
    co_await http::async_write(connection->socket, request, into(error));
    const std::string_view id = header_value(request.base(), profile_.request_id);
    for (int strays = 0; !error && strays <= max_stray_answers; ++strays)
    {
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_answer_body_bytes);
        parser.skip(request.method() == http::verb::head);
        co_await http::async_read(connection->socket, connection->buffer, parser, into(error));
        if (error || !parser.is_done())
        {
            out.end = parser.is_header_done() ? exchange_end::malformed : exchange_end::broken;
            break;
        }
        const bool ends_with_connection = parser.need_eof();
        if (ends_with_connection && !profile_.unframed_answers)
        {
            out.end = exchange_end::malformed;
            break;
        }
        http_response answer = parser.release();
        const std::string_view echoed = header_value(answer.base(), profile_.request_id);
        // Interim answers, and late answers to an earlier request on this connection.
        if (answer.result_int() < 200 || (!echoed.empty() && echoed != id))
        {
            out.end = exchange_end::malformed;
            continue;
        }
        note_answer(*connection, answer);
        connection->reusable = connection->reusable && !ends_with_connection && strays == 0;
        out.end = classify(request, answer);
        out.answer = std::move(answer);
        break;
    }
    if (connection->timer.expired() && out.end != exchange_end::answered)
    {
        out.end = exchange_end::timed_out;
    }
    connection->timer.clear();
    co_return out;
}

void backend_pool::put_back(const routing::backend& server, backend_connection_pointer connection)
{
    const bool listed = server.state != routing::backend_state::gone;
    if (!connection || !connection->reusable || !listed || !connection->socket.is_open())
    {
        return;
    }
    auto& connections = idle_[server.listed.id];
    if (connections.size() < options.max_idle_per_server)
    {
        connections.push_back(std::move(connection));
    }
}

void backend_pool::close_unused(const routing::backend_set& set, core::time_point now)
{
    for (auto& [id, connections] : idle_)
    {
        std::erase_if(connections, [&](const backend_connection_pointer& connection)
                      { return now - connection->last_answer > connection->keep_alive; });
    }
    std::erase_if(idle_, [&](const auto& entry)
                  { return entry.second.empty() || !set.by_id.contains(entry.first); });
}

std::size_t backend_pool::idle_count() const
{
    std::size_t count = 0;
    for (const auto& [id, connections] : idle_)
    {
        count += connections.size();
    }
    return count;
}

} // namespace zinniaferry::net
