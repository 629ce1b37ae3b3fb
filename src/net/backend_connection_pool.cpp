#include "net/backend_connection_pool.hpp"

#include "net/await_error.hpp"
#include "net/endpoint.hpp"
#include "net/read_body.hpp"

#include <array>
#include <charconv>

#include <sys/socket.h>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// Used for a server that does not state its keep-alive timeout.
constexpr core::duration default_keep_alive_timeout = std::chrono::seconds(4);
/// Fraction of the keep-alive timeout up to which an idle connection is used. Later the server may
/// be closing it.
constexpr double usable_keep_alive_fraction = 0.7;
/// Interim responses, and late responses to earlier requests, that may precede the expected
/// response.
constexpr int max_stray_responses = 2;

// A server may close an idle connection at any time. A FIN or unexpected bytes in the receive
// buffer show that the connection must not be used for a request.
bool looks_usable(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Reads the timeout of the Keep-Alive header.
core::duration parse_keep_alive_timeout(const http_response& response)
{
    const std::string_view text = header_value(response.base(), "Keep-Alive");
    constexpr std::string_view name = "timeout=";
    const std::size_t position = text.find(name);
    unsigned seconds = 0;
    if (position == std::string_view::npos ||
        std::from_chars(text.data() + position + name.size(), text.data() + text.size(), seconds)
                .ec != std::errc())
    {
        return default_keep_alive_timeout;
    }
    return std::chrono::seconds(seconds);
}

// Returns zero for text that is not a number of milliseconds in (0, max_ms).
core::duration parse_fractional_milliseconds(std::string_view text)
{
    constexpr double max_ms = 3'600'000.0;
    double ms = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    const bool is_valid =
        error == std::errc() && end == text.data() + text.size() && ms > 0.0 && ms < max_ms;
    return is_valid ? core::from_seconds(ms / 1e3) : core::duration::zero();
}

// Updates the connection's state after a complete response.
void record_response(backend_connection& connection, const http_response& response)
{
    connection.last_response_at = core::boot_clock_now();
    connection.keep_alive_timeout = parse_keep_alive_timeout(response);
    // Bytes after the response belong to no request, so the connection must not be used again.
    connection.reusable = response.keep_alive() && connection.buffer.size() == 0;
}

} // namespace

const char* to_string(probe_purpose value)
{
    constexpr std::array names = {"selection", "trial"};
    return names.at(static_cast<std::size_t>(value));
}

const char* to_string(exchange_outcome value)
{
    constexpr std::array names = {"answered", "not_run",   "wrong_server",
                                  "broken",   "malformed", "timed_out"};
    return names.at(static_cast<std::size_t>(value));
}

backend_connection_pool::backend_connection_pool(asio::io_context& io, const http_profile& profile)
    : io_(io), profile_(profile)
{
}

backend_connection_pointer backend_connection_pool::take_idle(const routing::backend& server,
                                                              core::time_point answered_since)
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
        const core::duration idle = now - connection->last_response_at;
        const bool answered_recently = connection->last_response_at >= answered_since;
        const bool expired =
            core::to_seconds(idle) >
            core::to_seconds(connection->keep_alive_timeout) * usable_keep_alive_fraction;
        if (!expired && !answered_recently)
        {
            return nullptr;
        }
        connections.pop_back();
        const bool same_server = connection->server.incarnation == server.listed.incarnation &&
                                 connection->address == server.listed.address;
        if (!expired && same_server && looks_usable(connection->socket))
        {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<backend_connection_pointer>
backend_connection_pool::connect(const routing::backend& server)
{
    const auto endpoint = parse_endpoint(server.listed.address);
    if (!endpoint)
    {
        co_return nullptr;
    }
    auto connection = std::make_shared<backend_connection>(io_);
    connection->server = {server.listed.id, server.listed.incarnation};
    connection->address = server.listed.address;
    connection->timer.expires_after(options.connect_timeout);
    error_code error;
    co_await connection->socket.async_connect(*endpoint, redirect_error_to(error));
    connection->timer.clear();
    if (error)
    {
        co_return nullptr;
    }
    ++counters.connections;
    set_connection_options(connection->socket);
    co_return connection;
}

asio::awaitable<probe_result> backend_connection_pool::probe(backend_connection_pointer connection,
                                                             probe_request wanted)
{
    ++counters.probes.at(static_cast<std::size_t>(wanted.purpose));
    connection->reusable = false;
    connection->timer.expires_after(wanted.timeout);
    http_request request(http::verb::get, wanted.path, 11);
    request.set(http::field::host, wanted.server_id);
    error_code error;
    co_await http::async_write(connection->socket, request, redirect_error_to(error));
    http::response_parser<http::string_body> parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_header_bytes);
    if (!error)
    {
        co_await http::async_read(connection->socket, connection->buffer, parser,
                                  redirect_error_to(error));
    }
    connection->timer.clear();
    if (parser.is_header_done())
    {
        report_notice(*connection, parser.get(),
                      wanted.purpose == probe_purpose::trial ? routing::notice_source::trial_probe
                                                             : routing::notice_source::load_probe);
    }
    probe_result out;
    if (error || !parser.is_done())
    {
        co_return out;
    }
    const http_response response = parser.release();
    // A response with a request id belongs to an earlier request on this connection, and the
    // probe's own response would be taken for that to the next request. The same holds after an
    // interim response.
    if (!header_value(response.base(), profile_.request_id_header).empty() ||
        !is_final_status(response.result_int()))
    {
        co_return out;
    }
    record_response(*connection, response);
    out.answered = true;
    out.healthy = response.result_int() == 200;
    const std::string_view stated_id = header_value(response.base(), profile_.server_id_header);
    out.is_expected_server = stated_id.empty() || stated_id == wanted.server_id;
    out.load = profile_.parse_load(header_value(response.base(), profile_.load_header),
                                   connection->last_response_at);
    out.warmup_left =
        parse_fractional_milliseconds(header_value(response.base(), profile_.warmup_left_header));
    connection->reusable = connection->reusable && out.is_expected_server;
    co_return out;
}

