#include "net/daemon.hpp"

#include "core/digest.hpp"
#include "net/await_error.hpp"
#include "net/caller_session.hpp"
#include "net/endpoint.hpp"
#include "net/gateway_metrics.hpp"
#include "net/hub_links.hpp"
#include "net/process_lifecycle.hpp"
#include "net/status_listener.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <random>
#include <system_error>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

constexpr core::duration maintenance_interval = std::chrono::milliseconds(500);
/// Interval of the log lines with the counters, for incidents without a metrics server.
constexpr core::duration counters_log_interval = std::chrono::seconds(5);
/// Settings are also reloaded at this interval, as they may change without a SIGHUP.
constexpr core::duration settings_reload_interval = std::chrono::seconds(5);
constexpr core::duration stop_poll_interval = std::chrono::milliseconds(20);
constexpr core::duration ready_poll_interval = std::chrono::milliseconds(20);
/// How long a daemon that has just started waits for the first update of a hub.
constexpr core::duration first_update_wait = std::chrono::milliseconds(700);

std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

core::result<void> listen(asio::ip::tcp::acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint)
    {
        return boost::leaf::new_error(listen_error{address, EINVAL});
    }
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
    return {};
}

/// All state of the daemon process. Members are destroyed in reverse order, so those that others
/// refer to are declared first.
class daemon
{
public:
    daemon(const daemon_options& options, const platform_adapter& adapter)
        : options_(options), adapter_(adapter), settings_(options.settings),
          gateway_(io_, options.profile,
                   {.vm = options.vm,
                    .data_centre = options.data_centre,
                    .region = options.region,
                    .log = options.log,
                    .random_seed = random_number(),
                    .memory_bytes = options.memory_bytes}),
          sessions_{.gateway = gateway_},
          links_(io_, {options.vm, options.peer_address, options.link_mbps, options.data_centre},
                 random_number(), replica_, gateway_.log, link_callbacks())
    {
        gateway_.backends.are_members_known = false;
        gateway_.request_hub_grant = [this](std::string account)
        {
            return links_.request_grant(std::move(account));
        };
        sessions_.connections->budget.max_open =
            limits::max_caller_connections(options.max_sockets);
        apply_settings();
    }

    core::result<void> run()
    {
        asio::ip::tcp::acceptor peers(io_);
        asio::ip::tcp::acceptor ready(io_);
        asio::ip::tcp::acceptor admin(io_);
        BOOST_LEAF_CHECK(listen(caller_acceptor_, options_.caller_address));
        BOOST_LEAF_CHECK(listen(peers, options_.peer_address));
        if (!options_.ready_address.empty())
        {
            BOOST_LEAF_CHECK(listen(ready, options_.ready_address));
            spawn(serve_status(ready, gateway_.log,
                               [this](const status_request&) { return readiness(); }));
        }
        if (!options_.admin_address.empty())
        {
            BOOST_LEAF_CHECK(listen(admin, options_.admin_address));
            spawn(serve_status(admin, gateway_.log,
                               [this](const status_request& request)
                               { return respond_to_admin_request(request); }));
        }
        gateway_.log.write("daemon", "started",
                           {{"callers", options_.caller_address},
                            {"data_centre", options_.data_centre},
                            {"seeds", settings_.seeds.size()}});
        spawn(accept_callers(sessions_, caller_acceptor_));
        spawn(links_.serve(peers));
        spawn(links_.run());
        spawn(adapter_.follow({.io = io_,
                               .replica = replica_,
                               .log = gateway_.log,
                               .on_changes = [this](const std::vector<fleet::entry_change>& changes)
                               { apply_changes(changes); },
                               .must_follow =
                                   [this]
                               {
                                   return links_.must_follow_platform();
                               }}));
        spawn(wait_until_ready());
        spawn(run_maintenance());
        spawn(reload_settings_regularly());
        spawn(wait_for_stop());
        io_.run();
        gateway_.log.write("daemon", "stopped",
                           {{"connections", sessions_.open_count},
                            {"requests_in_progress", gateway_.requests_in_progress}});
        return {};
    }

private:
    void spawn(asio::awaitable<void> task) { asio::co_spawn(io_, std::move(task), asio::detached); }

