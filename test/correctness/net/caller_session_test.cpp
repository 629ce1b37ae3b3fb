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

const std::string complete_response = "HTTP/1.1 200 OK\r\n" +
                                      std::string(test_support::healthy_load_header) +
                                      "Content-Length: 5\r\n\r\nhello";
constexpr std::string_view request = "GET /open HTTP/1.1\r\nHost: x\r\n\r\n";

/// A caller with a keep-alive connection.
struct caller
{
    explicit caller(const front_end& front) : socket(io) { socket.connect(front.address()); }

    void send() { asio::write(socket, asio::buffer(request.data(), request.size())); }

    /// Reads one response, or what arrives until the connection ends.
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
    raw_server server{complete_response};
    front_end front{one_server_configuration(server.address())};
};

// Guards against a stopping daemon that discards a request. It can happen when the request arrives
// on an idle connection just before idle connections are closed.
TEST_F(stopping_test, a_request_that_has_arrived_is_served_although_idle_connections_are_closed)
{
    caller idle_caller(front);
    idle_caller.send();
    EXPECT_NE(idle_caller.receive().find("hello"), std::string::npos);
    front.run_on_io_thread(
        [&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        {
            // This blocks the front end's thread, so it has not read the bytes yet.
            idle_caller.send();
            close_idle_sessions(sessions);
        });
    EXPECT_NE(idle_caller.receive().find("hello"), std::string::npos);
}

// Guards against a stopping daemon that resets connections: closing the acceptor resets those in
// the listen backlog.
TEST_F(stopping_test, a_connection_that_waits_to_be_accepted_is_served)
{
    std::unique_ptr<caller> waiting_caller;
    front.run_on_io_thread(
        [&](caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
        {
            waiting_caller = std::make_unique<caller>(front);
            waiting_caller->send();
            EXPECT_FALSE(stop_accepting(sessions, acceptor)) << "a connection was waiting";
        });
    EXPECT_NE(waiting_caller->receive().find("hello"), std::string::npos);
    waiting_caller.reset();
    bool stopped = false;
    for (int tries = 0; tries < 1000 && !stopped; ++tries)
    {
        front.run_on_io_thread(
            [&](caller_sessions& sessions, asio::ip::tcp::acceptor& acceptor)
            { stopped = sessions.open_count == 0 && stop_accepting(sessions, acceptor); });
    }
    EXPECT_TRUE(stopped);
}

// Guards against a connection that stays open after a response which states that it closes. The
// daemon kept it until its idle timeout, and dropped what arrived on it.
TEST_F(stopping_test, a_connection_ends_after_the_response_that_states_it)
{
    caller last_caller(front);
    constexpr std::string_view last = "GET /open HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    asio::write(last_caller.socket, asio::buffer(last.data(), last.size()));
    EXPECT_NE(last_caller.receive().find("hello"), std::string::npos);
    boost::system::error_code ended;
    std::array<char, 16> rest;
    last_caller.socket.async_read_some(asio::buffer(rest),
                                       [&](const boost::system::error_code& error, std::size_t)
                                       { ended = error; });
    last_caller.io.run_for(std::chrono::seconds(5));
    EXPECT_EQ(ended, asio::error::eof);
}

} // namespace
} // namespace zinniaferry::net
