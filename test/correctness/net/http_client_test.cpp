#include "net/http_client.hpp"

#include "support/loopback.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
namespace asio = boost::asio;

/// Answers one request with the parts, each after a pause.
asio::awaitable<void> serve_slowly(tcp::acceptor& acceptor, std::vector<std::string> parts,
                                   core::duration pause)
{
    tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
    asio::streambuf request;
    co_await asio::async_read_until(socket, request, "\r\n\r\n", asio::use_awaitable);
    asio::steady_timer timer(acceptor.get_executor());
    for (const std::string& part : parts)
    {
        timer.expires_after(pause);
        co_await timer.async_wait(asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(part), asio::use_awaitable);
    }
    timer.expires_after(1h);
    co_await timer.async_wait(asio::use_awaitable);
}

std::optional<http_response> get_in_parts(std::vector<std::string> parts)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
    asio::co_spawn(io, serve_slowly(acceptor, std::move(parts), 200ms), asio::detached);
    http_client client(io, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), 1000);
    bool done = false;
    std::optional<http_response> out;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            out = co_await client.get("/x", 500ms);
            done = true;
        },
        asio::detached);
    EXPECT_TRUE(test::run_until(io, [&] { return done; }));
    return out;
}

// Guards against a large response that can never be read over a slow link: each try was given up
// although bytes kept coming, and the next one began anew.
TEST(http_client, a_response_that_keeps_coming_is_read_beyond_the_timeout)
{
    const auto response =
        get_in_parts({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "a", "b", "c", "d"});
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), "abcd");
}

// Guards against a client that waits for ever for the rest of a response.
TEST(http_client, a_response_that_stops_is_given_up)
{
    EXPECT_FALSE(get_in_parts({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "a"}));
    EXPECT_FALSE(get_in_parts({}));
}

} // namespace
} // namespace zinniaferry::net