    asio::awaitable<void> pause(core::duration time)
    {
        asio::steady_timer timer(io_, time);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
    }

    void apply_settings()
    {
        const fleet_bounds& bounds = settings_.bounds;
        gateway_.accounts.tolerance = bounds.account_rate_tolerance;
        gateway_.retry_budget.options = {.ratio = bounds.retry_budget_ratio,
                                         .slack = bounds.retry_budget_slack};
        gateway_.configuration_apply_time = bounds.configuration_apply_time;
        gateway_.probe_budget.options.rate_per_server = bounds.probe_rate_per_server;
        gateway_.backends.options.cold_overage = bounds.cold_overage;
        gateway_.backends.options.cold_slack = bounds.cold_slack;
        links_.set_seeds(settings_.seeds);
        links_.set_data_centres(data_centres_of_fleet());
    }

    // Returns the data centres in which the fleet has daemons, or nothing while they are not known.
    std::optional<std::vector<std::string>> data_centres_of_fleet() const
    {
        if (settings_.data_centres || !gateway_.configuration)
        {
            return settings_.data_centres;
        }
        std::vector<std::string> out;
        for (const config::data_centre& entry : gateway_.configuration->config->data_centres)
        {
            if (entry.region == options_.region)
            {
                out.push_back(entry.name);
            }
        }
        return out;
    }

    hub_link_callbacks link_callbacks()
    {
        return {.on_changes = [this](const std::vector<fleet::entry_change>& changes)
                { apply_changes(changes); },
                .on_fleet_view = [this](const fleet::fleet_view& view) { apply_fleet_view(view); },
                .on_primary_time = [this](core::duration time)
                { limits::advance_pool_clock(gateway_.accounts, time); },
                .take_from_pool = [this](const std::string& account)
                { return limits::take_from_pool(gateway_.accounts, account); },
                .on_late_grant =
                    [this](const late_grant& late)
                {
                    // The grant expires as if it had arrived in time.
                    limits::add_granted(gateway_.accounts, late.account, late.granted.requests,
                                        late.asked_at, core::boot_clock_now());
                },
                .selection_count = [this] { return gateway_.counters.selections; },
                .loads_to_state = [this]
                { return fleet::loads_to_state(gateway_.load_meters, core::boot_clock_now()); },
                .on_fleet_load =
                    [this](admission::fleet_load load)
                {
                    gateway_.fleet_load = std::move(load);
                }};
    }

    void apply_fleet_view(const fleet::fleet_view& view)
    {
        const core::time_point now = core::boot_clock_now();
        limits::set_fleet_size(gateway_.accounts,
                               {.primary_members = view.primary_members,
                                .members_known = view.members_known,
                                .is_size_known = view.is_size_known},
                               now);
        limits::set_standalone(gateway_.accounts, !view.hub_reachable, now);
        gateway_.retry_budget.members = view.members_known;
        gateway_.probe_budget.share = limits::probe_share(
            view.own_selection_rate, view.fleet_selection_rate, view.members_known);
        gateway_.backends.members = view.members;
        gateway_.backends.are_members_known = view.is_size_known;
    }

    // Applies changed entries to the gateway, and forwards them to the subscribers.
    void apply_changes(const std::vector<fleet::entry_change>& changes)
    {
        for (const fleet::entry_change& change : changes)
        {
            apply_change(change);
        }
        set_configuration_current_as_of(gateway_, replica_.current_as_of);
        if (!changes.empty())
        {
            links_.notify_subscribers();
        }
    }

    // Turns readiness on once a configuration is in force. The platform may respond with an old
    // version, which a hub would correct, so a starting daemon first waits up to
    // `first_update_wait` for a hub's update.
    asio::awaitable<void> wait_until_ready()
    {
        const core::time_point started = core::boot_clock_now();
        while (lifecycle_.state() == process_state::starting)
        {
            const bool hubs_consulted = links_.has_received_update() ||
                                        core::boot_clock_now() - started >= first_update_wait;
            if (hubs_consulted && replica_.complete && gateway_.configuration)
            {
                lifecycle_.apply(process_event::became_ready);
                gateway_.log.write("daemon", "ready",
                                   {{"version", gateway_.configuration->config->version},
                                    {"heard_hub", links_.has_received_update()}});
                co_return;
            }
            co_await pause(ready_poll_interval);
        }
    }

