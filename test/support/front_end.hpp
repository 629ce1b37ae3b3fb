/// The caller-facing HTTP listener of a daemon on a loopback port, and a backend server that
/// returns fixed bytes; used by tests of HTTP handling.
#pragma once

#include "config/reader.hpp"
#include "net/caller_session.hpp"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace zinniaferry::test_support
{

namespace asio = boost::asio;

/// A load header line, CRLF included, of an idle server that accepts requests.
inline constexpr std::string_view healthy_load_header =
    "X-Zinnia-Load: inflight=0;queue=0;slots=2;state=serving\r\n";
/// The same of a server whose slots are taken.
inline constexpr std::string_view full_load_header =
    "X-Zinnia-Load: inflight=2;queue=8;slots=2;state=serving\r\n";

/// A loopback backend server in a thread of its own. It passes health checks, sends the same bytes
/// in response to every other request, and keeps the bytes of those requests. With `close_after` it
/// closes the connection after the first such response.
class raw_server
{
public:
    /// Returns the bytes to send in response to a request.
    using responder = std::function<std::string(const std::string& request)>;

    explicit raw_server(std::string response, bool close_after = false)
        : raw_server([response = std::move(response)](const std::string&) { return response; },
                     close_after)
    {
    }
    explicit raw_server(responder respond, bool close_after = false)
        : respond_(std::move(respond)), close_after_(close_after),
          acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~raw_server()
    {
        io_.stop();
        thread_.join();
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// Runs `action` on the server's thread before each health check response. Precondition: no
    /// request has been sent to this server yet.
    void on_health_check(std::function<void()> action) { on_health_check_ = std::move(action); }

    /// Reports in health checks that all slots are taken. Precondition: as above.
    void report_full() { health_load_header_ = full_load_header; }

    /// Sends a second copy of the last response on a connection some milliseconds before the
    /// response to the next health check on it. Precondition: no request has been sent to this
    /// server yet.
    void send_late_copies() { sends_late_copies_ = true; }

    /// Resets the connection instead of closing it. Only with `close_after`. Precondition: as
    /// above.
    void reset_connections() { resets_ = true; }

    /// Returns the requests received so far on all connections, without health checks. Thread safe.
    std::string received()
    {
        const std::lock_guard lock(mutex_);
        return received_;
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, asio::ip::tcp::socket socket)
            {
                if (!error)
                {
                    asio::co_spawn(io_, serve(std::move(socket)), asio::detached);
                    accept();
                }
            });
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string pending;
        std::string late_copy;
        std::array<char, 4096> chunk;
        while (true)
        {
            const std::size_t size =
                co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
            pending.append(chunk.data(), size);
            if (pending.find("\r\n\r\n") == std::string::npos)
            {
                continue;
            }
            if (pending.starts_with("GET /health "))
            {
                pending.clear();
                on_health_check_();
                if (!late_copy.empty())
                {
                    co_await asio::async_write(socket, asio::buffer(late_copy),
                                               asio::use_awaitable);
                    late_copy.clear();
                    asio::steady_timer pause(io_, std::chrono::milliseconds(10));
                    co_await pause.async_wait(asio::use_awaitable);
                }
                const std::string health =
                    "HTTP/1.1 200 OK\r\n" + health_load_header_ + "Content-Length: 0\r\n\r\n";
                co_await asio::async_write(socket, asio::buffer(health), asio::use_awaitable);
                continue;
            }
            const std::string response = respond_(pending);
            if (sends_late_copies_)
            {
                late_copy = response;
            }
            {
                const std::lock_guard lock(mutex_);
                received_ += pending;
            }
            pending.clear();
            co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
            if (resets_)
            {
                // The response must have left before the reset, which would discard it.
                asio::steady_timer pause(io_, std::chrono::milliseconds(20));
                co_await pause.async_wait(asio::use_awaitable);
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close(); // The destructor would close it in order.
            }
            if (close_after_)
            {
                co_return;
            }
        }
    }

    std::string health_load_header_{healthy_load_header};
    responder respond_;
    bool close_after_;
    bool sends_late_copies_ = false;
    bool resets_ = false;
    std::function<void()> on_health_check_ = [] {
    };
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::string received_;
    std::thread thread_;
};

