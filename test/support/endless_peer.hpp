/// Messages without an end, and a peer that sends one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <ostream>
#include <string>
#include <thread>

namespace zinniaferry::test_support
{

/// Bytes in which a message has no end.
struct endless_message
{
    std::string name;
    std::string prefix;
    std::string repeated;
};

inline void PrintTo(const endless_message& message, std::ostream* out)
{
    *out << message.name;
}

/// Far above every limit of a reader, and more than the socket buffers hold.
inline constexpr std::size_t max_endless_bytes = std::size_t{96} << 20U;

/// Sends the message until the other side closes or `max_endless_bytes` are sent. Returns the
/// number of bytes sent.
inline std::size_t send_endless(boost::asio::ip::tcp::socket& socket,
                                const endless_message& message)
{
    std::string block;
    while (block.size() < 64UL * 1024UL)
    {
        block += message.repeated;
    }
    boost::system::error_code error;
    std::size_t sent = boost::asio::write(socket, boost::asio::buffer(message.prefix), error);
    while (!error && sent < max_endless_bytes)
    {
        sent += boost::asio::write(socket, boost::asio::buffer(block), error);
    }
    return sent;
}

/// A loopback peer that accepts one connection and sends a message without an end on it.
class endless_peer
{
public:
    explicit endless_peer(endless_message message)
        : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this, message = std::move(message)] { serve(message); })
    {
    }
    ~endless_peer() { stop(); }
    endless_peer(const endless_peer&) = delete;
    endless_peer& operator=(const endless_peer&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Waits until the peer has ended, and returns the number of bytes that it could send.
    std::size_t bytes_sent()
    {
        stop();
        return sent_;
    }

private:
    void stop()
    {
        if (thread_.joinable())
        {
            // Unblocks a pending accept.
            ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
            thread_.join();
        }
    }

    void serve(const endless_message& message)
    {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket = acceptor_.accept(error);
        sent_ = error ? 0 : send_endless(socket, message);
    }

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t sent_ = 0;
    std::thread thread_;
};

/// Responses without an end in each part of a message.
inline std::vector<endless_message> endless_responses()
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {{"no_response", "", "x"},
            {"status_line", "HTTP/1.1 200 ", "x"},
            {"header_field", "HTTP/1.1 200 OK\r\nX-Long: ", "x"},
            {"header_fields", "HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
            {"interim_responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"other_responses", "",
             "HTTP/1.1 200 OK\r\nX-Zinnia-Request-Id: x\r\nContent-Length: 0\r\n\r\n"},
            {"body_to_the_end", "HTTP/1.1 200 OK\r\n\r\n", "x"},
            {"body_of_huge_length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
            {"chunks", chunked, "400\r\n" + std::string(0x400, 'x') + "\r\n"},
            {"chunk_size", chunked, "0"},
            {"chunk_extension", chunked + "1;", "x"},
            {"trailer_field", chunked + "0\r\nX-Long: ", "x"},
            {"trailer_fields", chunked + "0\r\n", "X-Many: 1\r\n"}};
}

} // namespace zinniaferry::test_support