    void apply_change(const fleet::entry_change& change)
    {
        const core::time_point now = core::boot_clock_now();
        const published_change meaning = adapter_.decode(change);
        if (const auto* config =
                std::get_if<std::shared_ptr<const config::configuration>>(&meaning))
        {
            apply_configuration(gateway_, *config, now);
            links_.set_data_centres(data_centres_of_fleet());
        }
        else if (const auto* server = std::get_if<routing::listed_backend>(&meaning))
        {
            apply_server_listing(gateway_, *server, now);
        }
        else if (const auto* removed = std::get_if<removed_server>(&meaning))
        {
            remove_server(gateway_, removed->id);
        }
        else if (const auto* data_centre = std::get_if<data_centre_change>(&meaning))
        {
            set_data_centre_in_service(gateway_, data_centre->name, data_centre->in_service, now);
        }
        else if (std::holds_alternative<unreadable_entry>(meaning))
        {
            gateway_.newer_configuration_unreadable = true;
            gateway_.log.write("platform", "unreadable",
                               {{"key", change.key}, {"revision", change.revision}});
        }
    }

    asio::awaitable<void> run_maintenance()
    {
        core::time_point log_counters_at = core::boot_clock_now() + counters_log_interval;
        while (true)
        {
            co_await pause(maintenance_interval);
            const core::time_point now = core::boot_clock_now();
            apply_changes(fleet::apply_held_changes(replica_, now));
            maintain(gateway_, now);
            if (now >= log_counters_at)
            {
                log_counters_at = now + counters_log_interval;
                log_counters();
            }
        }
    }

    void log_counters()
    {
        const gateway_counters& requests = gateway_.counters;
        const auto& probes = gateway_.backend_connections.counters.probes;
        gateway_.log.write(
            "daemon", "counters",
            {{"requests", requests.requests},
             {"repeats", requests.repeats},
             {"selections", requests.selections},
             {"selection_probes", probes.at(static_cast<std::size_t>(probe_purpose::selection))},
             {"unprobed_selections", requests.unprobed_selections},
             {"trial_probes", probes.at(static_cast<std::size_t>(probe_purpose::trial))},
             {"grant_timeouts", links_.counters().grant_timeouts},
             {"peer_bytes_in", links_.counters().bytes_in},
             {"peer_bytes_out", links_.counters().bytes_out}});
    }

    asio::awaitable<void> reload_settings_regularly()
    {
        asio::signal_set hangup(io_, SIGHUP);
        asio::steady_timer timer(io_);
        while (options_.reload)
        {
            timer.expires_after(settings_reload_interval);
            hangup.async_wait(
                [&timer](const error_code& error, int)
                {
                    if (!error)
                    {
                        timer.cancel();
                    }
                });
            error_code interrupted;
            co_await timer.async_wait(redirect_error_to(interrupted));
            hangup.cancel();
            const bool read = reload();
            if (read && interrupted)
            {
                gateway_.log.write("daemon", "reloaded", {{"seeds", settings_.seeds.size()}});
            }
        }
    }

    // Returns whether the settings were read and applied.
    bool reload()
    {
        const auto refuse = [this](const std::string& why)
        {
            gateway_.log.write("daemon", "settings_refused", {{"error", why}});
            return false;
        };
        return boost::leaf::try_handle_all(
            [&]() -> core::result<bool>
            {
                BOOST_LEAF_ASSIGN(settings_, options_.reload());
                apply_settings();
                return true;
            },
            [&](const core::document_error& error) { return refuse(core::to_string(error)); },
            [&](const core::file_error& error) { return refuse(core::to_string(error)); },
            [&] { return refuse("internal error: unexpected error while reading the settings"); });
    }

    asio::awaitable<void> wait_for_stop()
    {
        asio::signal_set signals(io_, SIGTERM, SIGINT);
        error_code error;
        co_await signals.async_wait(redirect_error_to(error));
        co_await stop();
    }