/// A gateway and its caller listener, run by a thread of their own. `configuration` is a JSON
/// document; `limits`, if given, replaces the caller limits in it.
class front_end
{
public:
    explicit front_end(const std::string& configuration, net::http_profile profile = {},
                       std::optional<config::caller_limits> limits = {})
        : gateway_(io_, std::move(profile), {.vm = "vm-1", .log = {.enabled = false}}),
          sessions_{.gateway = gateway_}, acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        auto config = std::make_shared<config::configuration>(
            config::read_configuration(configuration, "test").value());
        config->limits = limits.value_or(config->limits);
        // A fleet of one daemon that acts as its own hub.
        limits::set_fleet_size(gateway_.accounts,
                               {.primary_members = 1, .members_known = 1, .is_size_known = true},
                               core::boot_clock_now());
        gateway_.request_hub_grant =
            [this](std::string account) -> asio::awaitable<std::optional<limits::grant>>
        {
            const core::time_point now = core::boot_clock_now();
            limits::advance_pool_clock(gateway_.accounts, now - pools_advanced_at_);
            pools_advanced_at_ = now;
            co_return limits::take_from_pool(gateway_.accounts, account);
        };
        net::apply_configuration(gateway_, config, core::boot_clock_now());
        // Current for the whole test, unless the test says otherwise.
        gateway_.configuration_current_as_of = core::boot_clock_now() + std::chrono::hours(1);
        asio::co_spawn(io_, net::accept_callers(sessions_, acceptor_), asio::detached);
        thread_ = std::thread([this] { io_.run(); });
    }
    ~front_end()
    {
        io_.stop();
        thread_.join();
    }
    front_end(const front_end&) = delete;
    front_end& operator=(const front_end&) = delete;

    /// Sends `bytes` on a new connection, shuts down the sending side if `half_close` is set, and
    /// returns all bytes received until the connection ends or `timeout` passes.
    std::string exchange(std::string_view bytes, bool half_close = false,
                         std::chrono::milliseconds timeout = std::chrono::milliseconds(1500)) const
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect(address_);
        asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
        if (half_close)
        {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        asio::streambuf response;
        asio::async_read(socket, response, [](const boost::system::error_code&, std::size_t) {});
        io.run_for(timeout);
        return {asio::buffers_begin(response.data()), asio::buffers_end(response.data())};
    }

    /// Runs `action` on the listener's thread and waits until it has returned. Must not be called
    /// on that thread, where it would deadlock.
    void
    run_on_io_thread(std::function<void(net::caller_sessions&, asio::ip::tcp::acceptor&)> action)
    {
        std::promise<void> done;
        asio::post(io_,
                   [&]
                   {
                       action(sessions_, acceptor_);
                       done.set_value();
                   });
        done.get_future().get();
    }

    asio::ip::tcp::endpoint address() const { return address_; }

    /// Returns the number of requests refused so far with the named reason. Must not be called on
    /// the listener's thread, where it would deadlock.
    std::uint64_t refusals(std::string_view reason_name)
    {
        std::promise<std::uint64_t> count;
        asio::post(io_,
                   [&]
                   {
                       const auto& refused = gateway_.counters.refused;
                       std::uint64_t sum = 0;
                       for (std::size_t i = 0; i < refused.size(); ++i)
                       {
                           const auto reason = static_cast<request::refusal_reason>(i);
                           sum += request::to_string(reason) == reason_name ? refused.at(i) : 0;
                       }
                       count.set_value(sum);
                   });
        return count.get_future().get();
    }

private:
    asio::io_context io_{1};
    net::gateway gateway_;
    core::time_point pools_advanced_at_ = core::boot_clock_now();
    net::caller_sessions sessions_;
    asio::ip::tcp::acceptor acceptor_;
    const asio::ip::tcp::endpoint address_ = acceptor_.local_endpoint();
    std::thread thread_;
};

/// Returns a configuration with one server at `address`, a route without a key (/open) and a route
/// that needs the key "secret-key" (/keyed).
inline std::string one_server_configuration(const std::string& address)
{
    const std::string digest = core::to_hex(core::sha256("secret-key"));
    return R"({"version": 1,
        "regions": [{"name": "r", "weight": 1}],
        "data_centres": [{"name": "dc", "region": "r", "state": "in"}],
        "accounts": [{"name": "a", "keys": [")" +
           digest + R"("], "rate": 1000, "burst": 1000}],
        "services": [{"name": "s", "slots": 2, "max_connections": 250,
            "servers": [{"name": "s-1", "data_centre": "dc", "address": ")" +
           address + R"("}]}],
        "routes": [
            {"prefix": "/open", "service": "s", "class": "browse", "idempotent": true,
             "open": true, "timeout_ms": 1000},
            {"prefix": "/keyed", "service": "s", "class": "order", "idempotent": false,
             "open": false, "timeout_ms": 1000}]})";
}

} // namespace zinniaferry::test_support
