/// A front end of the daemon on a loopback port, with a decider whose configuration is given and
/// a backend server made of raw bytes; used by tests of HTTP handling.
#pragma once

#include "net/http_session.hpp"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <string>
#include <thread>
#include <vector>

namespace zinniaferry::test_support
{

namespace asio = boost::asio;

inline constexpr std::string_view good_load =
    "X-Zinnia-Load: inflight=0;queue=0;slots=2;state=serving\r\n";

/// Answers every request with fixed bytes and keeps what it received.
class raw_server
{
public:
    explicit raw_server(std::string answer, bool close_after = false)
        : answer_(std::move(answer)), close_after_(close_after),
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

    /// Everything received so far, all connections together.
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
        std::array<char, 4096> chunk;
        while (true)
        {
            const std::size_t size =
                co_await socket.async_read_some(asio::buffer(chunk), asio::use_awaitable);
            pending.append(chunk.data(), size);
            {
                const std::lock_guard lock(mutex_);
                received_.append(chunk.data(), size);
            }
            if (pending.find("\r\n\r\n") == std::string::npos)
            {
                continue;
            }
            pending.clear();
            co_await asio::async_write(socket, asio::buffer(answer_), asio::use_awaitable);
            if (close_after_)
            {
                co_return;
            }
        }
    }

    std::string answer_;
    bool close_after_;
    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::string received_;
    std::thread thread_;
};

/// Runs the front end in a thread of its own.
class front_end
{
public:
    explicit front_end(const std::string& configuration, net::caller_options options = {})
        : decider_(node::make_decider({.self = {"vm-1", 7}}, core::elapsed_now() - warm_up, {})),
          upstream_(io_, {},
                    {.opened = [](const std::string&) {},
                     .closed =
                         [](const std::string&) {
                         }}),
          host_(io_, *decider_,
                {.send_to_peer = [](const fleet::outgoing&) {},
                 .probe =
                     [this](const node::send_probe& probe)
                 {
                     answer_probe(probe);
                 }}),
          context_{host_, upstream_, durations_, options},
          acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        warm_up_in_virtual_time(configuration);
        asio::co_spawn(io_, host_.tick_loop(), asio::detached);
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~front_end()
    {
        io_.stop();
        thread_.join();
    }
    front_end(const front_end&) = delete;
    front_end& operator=(const front_end&) = delete;

    /// Sends raw bytes, closes the sending side when asked, and returns all that is answered until
    /// the connection ends or `time` passes.
    std::string exchange(std::string_view bytes, bool half_close = false,
                         std::chrono::milliseconds time = std::chrono::milliseconds(1500)) const
    {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        socket.connect(acceptor_.local_endpoint());
        asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
        if (half_close)
        {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        asio::streambuf answer;
        asio::async_read(socket, answer, [](const boost::system::error_code&, std::size_t) {});
        io.run_for(time);
        return {asio::buffers_begin(answer.data()), asio::buffers_end(answer.data())};
    }

    /// Returns how often requests were refused with this error so far.
    std::uint64_t refusals(std::string_view error)
    {
        std::promise<std::uint64_t> count;
        asio::post(io_,
                   [&]
                   {
                       const auto& refused = decider_->counters.refused;
                       std::uint64_t sum = 0;
                       for (std::size_t i = 0; i < refused.size(); ++i)
                       {
                           const auto each = static_cast<node::request_error>(i);
                           sum += node::to_string(each) == error ? refused[i] : 0;
                       }
                       count.set_value(sum);
                   });
        return count.get_future().get();
    }

private:
    /// Longer than the quarantine of leases and the wait of a new permit holder.
    static constexpr auto warm_up = std::chrono::seconds(40);

    // Runs the decider up to the present with a server that answers well, so that the test meets
    // a warm server at once.
    void warm_up_in_virtual_time(const std::string& configuration)
    {
        constexpr node::request_id first_warm_up_id = 1'000'000;
        const core::time_point end = core::elapsed_now();
        core::time_point now = end - warm_up;
        node::set_vm_list(*decider_, {}, now);
        host_.run(node::service_replied(*decider_, configuration, now));
        for (node::request_id id = first_warm_up_id; now < end; now += node::tick_interval, ++id)
        {
            node::action_list actions = node::tick(*decider_, {}, now);
            const auto started = node::start_request(*decider_, id, {.path = "/open"}, now);
            actions.insert(actions.end(), started.begin(), started.end());
            for (std::size_t i = 0; i < actions.size(); ++i)
            {
                if (const auto* sent = std::get_if<node::dispatch>(&actions[i]))
                {
                    node::bytes_leaving(*decider_, sent->request, now);
                    const auto more = node::attempt_ended(
                        *decider_, sent->request,
                        {.end = node::attempt_end::answered,
                         .status = 200,
                         .load_report = "inflight=0;queue=0;slots=2;state=serving"},
                        now);
                    actions.insert(actions.end(), more.begin(), more.end());
                }
            }
            node::service_unchanged(*decider_, now);
        }
    }

    void answer_probe(const node::send_probe& probe)
    {
        asio::post(io_,
                   [this, probe]
                   {
                       host_.run(node::probe_ended(
                           *decider_, probe.server, "inflight=0;queue=0;slots=2;state=serving",
                           std::chrono::milliseconds(1), core::elapsed_now()));
                   });
    }
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, asio::ip::tcp::socket socket)
            {
                if (!error)
                {
                    asio::co_spawn(io_, net::serve_caller(context_, std::move(socket)),
                                   asio::detached);
                    accept();
                }
            });
    }

    std::unique_ptr<node::decider> decider_;
    net::request_durations durations_;
    asio::io_context io_{1};
    net::upstream_pool upstream_;
    net::node_host host_;
    net::session_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

/// A configuration of one VM with one server, an open route and a keyed one ("secret-key").
inline std::string one_server_configuration(const std::string& address)
{
    const std::string digest = core::to_hex(core::sha256("secret-key"));
    return R"({"version": 1, "max_vms": 1, "pool_groups": 1, "lease_term_ms": 10000,
        "idempotency_window_ms": 120000,
        "regions": [{"name": "r", "weight": 1}],
        "data_centres": [{"name": "dc", "region": "r", "state": "in"}],
        "accounts": [{"name": "a", "keys": [")" +
           digest + R"("], "rate": 1000, "burst": 1000, "seat_fraction": 0.5}],
        "services": [{"name": "s", "slots": 2, "cold_allowance": 1, "max_connections": 250,
            "servers": [{"name": "s-1", "data_centre": "dc", "address": ")" +
           address + R"("}]}],
        "routes": [
            {"prefix": "/open", "service": "s", "class": "browse", "idempotent": true,
             "open": true, "timeout_ms": 1000},
            {"prefix": "/keyed", "service": "s", "class": "order", "idempotent": false,
             "open": false, "timeout_ms": 1000}]})";
}

} // namespace zinniaferry::test_support
