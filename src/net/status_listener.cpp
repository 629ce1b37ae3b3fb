#include "net/status_listener.hpp"

#include "net/accept_loop.hpp"
#include "net/deadline_timer.hpp"
#include "net/message_rules.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// Time for a client to send a request and read the response; then the connection is closed.
constexpr core::duration client_timeout = std::chrono::seconds(30);

asio::awaitable<void> serve_client(asio::ip::tcp::socket socket, status_handler handler)
{
    deadline_timer timer(socket);
    boost::beast::flat_buffer buffer(max_unparsed_bytes);
    bool keep_alive_connection = true;
    while (keep_alive_connection)
    {
        timer.expires_after(client_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_header_bytes);
        error_code error;
        co_await http::async_read(socket, buffer, parser, redirect_error_to(error));
        if (error)
        {
            co_return;
        }
        const http_request request = parser.release();
        const status_request status_query = {
            .path = {request.target().data(), request.target().size()},
            .authorization = header_value(request.base(), "Authorization")};
        status_response result = request.method() == http::verb::get
                                     ? handler(status_query)
                                     : status_response{405, "text/plain", "only GET\n"};
        http_response response(http::int_to_status(result.status), request.version());
        response.set(http::field::content_type, result.content_type);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(result.body);
        response.prepare_payload();
        co_await http::async_write(socket, response, redirect_error_to(error));
        keep_alive_connection = !error && response.keep_alive();
    }
}

} // namespace

asio::awaitable<void> serve_status(asio::ip::tcp::acceptor& acceptor, event_log& log,
                                   status_handler handler)
{
    return accept_connections(
        acceptor,
        [handler = std::move(handler)](asio::ip::tcp::socket socket)
        { return serve_client(std::move(socket), handler); },
        [&log](const error_code& error) {
            log.write("status", "accept_failed", {{"error", error.message()}});
        });
}

} // namespace zinniaferry::net
