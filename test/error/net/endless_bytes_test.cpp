#include "net/backend_connection_pool.hpp"
#include "net/http_client.hpp"
#include "net/http_get.hpp"

#include "support/endless_peer.hpp"
#include "support/front_end.hpp"

#include <gtest/gtest.h>

// Guards against a daemon that reads bytes without an end until its memory is used up or its
// deadline passes. Each reader must close the connection after a bounded number of bytes.
namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;
using test_support::endless_message;
using test_support::endless_peer;

/// The largest body limit of the readers, and what the sockets of both sides may hold.
constexpr std::size_t max_accepted_bytes = max_response_body_bytes + (std::size_t{16} << 20U);
/// Memory that a reader may use for anything but a body.
constexpr std::size_t max_unbuffered_bytes = std::size_t{16} << 20U;

class endless_response : public testing::TestWithParam<endless_message>
{
protected:
    template <class Result, class Call>
    Result run(Call call)
    {
        std::optional<Result> out;
        asio::co_spawn(
            io, [&]() -> asio::awaitable<void> { out = co_await call(); }, asio::detached);
        // Not run(), which would wait for timers that are no longer needed.
        while (!out)
        {
            io.run_one();
        }
        return std::move(*out);
    }

    backend_connection_pointer connect(backend_connection_pool& pool)
    {
        const routing::backend server = {.listed = {.id = "b-1", .address = peer.address()}};
        return run<backend_connection_pointer>([&] { return pool.connect(server); });
    }

    // Bytes that are not part of a body have far lower limits.
    std::size_t allowed_bytes() const
    {
        return GetParam().name.starts_with("body") || GetParam().name == "chunks"
                   ? max_accepted_bytes
                   : max_unbuffered_bytes;
    }

    asio::io_context io;
    http_profile profile;
    endless_peer peer{GetParam()};
};

TEST_P(endless_response, to_a_request_ends_the_connection)
{
    backend_connection_pool pool(io, profile);
    forwarded_request request(http::verb::get, "/", 11);
    request.set(profile.request_id_header, "r-1");
    backend_connection_pointer connection = connect(pool);
    ASSERT_TRUE(connection);
    const auto result = run<exchange_result>(
        [&] { return pool.exchange(connection, request, core::boot_clock_now() + 20s); });
    EXPECT_FALSE(connection->reusable);
    EXPECT_TRUE(result.outcome == exchange_outcome::malformed ||
                result.outcome == exchange_outcome::broken)
        << to_string(result.outcome);
    connection.reset();
    EXPECT_LE(peer.bytes_sent(), allowed_bytes());
}

TEST_P(endless_response, to_a_probe_ends_the_connection)
{
    backend_connection_pool pool(io, profile);
    backend_connection_pointer connection = connect(pool);
    ASSERT_TRUE(connection);
    const probe_request probe = {.server_id = "b-1", .path = "/health", .timeout = 20s};
    const auto result = run<probe_result>([&] { return pool.probe(connection, probe); });
    EXPECT_FALSE(connection->reusable && result.answered && result.healthy);
    connection.reset();
    EXPECT_LE(peer.bytes_sent(), max_unbuffered_bytes);
}

TEST_P(endless_response, to_the_http_client_ends_the_connection)
{
    http_client client(io, peer.address(), max_response_body_bytes);
    run<std::optional<http_response>>([&] { return client.get("/", 20s); });
    client.close();
    EXPECT_LE(peer.bytes_sent(), allowed_bytes());
}

TEST_P(endless_response, to_an_operators_command_ends_the_connection)
{
    const auto failed = boost::leaf::try_handle_all(
        [&]() -> core::result<bool>
        {
            BOOST_LEAF_CHECK(http_get({.address = peer.address(), .target = "/", .timeout = 20s}));
            return false;
        },
        [](const http_error& error) { return error.why != http_error::reason::timeout; },
        [] { return false; });
    // The first complete response counts, and the rest is discarded with the connection.
    EXPECT_TRUE(failed || GetParam().name.ends_with("responses"));
    EXPECT_LE(peer.bytes_sent(), allowed_bytes());
}

INSTANTIATE_TEST_SUITE_P(parts, endless_response,
                         testing::ValuesIn(test_support::endless_responses()),
                         [](const auto& info) { return info.param.name; });

// The same for a caller's requests.
TEST(endless_request, ends_the_connection)
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<endless_message> requests = {
        {"request_line", "GET /", "x"},
        {"header_fields", "GET / HTTP/1.1\r\n", "X-Many: 1\r\n"},
        {"chunks", chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n"},
        {"chunk_extension", chunked + "1;", "x"},
        {"trailer_field", chunked + "0\r\nX-Long: ", "x"}};
    test_support::front_end front(test_support::one_server_configuration("127.0.0.1:1"), {},
                                  config::caller_limits{.header_timeout = 20s});
    for (const endless_message& request : requests)
    {
        SCOPED_TRACE(request.name);
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect(front.address());
        EXPECT_LE(test_support::send_endless(socket, request), max_unbuffered_bytes);
    }
}

} // namespace
} // namespace zinniaferry::net
