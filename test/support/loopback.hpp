/// Helpers for tests of the stand-ins and the load generator: direct calls of request handlers, and
/// loopback servers on ports that the system chooses.
#pragma once

#include "stand_in/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace zinniaferry::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// Longest wait for an expected event; a test that reaches it fails.
inline constexpr auto wait_timeout = std::chrono::seconds(30);

inline stand_in::http_request
make_request(std::string method, std::string path,
             std::map<std::string, std::string, std::less<>> query = {})
{
    stand_in::http_request request{.method = std::move(method), .path = std::move(path)};
    request.target = request.path;
    request.query = std::move(query);
    return request;
}

/// Starts a handler without waiting. The returned value is set when the handler has responded; the
/// context must be run for that.
inline std::shared_ptr<std::optional<stand_in::http_response>>
start(asio::io_context& context, const stand_in::http_handler& handler,
      stand_in::http_request request)
{
    auto result = std::make_shared<std::optional<stand_in::http_response>>();
    asio::co_spawn(context, handler(std::move(request)),
                   [result](const std::exception_ptr&, stand_in::http_response reply)
                   { *result = std::move(reply); });
    return result;
}

/// Runs the context until the condition holds. Returns false when it does not within
/// `wait_timeout`.
template <class Condition>
bool run_until(asio::io_context& context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + wait_timeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
    {
        context.restart();
        context.run_one_for(std::chrono::milliseconds(1));
    }
    return condition();
}

/// Runs a handler to its end. Returns a reply with status 0 if it has not responded within
/// `wait_timeout`.
inline stand_in::http_response get_response(asio::io_context& context,
                                            const stand_in::http_handler& handler,
                                            stand_in::http_request request)
{
    const auto result = start(context, handler, std::move(request));
    run_until(context, [&] { return result->has_value(); });
    return result->value_or(stand_in::http_response{.status = 0});
}

/// Returns the value of a header, or an empty text. The name is case-sensitive.
inline std::string header(const stand_in::http_response& reply, std::string_view name)
{
    for (const auto& [key, value] : reply.headers)
    {
        if (key == name)
        {
            return value;
        }
    }
    return {};
}

/// Serves `handler` on a loopback port while the context runs. It must not outlive the context.
struct loopback_server
{
    loopback_server(asio::io_context& context, stand_in::http_handler handler,
                    stand_in::connection_set& connections)
        : acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(context, stand_in::serve(acceptor, std::move(handler), connections),
                       asio::detached);
    }

    tcp::acceptor acceptor;
};

/// Connects the socket and writes `text`; blocks until it is written.
inline void send_text(tcp::socket& socket, const tcp::endpoint& endpoint, const std::string& text)
{
    socket.connect(endpoint);
    asio::write(socket, asio::buffer(text));
}

} // namespace zinniaferry::test
