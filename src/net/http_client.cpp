#include "net/http_client.hpp"

#include "net/await_error.hpp"
#include "net/endpoint.hpp"

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

} // namespace

http_client::http_client(asio::io_context& io, std::string address, std::uint64_t max_body_bytes)
    : address_(std::move(address)), max_body_bytes_(max_body_bytes), socket_(io), timer_(socket_)
{
}

asio::awaitable<bool> http_client::ensure_connected()
{
    if (socket_.is_open())
    {
        co_return true;
    }
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint)
    {
        co_return false;
    }
    error_code error;
    buffer_.clear();
    co_await socket_.async_connect(*endpoint, redirect_error_to(error));
    if (error)
    {
        close();
        co_return false;
    }
    set_connection_options(socket_);
    co_return true;
}

asio::awaitable<std::optional<http_response>> http_client::get(std::string target,
                                                               core::duration timeout)
{
    timer_.expires_after(timeout);
    if (!co_await ensure_connected())
    {
        timer_.clear();
        co_return std::nullopt;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address_);
    error_code error;
    co_await http::async_write(socket_, request, redirect_error_to(error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes_);
    if (!error)
    {
        co_await http::async_read(socket_, buffer_, parser, redirect_error_to(error));
    }
    timer_.clear();
    if (error || parser.need_eof())
    {
        close();
        co_return std::nullopt;
    }
    if (!parser.get().keep_alive())
    {
        close();
    }
    co_return parser.release();
}

void http_client::close()
{
    error_code ignored;
    socket_.close(ignored);
}

} // namespace zinniaferry::net
