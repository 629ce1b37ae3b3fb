#include "net/daemon.hpp"

#include "net/admin_listener.hpp"
#include "net/http_session.hpp"
#include "net/log.hpp"
#include "net/metrics.hpp"
#include "net/peer_link.hpp"
#include "net/platform_client.hpp"
#include "net/process_lifecycle.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <random>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A probe that takes longer says that the server is slow, and the budget reserves no more.
constexpr auto probe_timeout = std::chrono::milliseconds(12);
constexpr auto housekeeping_interval = std::chrono::milliseconds(500);
constexpr auto readiness_interval = std::chrono::milliseconds(10);
/// Longest time that a planned stop waits for requests in flight.
constexpr auto finish_limit = std::chrono::seconds(30);
/// Longest time for which leases wait for the loans from their pools to end.
constexpr auto hand_over_limit = std::chrono::seconds(6);

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

core::unix_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

asio::awaitable<void> sleep_for(asio::io_context& io, core::duration time)
{
    asio::steady_timer timer(io, time);
    error_code ignored;
    co_await timer.async_wait(into(ignored));
}

peer_link_options peer_options(const config::settings& settings, const core::process_id& self)
{
    peer_link_options out;
    out.session.self = self;
    out.session.secret = settings.peer_secret;
    out.listen_address = settings.peer_listen;
    out.seed = self.incarnation;
    return out;
}

/// Everything of one process. Members are destroyed in reverse order, so what others refer to
/// stands first.
class daemon
{
public:
    explicit daemon(const config::settings& settings)
        : settings_(settings), self_{settings.vm, random_number()},
          decider_(node::make_decider({.self = self_,
                                       .data_centre = settings.data_centre,
                                       .region = settings.region,
                                       .random_seed = random_number()},
                                      core::elapsed_now(), wall_now())),
          upstream_(io_, {}, connection_events()),
          peers_(io_.get_executor(), peer_options(settings, self_),
                 [this](const fleet::message& message)
                 { host_.run(node::handle_message(*decider_, message, core::elapsed_now())); }),
          host_(io_, *decider_,
                {.send_to_peer = [this](const fleet::outgoing& out) { peers_.send(out); },
                 .probe =
                     [this](const node::send_probe& probe)
                 {
                     spawn(run_probe(probe));
                 }}),
          sessions_{host_, upstream_, durations_, {}}, admin_{host_,
                                                              {settings.admin_credential},
                                                              [this] { return is_ready(); },
                                                              [this] { return metrics(); },
                                                              [this]
                                                              {
                                                                  return dump();
                                                              }},
          log_(part_log("daemon"))
    {
    }

    core::result<void> run()
    {
        BOOST_LEAF_AUTO(callers, open_listener(settings_.listen));
        BOOST_LEAF_AUTO(admin, open_listener(settings_.admin_listen));
        callers_ = std::make_unique<asio::ip::tcp::acceptor>(std::move(callers));
        admin_acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(std::move(admin));
        BOOST_LEAF_CHECK(listen_to_peers());
        log_->info("started as {}, callers on {}", core::to_string(self_), settings_.listen);
        spawn(accept_callers());
        spawn(accept_admin());
        spawn(host_.tick_loop());
        spawn(follow_configuration(host_, {.address = settings_.platform}));
        spawn(follow_vm_list(host_, {.address = settings_.platform}));
        spawn(housekeeping());
        spawn(watch_readiness());
        spawn(wait_for_stop());
        io_.run();
        log_->info("stopped");
        return {};
    }

private:
    void spawn(asio::awaitable<void> task) { asio::co_spawn(io_, std::move(task), asio::detached); }

    upstream_events connection_events()
    {
        return {.opened = [this](const std::string& server)
                { node::connection_opened(*decider_, server); },
                .closed =
                    [this](const std::string& server)
                {
                    node::connection_closed(*decider_, server);
                }};
    }

    core::result<asio::ip::tcp::acceptor> open_listener(const std::string& address)
    {
        const auto endpoint = parse_endpoint(address);
        if (!endpoint)
        {
            return boost::leaf::new_error(listen_error{address, EINVAL});
        }
        asio::ip::tcp::acceptor acceptor(io_);
        error_code error;
        acceptor.open(endpoint->protocol(), error);
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind(*endpoint, error);
        if (!error)
        {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error)
        {
            return boost::leaf::new_error(listen_error{address, error.value()});
        }
        return acceptor;
    }

    core::result<void> listen_to_peers()
    {
        return boost::leaf::try_handle_some(
            [&] { return peers_.listen(); },
            [](const address_error& error) -> core::result<void> {
                return boost::leaf::new_error(listen_error{error.address, error.error_number});
            });
    }

    asio::awaitable<void> accept_callers()
    {
        while (callers_->is_open())
        {
            error_code error;
            asio::ip::tcp::socket socket = co_await callers_->async_accept(into(error));
            if (!error)
            {
                spawn(serve_caller(sessions_, std::move(socket)));
            }
            else if (error != asio::error::operation_aborted)
            {
                // Out of descriptors or memory; trying again at once would spin.
                co_await sleep_for(io_, housekeeping_interval);
            }
        }
    }

