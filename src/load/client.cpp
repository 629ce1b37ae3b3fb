#include "load/client.hpp"

#include "net/await_error.hpp"
#include "net/message_rules.hpp"
#include "stand_in/answer.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace zinniaferry::load
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;

constexpr std::uint64_t max_response_bytes = std::uint64_t{16} << 20U;
using net::tuple_awaitable;

// An idle connection must have nothing to read: any bytes would belong to no request, and an end
// of stream means that the peer has closed the connection.
bool is_usable(beast::tcp_stream& stream)
{
    char byte = 0;
    boost::system::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

// Returns the result of a request without a response. `sent` is whether any of it may have reached
// the target; if not, the request was certainly not executed.
request_result make_failure(const boost::system::error_code& error, bool sent)
{
    return {.outcome = sent ? outcome::unknown : outcome::not_run,
            .verdict = error == beast::error::timeout ? verdict::timeout
                       : sent                         ? verdict::cut
                                                      : verdict::refused};
}

http::request<http::string_body> to_message(client_request&& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path_and_query);
    message.set(http::field::host, "zinnia");
    for (const auto& [name, value] : request.headers)
    {
        message.set(name, value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

} // namespace

struct connection_pool
{
    std::vector<tcp::endpoint> targets;
    std::vector<std::vector<std::unique_ptr<beast::tcp_stream>>> idle;
};

namespace
{

std::unique_ptr<beast::tcp_stream> take_idle(connection_pool& pool, std::size_t target)
{
    auto& idle = pool.idle[target];
    while (!idle.empty())
    {
        auto stream = std::move(idle.back());
        idle.pop_back();
        if (is_usable(*stream))
        {
            return stream;
        }
    }
    return nullptr;
}

} // namespace

std::shared_ptr<connection_pool> make_connection_pool(std::vector<tcp::endpoint> targets)
{
    auto pool = std::make_shared<connection_pool>();
    pool->idle.resize(targets.size());
    pool->targets = std::move(targets);
    return pool;
}

std::string target_address(const connection_pool& pool, std::size_t target)
{
    const tcp::endpoint& endpoint = pool.targets[target];
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

asio::awaitable<request_result> send_once(std::shared_ptr<connection_pool> pool,
                                          client_request request)
{
    const std::size_t target = request.target;
    const std::string path_and_query = request.path_and_query;
    const auto timeout = std::chrono::duration_cast<std::chrono::nanoseconds>(request.timeout);
    std::unique_ptr<beast::tcp_stream> stream = take_idle(*pool, target);
    if (stream == nullptr)
    {
        const auto executor = co_await asio::this_coro::executor;
        stream = std::make_unique<beast::tcp_stream>(executor);
        stream->expires_after(timeout);
        const auto [error] = co_await stream->async_connect(pool->targets[target], tuple_awaitable);
        if (error)
        {
            co_return make_failure(error, false);
        }
        boost::system::error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
    }
    else
    {
        stream->expires_after(timeout);
    }
    http::request<http::string_body> message = to_message(std::move(request));
    const auto [write_error, written] =
        co_await http::async_write(*stream, message, tuple_awaitable);
    if (write_error)
    {
        co_return make_failure(write_error, true);
    }
    beast::flat_buffer buffer(net::max_unparsed_bytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_response_bytes);
    const auto [read_error, read] =
        co_await http::async_read(*stream, buffer, parser, tuple_awaitable);
    if (read_error)
    {
        co_return make_failure(read_error, true);
    }
    if (parser.get().keep_alive() && buffer.size() == 0)
    {
        stream->expires_never();
        pool->idle[target].push_back(std::move(stream));
    }
    co_return classify_response(parser.get().result_int(), parser.get().body(), path_and_query);
}

request_result classify_response(unsigned status, std::string_view body,
                                 std::string_view path_and_query)
{
    using stand_in::body_check;
    request_result result{.status = status};
    const bool is_success = status >= 200 && status < 300;
    switch (stand_in::check_response_body(body, path_and_query))
    {
    case body_check::whole:
        // The server may have executed a request that it responds to with a failure.
        result.outcome = is_success ? outcome::answered : outcome::unknown;
        result.verdict = verdict::whole;
        result.server = stand_in::find_answering_server(body);
        return result;
    case body_check::crossed:
        result.verdict = verdict::crossed;
        return result;
    case body_check::truncated:
        result.verdict = verdict::truncated;
        return result;
    case body_check::other_json:
        break;
    }
    // Only an error response may lack the fields of a stand-in server's response body.
    result.verdict = is_success ? verdict::truncated : verdict::whole;
    const json::value document = json::parse(json::string_view(body.data(), body.size()));
    const json::value* stated_outcome = document.as_object().if_contains("outcome");
    if (!is_success && stated_outcome != nullptr && *stated_outcome == "not_run")
    {
        result.outcome = outcome::not_run;
    }
    return result;
}

} // namespace zinniaferry::load
