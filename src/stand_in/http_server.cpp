#include "stand_in/http_server.hpp"

#include "net/await_error.hpp"
#include "net/message_rules.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace zinniaferry::stand_in
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
constexpr auto accept_retry_delay = std::chrono::milliseconds(20);
using net::tuple_awaitable;

// Adds a socket to a connection set and removes it on destruction.
struct socket_registration
{
    socket_registration(connection_set& set, tcp::socket& socket) : set(set), socket(socket)
    {
        set.sockets.insert(&socket);
    }
    socket_registration(const socket_registration&) = delete;
    socket_registration& operator=(const socket_registration&) = delete;
    ~socket_registration() { set.sockets.erase(&socket); }

    connection_set& set;
    tcp::socket& socket;
};

void reset_socket(tcp::socket& socket)
{
    boost::system::error_code ignored;
    // With a linger time of zero, close() sends a TCP reset.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void parse_query(http_request& request)
{
    const std::size_t query_start = request.target.find('?');
    request.path = request.target.substr(0, query_start);
    if (query_start == std::string::npos)
    {
        return;
    }
    std::string_view remaining = std::string_view(request.target).substr(query_start + 1);
    while (!remaining.empty())
    {
        const std::string_view parameter = remaining.substr(0, remaining.find('&'));
        const std::size_t equals = parameter.find('=');
        request.query[std::string(parameter.substr(0, equals))] =
            equals == std::string_view::npos ? "" : std::string(parameter.substr(equals + 1));
        remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
    }
}

http_request to_http_request(http::request<http::string_body>&& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
    {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        request.headers[std::move(name)] = std::string(field.value());
    }
    request.body = std::move(message.body());
    parse_query(request);
    return request;
}

// Returns when the peer has closed the connection. If pipelined bytes make the socket readable
// instead, it waits until it is cancelled: the next read then detects a close.
asio::awaitable<void> wait_for_close(tcp::socket& socket)
{
    auto [error] = co_await socket.async_wait(tcp::socket::wait_read, tuple_awaitable);
    char byte = 0;
    if (!error && socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error) > 0)
    {
        asio::steady_timer forever(socket.get_executor(), asio::steady_timer::time_point::max());
        co_await forever.async_wait(tuple_awaitable);
    }
}

asio::awaitable<bool> write_response(tcp::socket& socket, http_response& response, bool keep_alive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    for (const auto& [name, value] : response.headers)
    {
        message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive);
    if (response.status != static_cast<unsigned>(http::status::not_modified))
    {
        message.prepare_payload();
    }
    auto [error, written] = co_await http::async_write(socket, message, tuple_awaitable);
    if (response.sent_bytes_counter != nullptr)
    {
        *response.sent_bytes_counter += written;
    }
    co_return !error && keep_alive;
}

asio::awaitable<void> run_connection(tcp::socket accepted, std::shared_ptr<http_handler> handler,
                                     connection_set& connections)
{
    using namespace asio::experimental::awaitable_operators;
    tcp::socket socket = std::move(accepted);
    const socket_registration entry(connections, socket);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer(net::max_unparsed_bytes);
    bool open = true;
    while (open)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        auto [error, read] = co_await http::async_read(socket, buffer, parser, tuple_awaitable);
        if (error)
        {
            co_return;
        }
        const bool keep_alive = parser.get().keep_alive();
        http_request request = to_http_request(parser.release());
        request.wire_bytes = read;
        auto outcome = co_await ((*handler)(std::move(request)) || wait_for_close(socket));
        auto* response = std::get_if<http_response>(&outcome);
        if (response == nullptr || response->reset_connection)
        {
            reset_socket(socket);
            co_return;
        }
        open = co_await write_response(socket, *response, keep_alive);
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
}

} // namespace

std::string to_string(const address_error& error)
{
    return error.address + ": " + error.reason;
}

core::result<tcp::endpoint> parse_endpoint(std::string_view text)
{
    const auto fail = [&](const char* reason)
    {
        return boost::leaf::new_error(
            address_error{.address = std::string(text), .reason = reason});
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return fail("expected IP:PORT");
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error)
    {
        return fail("expected an IP address before the colon");
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return fail("expected a port from 0 to 65535");
    }
    return tcp::endpoint(address, port);
}

core::result<tcp::acceptor> open_listener(const asio::any_io_executor& executor,
                                          const tcp::endpoint& endpoint)
{
    tcp::acceptor acceptor(executor);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error)
    {
        const std::string address =
            endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        return boost::leaf::new_error(address_error{.address = address, .reason = error.message()});
    }
    return acceptor;
}

asio::awaitable<void> serve(tcp::acceptor& acceptor, http_handler handler,
                            connection_set& connections)
{
    const auto shared_handler = std::make_shared<http_handler>(std::move(handler));
    while (acceptor.is_open())
    {
        auto [error, socket] = co_await acceptor.async_accept(tuple_awaitable);
        if (!error)
        {
            asio::co_spawn(acceptor.get_executor(),
                           run_connection(std::move(socket), shared_handler, connections),
                           asio::detached);
        }
        else if (acceptor.is_open())
        {
            // A lasting failure, such as a lack of file descriptors, must not cause a busy loop.
            asio::steady_timer pause(acceptor.get_executor(), accept_retry_delay);
            co_await pause.async_wait(tuple_awaitable);
        }
    }
}

void reset_connections(connection_set& connections)
{
    for (tcp::socket* socket : connections.sockets)
    {
        reset_socket(*socket);
    }
}

std::string find_value(const std::map<std::string, std::string, std::less<>>& values,
                       std::string_view name)
{
    const auto found = values.find(name);
    return found == values.end() ? std::string() : found->second;
}

std::optional<double> find_number(const std::map<std::string, std::string, std::less<>>& values,
                                  std::string_view name)
{
    const std::string text = find_value(values, name);
    double number = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        !std::isfinite(number) || number < 0.0)
    {
        return std::nullopt;
    }
    return number;
}

http_response json_response(unsigned status, std::string body)
{
    http_response response{.status = status, .body = std::move(body)};
    response.headers.emplace_back("Content-Type", "application/json");
    return response;
}

} // namespace zinniaferry::stand_in
