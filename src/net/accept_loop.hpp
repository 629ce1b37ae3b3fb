/// Accept loop of a listener. Each connection is served in a coroutine of its own.
#pragma once

#include "core/time.hpp"
#include "net/await_error.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace zinniaferry::net
{

/// Delay after a failed accept. If descriptors or memory are exhausted, an immediate retry would
/// spin.
inline constexpr core::duration accept_retry_delay = std::chrono::milliseconds(50);

/// Sets the options of an accepted connection and starts `serve`, the coroutine that serves it.
template <class Serve>
void start_serving(asio::ip::tcp::acceptor& acceptor, asio::ip::tcp::socket socket, Serve& serve)
{
    set_connection_options(socket);
    asio::co_spawn(acceptor.get_executor(), serve(std::move(socket)), asio::detached);
}

/// Accepts connections until the acceptor is closed. `serve` takes a socket and returns the
/// coroutine that serves it; `on_error` is called with each error of accept. Precondition: the
/// acceptor outlives the operation. Thread safety: the acceptor's executor only.
template <class Serve, class OnError>
asio::awaitable<void> accept_connections(asio::ip::tcp::acceptor& acceptor, Serve serve,
                                         OnError on_error)
{
    while (acceptor.is_open())
    {
        boost::system::error_code error;
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(redirect_error_to(error));
        if (!error)
        {
            start_serving(acceptor, std::move(socket), serve);
        }
        else if (error != asio::error::operation_aborted)
        {
            on_error(error);
            asio::steady_timer pause(acceptor.get_executor(), accept_retry_delay);
            co_await pause.async_wait(redirect_error_to(error));
        }
    }
}

} // namespace zinniaferry::net