    asio::awaitable<void> accept_admin()
    {
        while (true)
        {
            error_code error;
            asio::ip::tcp::socket socket = co_await admin_acceptor_->async_accept(into(error));
            if (error)
            {
                co_await sleep_for(io_, housekeeping_interval);
                continue;
            }
            spawn(serve_admin(admin_, std::move(socket)));
        }
    }

    asio::awaitable<void> run_probe(node::send_probe probe)
    {
        const core::time_point begun = core::elapsed_now();
        http_client client(io_, probe.address, max_header_bytes);
        const auto answer = co_await client.get("/health", probe_timeout);
        std::string report;
        if (answer && answer->result_int() == 200)
        {
            report = header_value(answer->base(), load_header);
        }
        const core::time_point now = core::elapsed_now();
        host_.run(node::probe_ended(*decider_, probe.server, report, now - begun, now));
    }

    // Peers come from the published list; others that connect to this process are kept as well.
    void refresh_peers()
    {
        std::vector<peer_address> addresses;
        for (const node::listed_vm& vm : decider_->vm_list)
        {
            if (vm.name != self_.vm)
            {
                addresses.push_back({vm.name, vm.peer_address});
            }
        }
        peers_.set_peers(addresses);
    }

    asio::awaitable<void> housekeeping()
    {
        while (true)
        {
            refresh_peers();
            upstream_.close_idle(core::elapsed_now());
            co_await sleep_for(io_, housekeeping_interval);
        }
    }

    asio::awaitable<void> watch_readiness()
    {
        while (!node::is_ready(*decider_, core::elapsed_now()))
        {
            co_await sleep_for(io_, readiness_interval);
        }
        lifecycle_.apply(process_event::became_ready);
        log_->info("ready with configuration version {}", node::config_version(*decider_));
    }

    asio::awaitable<void> wait_for_stop()
    {
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        error_code error;
        co_await signals.async_wait(into(error));
        co_await stop();
    }

    asio::awaitable<void> stop()
    {
        const bool served = lifecycle_.state() == process_state::serving;
        lifecycle_.apply(process_event::stop_asked);
        log_->info("stopping, readiness is off");
        host_.run(node::announce_stop(*decider_, core::elapsed_now()));
        if (served)
        {
            co_await sleep_for(io_, settings_.stop_grace);
            lifecycle_.apply(process_event::grace_passed);
        }
        co_await finish_requests();
        co_await hand_over();
        lifecycle_.apply(process_event::work_finished);
        peers_.close();
        io_.stop();
    }

    asio::awaitable<void> finish_requests()
    {
        error_code ignored;
        callers_->close(ignored);
        sessions_.closing = true;
        close_idle_sessions(sessions_);
        const core::time_point limit = core::elapsed_now() + finish_limit;
        while (sessions_.open_sessions > 0 && core::elapsed_now() < limit)
        {
            co_await sleep_for(io_, readiness_interval);
        }
        log_->info("requests finished, {} connections left", sessions_.open_sessions);
    }

    asio::awaitable<void> hand_over()
    {
        const core::time_point limit = core::elapsed_now() + hand_over_limit;
        do
        {
            host_.run(node::hand_over(*decider_, core::elapsed_now()));
            co_await sleep_for(io_, readiness_interval);
        } while (!node::hand_over_done(*decider_, core::elapsed_now()) &&
                 core::elapsed_now() < limit);
        // The releases and returns leave before the connections are closed.
        co_await sleep_for(io_, std::chrono::milliseconds(50));
    }

    bool is_ready() const { return lifecycle_.state() == process_state::serving; }

    std::string metrics() const
    {
        const link_counters links = peers_.total();
        return print_metrics(*decider_,
                             {.caller_connections = sessions_.open_sessions,
                              .idle_upstream_connections = upstream_.idle_count(),
                              .peer_bytes_in = links.bytes_in,
                              .peer_bytes_out = links.bytes_out,
                              .peer_links = peers_.connected().size()},
                             durations_, core::elapsed_now());
    }

    boost::json::object dump() const
    {
        boost::json::object out = node::dump(*decider_, core::elapsed_now());
        out["process_state"] = to_string(lifecycle_.state());
        out["peer_links"] = peers_.dump();
        out["caller_connections"] = sessions_.open_sessions;
        out["idle_upstream_connections"] = upstream_.idle_count();
        return out;
    }

    const config::settings& settings_;
    core::process_id self_;
    std::unique_ptr<node::decider> decider_;
    request_durations durations_;
    process_lifecycle lifecycle_;
    asio::io_context io_{1};
    upstream_pool upstream_;
    peer_link peers_;
    node_host host_;
    session_context sessions_;
    admin_context admin_;
    std::unique_ptr<asio::ip::tcp::acceptor> callers_;
    std::unique_ptr<asio::ip::tcp::acceptor> admin_acceptor_;
    std::shared_ptr<spdlog::logger> log_;
};

} // namespace

std::string to_string(const listen_error& error)
{
    return fmt::format("cannot listen on {}: {}", error.address,
                       std::error_code(error.error_number, std::generic_category()).message());
}

core::result<void> run_daemon(const config::settings& settings)
{
    const auto process = std::make_unique<daemon>(settings);
    return process->run();
}

} // namespace zinniaferry::net
