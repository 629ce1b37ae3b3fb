/// A loopback HTTP server for tests that returns a prepared response for each request target.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <map>
#include <string>
#include <thread>
#include <utility>

namespace zinniaferry::test
{

/// Serves `connections` connections in a thread of its own, one at a time with one request each,
/// and then ends by itself. `responses` maps a request target to the whole response; a target that
/// is missing or has an empty response is left unanswered until the client closes.
class canned_server
{
public:
    canned_server(std::map<std::string, std::string> responses, int connections)
        : acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_(
              [this, responses = std::move(responses), connections]
              {
                  for (int i = 0; i < connections; ++i)
                  {
                      serve_one(responses);
                  }
              })
    {
    }

    ~canned_server() { stop(); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Stops accepting, waits until the current connection is served, and returns all received
    /// requests as one text.
    std::string requests()
    {
        stop();
        return received_;
    }

private:
    // Shutting down the listening socket unblocks a pending accept, so that a test that sends fewer
    // requests than `connections` fails instead of hanging.
    void stop()
    {
        if (thread_.joinable())
        {
            ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
            thread_.join();
        }
    }

    void serve_one(const std::map<std::string, std::string>& responses)
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket = acceptor_.accept(error);
        if (error)
        {
            return;
        }
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
        const std::string request(static_cast<const char*>(buffer.data().data()), buffer.size());
        received_ += request;
        const std::size_t start = request.find(' ') + 1;
        const auto found = responses.find(request.substr(start, request.find(' ', start) - start));
        if (found == responses.end() || found->second.empty())
        {
            char byte = 0;
            socket.read_some(boost::asio::buffer(&byte, 1), error);
            return;
        }
        boost::asio::write(socket, boost::asio::buffer(found->second), error);
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string received_;
    std::thread thread_;
};

/// Returns a complete HTTP/1.1 response that closes the connection. `status` is code and reason.
inline std::string http_response_text(const std::string& body, const std::string& status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace zinniaferry::test