void backend_connection_pool::report_notice(const backend_connection& connection,
                                            const http::response_header<>& response,
                                            routing::notice_source source) const
{
    const std::string_view stated_id = header_value(response, profile_.server_id_header);
    const bool is_of_other_server = response.result() == http::status::misdirected_request ||
                                    (!stated_id.empty() && stated_id != connection.server.id);
    if (!on_notice || is_of_other_server)
    {
        return;
    }
    const parsed_notice parsed = parse_notice(response, profile_);
    if (parsed.notice.leaving || parsed.notice.retry_after || !parsed.ignored.empty())
    {
        on_notice(connection.server, parsed, source);
    }
}

exchange_outcome backend_connection_pool::classify(const forwarded_request& request,
                                                   const http_response& response) const
{
    const std::string_view echoed_id = header_value(response.base(), profile_.request_id_header);
    const bool id_matches = echoed_id == header_value(request.base(), profile_.request_id_header) ||
                            (echoed_id.empty() && profile_.signature_header.empty());
    // Whatever the response states, it may be about another request.
    if (!id_matches)
    {
        return exchange_outcome::malformed;
    }
    if (response.result() == http::status::misdirected_request)
    {
        return exchange_outcome::wrong_server;
    }
    const std::string_view not_run = header_value(response.base(), profile_.not_run_header);
    if (!not_run.empty() && (profile_.not_run_value.empty() || not_run == profile_.not_run_value))
    {
        return exchange_outcome::not_run;
    }
    const bool success = response.result_int() >= 200 && response.result_int() < 300;
    const bool signed_by_server = profile_.signature_header.empty() ||
                                  !header_value(response.base(), profile_.signature_header).empty();
    const bool encoded = !header_value(response.base(), "Content-Encoding").empty();
    return success && (!signed_by_server || encoded) ? exchange_outcome::malformed
                                                     : exchange_outcome::answered;
}

asio::awaitable<exchange_result>
backend_connection_pool::exchange(backend_connection_pointer connection,
                                  const forwarded_request& request, core::time_point deadline)
{
    connection->reusable = false;
    connection->timer.expires_at(deadline);
    exchange_result out;
    error_code error;
    co_await http::async_write(connection->socket, request, redirect_error_to(error));
    const std::string_view request_id = header_value(request.base(), profile_.request_id_header);
    for (int strays = 0; !error && strays <= max_stray_responses; ++strays)
    {
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_response_body_bytes);
        parser.skip(request.method() == http::verb::head);
        co_await http::async_read_header(connection->socket, connection->buffer, parser,
                                         redirect_error_to(error));
        if (!error && !parser.is_done())
        {
            out.room = bodies ? held_body(bodies) : held_body();
            const room_wait wait = {.longest = deadline - core::boot_clock_now(),
                                    .deadline = deadline};
            error =
                co_await read_body(connection->socket, connection->buffer, parser, out.room, wait);
        }
        if (parser.is_header_done())
        {
            const std::string_view id = header_value(parser.get(), profile_.request_id_header);
            const bool is_late = (!id.empty() && id != request_id) || !connection->socket.is_open();
            report_notice(*connection, parser.get(),
                          is_late ? routing::notice_source::late_response
                                  : routing::notice_source::request);
        }
        if (error || !parser.is_done())
        {
            out.outcome =
                parser.is_header_done() ? exchange_outcome::malformed : exchange_outcome::broken;
            break;
        }
        const bool ends_with_connection = parser.need_eof();
        if (ends_with_connection && !profile_.allow_unframed_responses)
        {
            out.outcome = exchange_outcome::malformed;
            break;
        }
        http_response response = parser.release();
        const std::string_view echoed_id =
            header_value(response.base(), profile_.request_id_header);
        // Skip interim responses, and late responses to an earlier request on this connection.
        if (is_interim_status(response.result_int()) ||
            (!echoed_id.empty() && echoed_id != request_id))
        {
            out.outcome = exchange_outcome::malformed;
            continue;
        }
        if (!is_final_status(response.result_int()))
        {
            out.outcome = exchange_outcome::malformed;
            break;
        }
        record_response(*connection, response);
        connection->reusable = connection->reusable && !ends_with_connection && strays == 0;
        out.outcome = classify(request, response);
        out.response = std::move(response);
        break;
    }
    if (connection->timer.expired() && out.outcome != exchange_outcome::answered)
    {
        out.outcome = exchange_outcome::timed_out;
    }
    connection->timer.clear();
    co_return out;
}

void backend_connection_pool::put_back(const routing::backend& server,
                                       backend_connection_pointer connection)
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

void backend_connection_pool::close_stale(const routing::backend_set& set, core::time_point now)
{
    for (auto& [id, connections] : idle_)
    {
        std::erase_if(
            connections, [&](const backend_connection_pointer& connection)
            { return now - connection->last_response_at > connection->keep_alive_timeout; });
    }
    std::erase_if(idle_, [&](const auto& entry)
                  { return entry.second.empty() || !set.by_id.contains(entry.first); });
}

std::size_t backend_connection_pool::idle_count() const
{
    std::size_t count = 0;
    for (const auto& [id, connections] : idle_)
    {
        count += connections.size();
    }
    return count;
}

} // namespace zinniaferry::net
