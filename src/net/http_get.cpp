#include "net/http_get.hpp"

#include "net/endpoint.hpp"
#include "net/message_rules.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/fmt/fmt.h>

#include <optional>

namespace zinniaferry::net
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using reason = http_error::reason;

// State of one request. Each step starts the next one on completion: connect, send, read.
struct exchange
{
    const http_get_options& options;
    asio::io_context context{1};
    beast::tcp_stream stream{context};
    beast::flat_buffer buffer{max_unparsed_bytes};
    http::request<http::empty_body> request;
    http::response_parser<http::string_body> parser;
    beast::error_code error = make_error_code(beast::error::timeout);
};

void read_response(exchange& state)
{
    http::async_read(state.stream, state.buffer, state.parser,
                     [&state](beast::error_code error, std::size_t) { state.error = error; });
}

void send_request(exchange& state)
{
    http::async_write(state.stream, state.request,
                      [&state](beast::error_code error, std::size_t)
                      {
                          state.error = error;
                          if (!error)
                          {
                              read_response(state);
                          }
                      });
}

void connect(exchange& state, const asio::ip::tcp::endpoint& endpoint)
{
    state.stream.async_connect(endpoint,
                               [&state](beast::error_code error)
                               {
                                   state.error = error;
                                   if (!error)
                                   {
                                       send_request(state);
                                   }
                               });
}

reason reason_of(beast::error_code error)
{
    if (error == beast::error::timeout)
    {
        return reason::timeout;
    }
    if (error == http::error::body_limit || error == http::error::header_limit ||
        error == http::error::buffer_overflow)
    {
        return reason::too_large;
    }
    const bool is_truncated =
        error == http::error::end_of_stream || error == http::error::partial_message;
    const bool is_http = error.category() == make_error_code(http::error::end_of_stream).category();
    return is_http && !is_truncated ? reason::malformed : reason::unreachable;
}

} // namespace

std::string to_string(const http_error& error)
{
    static constexpr const char* names[] = {
        "not an IP address and a port", "unreachable", "timed out waiting for the response",
        "the response is not HTTP", "the response is too large"};
    return fmt::format("{}: {}{}{}", error.address, names[static_cast<int>(error.why)],
                       error.detail.empty() ? "" : ": ", error.detail);
}

core::result<http_get_response> http_get(const http_get_options& options)
{
    const auto endpoint = parse_endpoint(options.address);
    if (!endpoint)
    {
        return boost::leaf::new_error(
            http_error{.why = reason::bad_address, .address = options.address});
    }
    exchange state{.options = options};
    state.request.method(http::verb::get);
    state.request.target(beast::string_view(options.target.data(), options.target.size()));
    state.request.version(11);
    state.request.set(http::field::host, options.address);
    state.request.set(http::field::connection, "close");
    if (!options.credential.empty())
    {
        state.request.set(http::field::authorization, "Bearer " + options.credential);
    }
    state.parser.body_limit(options.max_body_bytes);
    // One timeout covers all steps, so that a server cannot prolong the request by sending slowly.
    state.stream.expires_after(options.timeout);
    connect(state, *endpoint);
    state.context.run();
    if (state.error)
    {
        return boost::leaf::new_error(http_error{.why = reason_of(state.error),
                                                 .address = options.address,
                                                 .detail = state.error.message()});
    }
    auto& message = state.parser.get();
    return http_get_response{.status = message.result_int(), .body = std::move(message.body())};
}

} // namespace zinniaferry::net
