#include "net/status_listener.hpp"

#include "net/backend_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A client that neither sends nor reads for so long is closed.
constexpr core::duration client_timeout = std::chrono::seconds(30);
constexpr core::duration accept_pause = std::chrono::milliseconds(50);

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

asio::awaitable<void> serve_client(asio::ip::tcp::socket socket, status_handler handler)
{
    deadline_timer timer(socket);
    boost::beast::flat_buffer buffer;
    bool again = true;
    while (again)
    {
        timer.expires_after(client_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_header_bytes);
        error_code error;
        co_await http::async_read(socket, buffer, parser, into(error));
        if (error)
        {
            co_return;
        }
        const http_request request = parser.release();
        const status_request asked = {.path = {request.target().data(), request.target().size()},
                                      .authorization =
                                          header_value(request.base(), "Authorization")};
        status_answer answer = request.method() == http::verb::get
                                   ? handler(asked)
                                   : status_answer{405, "text/plain", "only GET\n"};
        http_response response(http::int_to_status(answer.status), request.version());
        response.set(http::field::content_type, answer.content_type);
        response.keep_alive(request.keep_alive());
        response.body() = std::move(answer.body);
        response.prepare_payload();
        co_await http::async_write(socket, response, into(error));
        again = !error && response.keep_alive();
    }
}

} // namespace

asio::awaitable<void> serve_status(asio::ip::tcp::acceptor& acceptor, status_handler handler)
{
    while (acceptor.is_open())
    {
        error_code error;
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(into(error));
        if (!error)
        {
            set_connection_options(socket);
            asio::co_spawn(acceptor.get_executor(), serve_client(std::move(socket), handler),
                           asio::detached);
        }
        else if (error != asio::error::operation_aborted)
        {
            asio::steady_timer pause(acceptor.get_executor(), accept_pause);
            co_await pause.async_wait(into(error));
        }
    }
}

} // namespace zinniaferry::net
