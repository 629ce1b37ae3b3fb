#include "net/http_client.hpp"

#include "net/await_error.hpp"
#include "net/endpoint.hpp"

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A response that has begun is read as long as bytes come at least this often: a slow link may
/// need longer than the timeout for a large one.
constexpr core::duration progress_timeout = std::chrono::milliseconds(500);
/// Longest time for reading a response after its timeout.
constexpr core::duration max_transfer_time = std::chrono::seconds(10);

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
    const core::time_point give_up_at = core::boot_clock_now() + timeout + max_transfer_time;
    while (!error && !parser.is_done())
    {
        const std::size_t received =
            co_await http::async_read_some(socket_, buffer_, parser, redirect_error_to(error));
        if (received > 0)
        {
            timer_.expires_at(std::min(give_up_at, core::boot_clock_now() + progress_timeout));
        }
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