    // Readiness is turned off first. New callers are served until the platform's balancer has
    // noticed, and then those whose response leaves before the exit.
    asio::awaitable<void> stop()
    {
        const core::time_point requested_at = core::boot_clock_now();
        const auto schedule = admission::plan_stop(requested_at, settings_.stop_grace);
        lifecycle_.apply(process_event::stop_requested);
        gateway_.close_after_response = true;
        gateway_.stop = schedule;
        gateway_.log.write(
            "daemon", "stopping",
            {{"requests_in_progress", gateway_.requests_in_progress},
             {"announced_ms", core::to_milliseconds(schedule.announced_until - requested_at)},
             {"exit_ms", core::to_milliseconds(schedule.exit_at - requested_at)}});
        co_await pause(schedule.announced_until - requested_at);
        lifecycle_.apply(process_event::announcement_finished);
        close_idle_sessions(sessions_);
        while (core::boot_clock_now() < schedule.exit_at)
        {
            if (sessions_.open_count == 0 && stop_accepting(sessions_, caller_acceptor_))
            {
                break;
            }
            co_await pause(stop_poll_interval);
            close_idle_sessions(sessions_);
        }
        lifecycle_.apply(process_event::work_finished);
        io_.stop();
    }

    status_response readiness() const
    {
        const bool ready = lifecycle_.state() == process_state::serving;
        return ready ? status_response{200, "text/plain", "ready\n"}
                     : status_response{503, "text/plain", "not ready\n"};
    }

    bool has_admin_credential(const status_request& request) const
    {
        const std::string expected = "Bearer " + options_.admin_credential;
        return !options_.admin_credential.empty() &&
               core::equal_in_constant_time(core::sha256(request.authorization),
                                            core::sha256(expected));
    }

    status_response respond_to_admin_request(const status_request& request) const
    {
        if (request.path == "/metrics")
        {
            return {200, "text/plain; version=0.0.4", metrics()};
        }
        if (request.path == "/healthz")
        {
            return {200, "text/plain", "ok\n"};
        }
        if (request.path == "/readyz")
        {
            return readiness();
        }
        if (!has_admin_credential(request))
        {
            return {401, "application/json", R"({"error":"unauthorized"})"};
        }
        if (request.path == "/state")
        {
            return {.body = boost::json::serialize(dump())};
        }
        return {404, "application/json", R"({"error":"unknown_path"})"};
    }

    std::string metrics() const
    {
        return print_metrics(gateway_, {.caller_connections = sessions_.open_count,
                                        .platform_calls = adapter_.call_count(),
                                        .store_era = replica_.era.value_or(0),
                                        .replica_revision = replica_.revision,
                                        .peer_bytes_in = links_.counters().bytes_in,
                                        .peer_bytes_out = links_.counters().bytes_out,
                                        .peer_snapshots_out = links_.counters().snapshots_out,
                                        .grant_timeouts = links_.counters().grant_timeouts,
                                        .now = core::boot_clock_now()});
    }

    boost::json::object dump() const
    {
        const core::time_point now = core::boot_clock_now();
        boost::json::object out = net::dump(gateway_, now);
        out["process_state"] = to_string(lifecycle_.state());
        out["caller_connections"] = sessions_.open_count;
        out["peers"] = links_.dump();
        out["replica"] = {{"era", replica_.era.value_or(0)},
                          {"revision", replica_.revision},
                          {"entries", replica_.entries.size()},
                          {"held", replica_.held.size()},
                          {"age_ms", core::to_milliseconds(now - replica_.current_as_of)}};
        return out;
    }

    const daemon_options& options_;
    const platform_adapter& adapter_;
    reloadable_settings settings_;
    asio::io_context io_{1};
    process_lifecycle lifecycle_;
    gateway gateway_;
    caller_sessions sessions_;
    asio::ip::tcp::acceptor caller_acceptor_{io_};
    fleet::replica replica_;
    hub_links links_;
};

} // namespace

std::string to_string(const listen_error& error)
{
    return "cannot listen on " + error.address + ": " +
           std::generic_category().message(error.error_number);
}

core::result<void> run_daemon(const daemon_options& options, const platform_adapter& adapter)
{
    if (options.memory_bytes > 0)
    {
        return_large_blocks_to_system();
    }
    const auto process = std::make_unique<daemon>(options, adapter);
    return process->run();
}

} // namespace zinniaferry::net
