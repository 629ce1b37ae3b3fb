#include "support/front_end.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

namespace asio = boost::asio;
using test_support::front_end;
using test_support::one_server_configuration;
using test_support::raw_server;

const std::string whole_answer = "HTTP/1.1 200 OK\r\n" +
                                 std::string(test_support::healthy_load_header) +
                                 "Content-Length: 5\r\n\r\nhello";
constexpr std::string_view request = "GET /open HTTP/1.1\r\nHost: x\r\n\r\n";

/// A caller that keeps its connection.
struct caller
{
    explicit caller(const front_end& front) : socket(io) { socket.connect(front.address()); }

    void send() { asio::write(socket, asio::buffer(request.data(), request.size())); }

    /// Reads one answer, or what there is until the connection ends.
    std::string receive()
    {
        std::string out;
        boost::system::error_code error;
        while (!error && out.find("hello") == std::string::npos)
        {
            std::array<char, 1024> chunk;
            const std::size_t size = socket.read_some(asio::buffer(chunk), error);
            out.append(chunk.data(), size);
        }
        return out;
    }

    asio::io_context io;
    asio::ip::tcp::socket socket;
};

struct stopping_test : testing::Test
{
    raw_server server{whole_answer};
    front_end front{one_server_configuration(server.address())};
};

// Guards against a stop that discards a request which has arrived on an idle connection.
TEST_F(stopping_test, a_request_that_has_arrived_is_served_although_idle_connections_are_closed)
{
    caller kept(front);
    kept.send();
    EXPECT_NE(kept.receive().find("hello"), std::string::npos);
    front.run_on_io_thread(
        [&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        {
            // The front end's thread is busy here, so it has not seen the bytes yet.
            kept.send();
            close_idle_sessions(sessions);
        });
    EXPECT_NE(kept.receive().find("hello"), std::string::npos);
}

// Guards against a stop that resets connections which wait to be accepted.
TEST_F(stopping_test, a_connection_that_waits_to_be_accepted_is_served)
{
    std::unique_ptr<caller> late;
    front.run_on_io_thread(
        [&](caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
        {
            late = std::make_unique<caller>(front);
            late->send();
            EXPECT_FALSE(stop_accepting(sessions, acceptor)) << "a connection was waiting";
        });
    EXPECT_NE(late->receive().find("hello"), std::string::npos);
    late.reset();
    bool stopped = false;
    for (int tries = 0; tries < 1000 && !stopped; ++tries)
    {
        front.run_on_io_thread(
            [&](caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
            { stopped = sessions.open == 0 && stop_accepting(sessions, acceptor); });
    }
    EXPECT_TRUE(stopped);
}

} // namespace
} // namespace zinniaferry::net
