#include "net/admin_listener.hpp"

#include "core/digest.hpp"
#include "net/deadline_timer.hpp"
#include "net/http_rules.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace zinniaferry::net
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;

constexpr auto admin_timeout = std::chrono::seconds(10);

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

struct admin_answer
{
    http::status status = http::status::ok;
    std::string content_type = "application/json";
    std::string body;
};

admin_answer refuse(http::status status, const char* error)
{
    return {.status = status, .body = json::serialize(json::object{{"error", error}})};
}

bool is_operator(const admin_context& context, const http_request& request)
{
    const std::string expected = "Bearer " + context.options.credential;
    const std::string_view given = header_value(request.base(), "Authorization");
    return core::equal_in_constant_time(core::sha256(given), core::sha256(expected));
}

admin_answer view_accounts(const admin_context& context, const http_request& request)
{
    const json::array accounts = node::account_view(context.host.decider(), core::elapsed_now());
    if (is_operator(context, request))
    {
        return {.body = json::serialize(accounts)};
    }
    // A team sees its own account only, by one of that account's keys.
    const std::string own =
        node::account_of_key(context.host.decider(), header_value(request.base(), key_header));
    if (own.empty())
    {
        return refuse(http::status::unauthorized, "unauthorized");
    }
    json::array out;
    for (const json::value& account : accounts)
    {
        if (account.at("account").as_string() == own)
        {
            out.push_back(account);
        }
    }
    return {.body = json::serialize(out)};
}

admin_answer view_for_operators(const admin_context& context, std::string_view path)
{
    node::decider& decider = context.host.decider();
    const core::time_point now = core::elapsed_now();
    if (path == "/state")
    {
        return {.body = json::serialize(context.dump())};
    }
    if (path == "/v1/servers")
    {
        return {.body = json::serialize(node::server_view(decider, now))};
    }
    if (path == "/v1/fleet")
    {
        return {.body = json::serialize(node::fleet_view(decider, now))};
    }
    if (path == "/v1/configuration")
    {
        return {.body = json::serialize(node::configuration_view(decider, now))};
    }
    return refuse(http::status::not_found, "unknown_path");
}

admin_answer answer_admin(const admin_context& context, const http_request& request)
{
    const std::string_view path(request.target().data(), request.target().size());
    if (request.method() != http::verb::get)
    {
        return refuse(http::status::method_not_allowed, "read_only");
    }
    if (path == "/healthz")
    {
        return {.content_type = "text/plain", .body = "ok\n"};
    }
    if (path == "/readyz")
    {
        return context.is_ready() ? admin_answer{.content_type = "text/plain", .body = "ready\n"}
                                  : admin_answer{.status = http::status::service_unavailable,
                                                 .content_type = "text/plain",
                                                 .body = "not ready\n"};
    }
    if (path == "/metrics")
    {
        return {.content_type = "text/plain; version=0.0.4", .body = context.metrics()};
    }
    if (path == "/v1/accounts")
    {
        return view_accounts(context, request);
    }
    if (!is_operator(context, request))
    {
        return refuse(http::status::unauthorized, "unauthorized");
    }
    return view_for_operators(context, path);
}

} // namespace

asio::awaitable<void> serve_admin(const admin_context& context, asio::ip::tcp::socket socket)
{
    deadline_timer timer(socket);
    boost::beast::flat_buffer buffer;
    bool again = true;
    while (again)
    {
        timer.expires_after(admin_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_header_bytes);
        error_code error;
        co_await http::async_read(socket, buffer, parser, into(error));
        if (error)
        {
            co_return;
        }
        const http_request request = parser.release();
        const admin_answer answer = answer_admin(context, request);
        http_response response(answer.status, request.version());
        response.set(http::field::content_type, answer.content_type);
        response.keep_alive(request.keep_alive());
        response.body() = answer.body;
        response.prepare_payload();
        co_await http::async_write(socket, response, into(error));
        again = !error && response.keep_alive();
    }
}

} // namespace zinniaferry::net
