/// Entries of the platform's store, and a backend server and requests that go with them, for checks
/// of real daemons whose configuration changes.
#pragma once

#include "core/time.hpp"
#include "net/await_error.hpp"
#include "stand_in/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>

namespace zinniaferry::test_support
{

inline constexpr std::array services = {"orarend", "jovahagyas"};
inline constexpr const char* account = "school";
/// Key of the account that all versions of the configuration have.
inline constexpr const char* lasting_key = "lasting-key";

/// Key of the account that only this version and the next one have, by index.
inline std::string passing_key(std::size_t version)
{
    return fmt::format("key-{}", version);
}

/// A path that only those versions have.
inline std::string passing_path(std::size_t version)
{
    return fmt::format("/version/{}/", version);
}

/// Returns a route of the configuration.
inline std::string route_text(const std::string& prefix, const std::string& service)
{
    return fmt::format(
        R"({{"name":"{0}","host":"","prefix":"{0}","kind":"safe","timeout-s":3,"slo-s":1,)"
        R"("priority":1,"service":"{1}","attempts":2,"no-auth":false}})",
        prefix, service);
}

/// Returns the configuration with that index, from 0: the operator's entry of version index + 1.
/// Each version moves a route to the other service, and adds and drops a route and a key.
inline std::string configuration_text(std::size_t index)
{
    std::string routes = route_text("/keep/", services[0]) + "," +
                         route_text("/flip/", services[index % services.size()]);
    std::string keys = fmt::format(R"("{}")", lasting_key);
    for (std::size_t version = index > 0 ? index - 1 : 0; version <= index; ++version)
    {
        routes += "," + route_text(passing_path(version), services[0]);
        keys += fmt::format(R"(,"{}")", passing_key(version));
    }
    std::string listed;
    for (const char* name : services)
    {
        listed += fmt::format(R"({}{{"name":"{}","health-path":"/health","max-conns":260,)"
                              R"("warmup-s":3.0,"warmup-per-s":50.0}})",
                              listed.empty() ? "" : ",", name);
    }
    return fmt::format(
        R"({{"version":"r{}","routes":[{}],"services":[{}],"limits":{{"header-bytes":16384,)"
        R"("body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":15}},"tenants":[{{)"
        R"("name":"{}","api-keys":[{}],"priority":1,"rate-per-s":0,"burst":0}}]}})",
        index + 1, routes, listed, account, keys);
}

/// A backend server with a listener of its own.
struct listed_server
{
    listed_server(boost::asio::io_context& io, std::string server_id, std::string server_service)
        : id(std::move(server_id)), service(std::move(server_service)),
          acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          port(acceptor.local_endpoint().port())
    {
    }

    std::string key() const { return "servers/" + id; }

    std::string entry() const
    {
        return fmt::format(
            R"({{"address":"127.0.0.1:{}","born":1,"info":{{"service":"{}","version":"v1",)"
            R"("zone":"z","slots":16}},"status":{{"state":"{}","seq":{},"warmup-left-s":{}}}}})",
            port, service, is_leaving ? "draining" : "ready", sequence,
            core::to_seconds(warmup_left));
    }

    std::string id;
    std::string service;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
    stand_in::connection_set connections;
    bool is_leaving = false;
    core::duration warmup_left{};
    std::uint64_t sequence = 1;
};

/// A request that a server runs: its id and the account that the daemon states.
using arrival_callback = std::function<void(const std::string& id, const std::string& account)>;

/// Answers a request as a backend server does that works for `work_time`.
inline boost::asio::awaitable<stand_in::http_response> respond(const listed_server& own,
                                                               stand_in::http_request request,
                                                               core::duration work_time,
                                                               arrival_callback on_arrival)
{
    const auto value = [&](std::string_view name)
    {
        return stand_in::find_value(request.headers, name);
    };
    stand_in::http_response out;
    out.headers = {{"X-Zinniaferry-Instance-Load", "0,0,16,100"}, {"Keep-Alive", "timeout=10"}};
    if (request.path == "/health")
    {
        out.headers.emplace_back("X-Zinniaferry-Instance-Id", own.id);
        co_return out;
    }
    const std::string id = value("x-zinniaferry-request-id");
    out.headers.emplace_back("X-Zinniaferry-Request-Id", id);
    const std::string expected = value("x-zinniaferry-expect-instance");
    if (!expected.empty() && expected != own.id)
    {
        out.headers.emplace_back("X-Zinniaferry-Not-Executed", "1");
        out.status = 421;
        co_return out;
    }
    on_arrival(id, value("x-zinniaferry-tenant"));
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, work_time);
    co_await timer.async_wait(boost::asio::use_awaitable);
    out.headers.emplace_back("X-Zinniaferry-Response-Signature", "1." + id);
    out.body = "done";
    co_return out;
}

/// Returns a caller's request on a connection of its own.
inline std::string request_text(const std::string& path, const std::string& id,
                                const std::string& key)
{
    return fmt::format("GET {} HTTP/1.1\r\nHost: school.example\r\n"
                       "X-Zinniaferry-Request-Id: {}\r\n"
                       "X-Zinniaferry-Timeout-Remaining: 2500\r\nAuthorization: Bearer {}\r\n"
                       "Connection: close\r\n\r\n",
                       path, id, key);
}

/// Sends a request to a loopback port and returns the status of the response, or nothing when the
/// connection fails.
inline boost::asio::awaitable<std::optional<unsigned>> send_request(std::uint16_t port,
                                                                    std::string text)
{
    namespace asio = boost::asio;
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port},
                                  net::redirect_error_to(error));
    std::string line;
    if (!error)
    {
        co_await asio::async_write(socket, asio::buffer(text), net::redirect_error_to(error));
    }
    if (!error)
    {
        co_await asio::async_read_until(socket, asio::dynamic_buffer(line), "\r\n",
                                        net::redirect_error_to(error));
    }
    // The status follows "HTTP/1.1 ".
    constexpr std::size_t status_position = 9;
    if (error || line.size() <= status_position)
    {
        co_return std::nullopt;
    }
    co_return static_cast<unsigned>(std::strtoul(line.c_str() + status_position, nullptr, 10));
}

/// Loopback ports of a daemon's listeners.
struct daemon_ports
{
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
};

/// Returns the settings file of a daemon. `seeds` is the inside of a JSON list.
inline std::string settings_text(const std::string& node, const daemon_ports& ports,
                                 const std::string& seeds, const std::string& store_address)
{
    return fmt::format(
        R"({{"node":"{}","role":"ferry","ip":"127.0.0.1","zone":"z","listen":{{)"
        R"("front":"127.0.0.1:{}","ready":"127.0.0.1:{}","control":"127.0.0.1:{}"}},)"
        R"("seeds":[{}],"heartbeat-s":1.5,"limits":{{"memory-mb":260,"max-fds":4100,)"
        R"("link-mbps":1000.0}},"bounds":["grace-s=6"],"provider":{{"address":"{}"}}}})",
        node, ports.front, ports.ready, ports.control, seeds, store_address);
}

} // namespace zinniaferry::test_support
