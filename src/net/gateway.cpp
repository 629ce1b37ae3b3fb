#include "net/gateway.hpp"

#include "admission/prioritised_services.hpp"
#include "net/await_error.hpp"
#include "net/load_output.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace zinniaferry::net
{

namespace
{

constexpr core::duration suspect_probe_timeout = std::chrono::milliseconds(100);
/// Retry-After of requests that an outdated configuration does not know. Another daemon may know
/// them, and callers retry on new connections.
constexpr core::duration outdated_retry_after = std::chrono::milliseconds(250);

/// How long a request that its account's reserve does not cover waits for a late grant. A hub that
/// encodes a large configuration on a small VM answers late.
constexpr core::duration max_late_grant_wait = std::chrono::milliseconds(80);
constexpr core::duration late_grant_poll_interval = std::chrono::milliseconds(10);

// Returns the path on which a service's servers are probed.
std::string health_path(const gateway& gateway, const std::string& service)
{
    if (gateway.configuration)
    {
        const auto found = gateway.configuration->services.find(service);
        if (found != gateway.configuration->services.end())
        {
            return found->second->health_path;
        }
    }
    return "/health";
}

void log_notice_changes(gateway& gateway, const std::vector<routing::notice_change>& changes)
{
    for (const routing::notice_change& change : changes)
    {
        boost::json::object fields = {{"server", change.server.id},
                                      {"incarnation", change.server.incarnation},
                                      {"notice", routing::to_string(change.kind)},
                                      {"source", routing::to_string(change.source)},
                                      {"age_ms", core::to_milliseconds(change.age)}};
        if (change.ended)
        {
            fields["why"] = routing::to_string(*change.ended);
        }
        else
        {
            fields["for_ms"] = core::to_milliseconds(change.lifetime_left);
        }
        gateway.log.write("servers", change.ended ? "notice_ended" : "notice_began", fields);
    }
}

// A suspect server gets requests again once it passes a probe. If its requests still fail although
// its probes pass, it becomes suspect again after a few of them, for twice as long.
asio::awaitable<void> probe_suspect(gateway& gateway, routing::backend_pointer server)
{
    backend_connection_pointer connection = co_await gateway.backend_connections.connect(*server);
    if (!connection || routing::is_withheld(gateway.backends, *server, core::boot_clock_now()))
    {
        co_return;
    }
    const probe_result result = co_await send_probe(gateway, *server, connection,
                                                    probe_purpose::trial, suspect_probe_timeout);
    if (!result.answered || !result.is_expected_server || !result.healthy)
    {
        co_return;
    }
    if (server->state == routing::backend_state::suspect)
    {
        routing::on_trial_passed(*server);
        gateway.log.write("servers", "trial_passed", {{"server", server->listed.id}});
    }
    if (result.load)
    {
        routing::on_load_reading(*server, *result.load, result.warmup_left);
    }
    gateway.backend_connections.put_back(*server, connection);
}

// Waits for a grant that the hub sends late, or that another request leaves. Returns whether one
// was taken.
asio::awaitable<bool> take_late_grant(gateway& gateway, const std::string& account)
{
    asio::steady_timer timer(gateway.io);
    for (core::duration waited{}; waited < max_late_grant_wait; waited += late_grant_poll_interval)
    {
        timer.expires_after(late_grant_poll_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
        if (limits::take_granted(gateway.accounts, account, core::boot_clock_now()))
        {
            co_return true;
        }
    }
    co_return false;
}

routing::listed_backend to_listing(const config::service& service,
                                   const config::backend_server& server)
{
    return {.id = server.name,
            .service = service.name,
            .address = server.address,
            .data_centre = server.data_centre,
            .slots = service.slots,
            .draining = server.leaving};
}

// Applies the data centres and servers listed in the configuration itself. Some platforms publish
// them separately from the configuration.
void apply_topology(gateway& gateway, const config::configuration& config, core::time_point now)
{
    for (const config::data_centre& entry : config.data_centres)
    {
        set_data_centre_in_service(gateway, entry.name, entry.in_service, now);
    }
    std::unordered_set<std::string> listed;
    for (const config::service& service : config.services)
    {
        for (const config::backend_server& server : service.servers)
        {
            apply_server_listing(gateway, to_listing(service, server), now);
            listed.insert(server.name);
        }
    }
    for (const std::string& id : gateway.configured_servers)
    {
        if (!listed.contains(id))
        {
            remove_server(gateway, id);
        }
    }
    gateway.configured_servers = std::move(listed);
}

// Erases what was learned of routes and services that are not in the configuration in force.
void erase_dropped(gateway& gateway)
{
    const config::configuration_index& index = *gateway.configuration;
    std::unordered_set<std::string> routes;
    for (const config::route& route : index.config->routes)
    {
        routes.insert(route.host + route.prefix);
    }
    std::erase_if(gateway.route_statistics_by_name,
                  [&](const auto& entry) { return !routes.contains(entry.first); });
    std::erase_if(gateway.overloads,
                  [&](const auto& entry) { return !index.services.contains(entry.first); });
    std::erase_if(
        gateway.waiters, [&](const auto& entry)
        { return entry.second.queue.waiters.empty() && !index.services.contains(entry.first); });
    std::erase_if(gateway.priority_admissions, [&](const auto& entry)
                  { return !gateway.prioritised_services.contains(entry.first); });
    std::erase_if(gateway.load_meters,
                  [&](const auto& entry)
                  {
                      const admission::service_load& load = entry.second.averages;
                      const bool is_idle = load.running == 0.0 && load.waiting == 0.0;
                      return is_idle && !index.services.contains(entry.first);
                  });
}

} // namespace

gateway::gateway(asio::io_context& io_context, http_profile header_profile,
                 gateway_options initial_options)
    : io(io_context), profile(std::move(header_profile)), options(std::move(initial_options)),
      bodies(std::make_shared<body_room>(io_context, options.memory_bytes)),
      backend_connections(io, profile), log(options.log), random(options.random_seed)
{
    accounts.random.seed(random());
    backends.options.own_name = options.vm;
    backends.options.data_centre = options.data_centre;
    backend_connections.bodies = bodies;
    backend_connections.on_notice = [this](const routing::server_lifetime& server,
                                           const parsed_notice& parsed,
                                           routing::notice_source source)
    {
        record_server_notice(*this, server, parsed, source);
    };
}

bool apply_configuration(gateway& gateway, std::shared_ptr<const config::configuration> config,
                         core::time_point now)
{
    const std::uint64_t current_version =
        gateway.configuration ? gateway.configuration->config->version : 0;
    if (gateway.configuration && config->version <= current_version)
    {
        return false;
    }
    gateway.newer_configuration_unreadable = false;
    gateway.log.write("configuration", "in_force",
                      {{"version", config->version}, {"before", current_version}});
    gateway.accounts.region_share = config::region_share(*config, gateway.options.region);
    limits::apply_configuration(gateway.accounts, *config, now);
    for (const config::service& service : config->services)
    {
        routing::service_state& state = gateway.backends.service_states[service.name];
        state.warmup_rate = service.warmup_rate;
        state.warmup = service.warmup;
    }
    apply_topology(gateway, *config, now);
    gateway.prioritised_services = admission::prioritised_services(*config);
    gateway.configuration = std::make_shared<const config::configuration_index>(
        config::make_configuration_index(std::move(config)));
    erase_dropped(gateway);
    for (const std::function<void()>& notify : std::exchange(gateway.on_first_configuration, {}))
    {
        notify();
    }
    return true;
}

void set_configuration_current_as_of(gateway& gateway, core::time_point time)
{
    if (!gateway.newer_configuration_unreadable)
    {
        gateway.configuration_current_as_of = time;
    }
}

core::duration configuration_age(const gateway& gateway, core::time_point now)
{
    return std::max(core::duration::zero(), now - gateway.configuration_current_as_of);
}

request::refusal refuse_unknown(const gateway& gateway, request::refusal_reason reason,
                                core::time_point now)
{
    if (configuration_age(gateway, now) <= gateway.configuration_apply_time)
    {
        return {.reason = reason};
    }
    return {request::refusal_reason::configuration_outdated, outdated_retry_after};
}

void apply_server_listing(gateway& gateway, const routing::listed_backend& server,
                          core::time_point now)
{
    const auto known = gateway.backends.by_id.find(server.id);
    const bool changed = known == gateway.backends.by_id.end() || known->second->listed != server;
    log_notice_changes(gateway,
                       routing::end_earlier_lifetimes(gateway.backends.notices,
                                                      {server.id, server.incarnation}, now));
    routing::apply_listing(gateway.backends, server, now);
    gateway.probe_budget.servers = gateway.backends.by_id.size();
    if (changed)
    {
        gateway.log.write("servers", "listed",
                          {{"server", server.id},
                           {"service", server.service},
                           {"incarnation", server.incarnation},
                           {"draining", server.draining},
                           {"warmup_ms", core::to_milliseconds(server.warmup_left)}});
    }
}

void remove_server(gateway& gateway, const std::string& id)
{
    routing::remove_listing(gateway.backends, id);
    gateway.probe_budget.servers = gateway.backends.by_id.size();
    gateway.log.write("servers", "removed", {{"server", id}});
}

void set_data_centre_in_service(gateway& gateway, const std::string& name, bool in_service,
                                core::time_point now)
{
    std::unordered_set<std::string> out = gateway.backends.data_centres_out_of_service;
    if (in_service != out.contains(name))
    {
        return;
    }
    if (in_service)
    {
        out.erase(name);
    }
    else
    {
        out.insert(name);
    }
    gateway.log.write("servers", in_service ? "data_centre_in" : "data_centre_out",
                      {{"data_centre", name}});
    routing::set_data_centres_out_of_service(gateway.backends, std::move(out), now);
}

boost::json::object dump(const gateway& gateway, core::time_point now)
{
    boost::json::object out;
    out["vm"] = gateway.options.vm;
    out["configuration_version"] =
        gateway.configuration ? gateway.configuration->config->version : 0;
    out["requests"] = gateway.counters.requests;
    std::uint64_t refused = 0;
    for (const std::uint64_t count : gateway.counters.refused)
    {
        refused += count;
    }
    out["refused"] = refused;
    out["requests_in_progress"] = gateway.requests_in_progress;
    out["idle_backend_connections"] = gateway.backend_connections.idle_count();
    out["members"] = gateway.backends.members.size();
    out["limits"] = limits::dump(gateway.accounts);
    out["servers"] = routing::dump(gateway.backends, now);
    out["loads"] = dump_loads(gateway, now);
    return out;
}

asio::awaitable<limits::grant> acquire_grant(gateway& gateway, std::string account)
{
    limits::account_pools& pools = gateway.accounts;
    if (!limits::is_limited(pools, account) ||
        limits::take_granted(pools, account, core::boot_clock_now()))
    {
        co_return limits::grant{.requests = 1};
    }
    std::optional<limits::grant> granted;
    if (gateway.request_hub_grant)
    {
        granted = co_await gateway.request_hub_grant(account);
    }
    const core::time_point now = core::boot_clock_now();
    if (!granted)
    {
        const limits::grant own = limits::take_standalone(pools, account, now);
        if (own.requests == 0 && !pools.standalone)
        {
            const bool late = co_await take_late_grant(gateway, account);
            co_return late ? limits::grant{.requests = 1} : own;
        }
        co_return own;
    }
    if (granted->requests > 1)
    {
        limits::add_granted(pools, account, granted->requests - 1, now, now);
    }
    co_return limits::grant{.requests = std::min(granted->requests, 1U),
                            .retry_after = granted->retry_after,
                            .source = granted->source};
}

void record_server_notice(gateway& gateway, const routing::server_lifetime& server,
                          const parsed_notice& parsed, routing::notice_source source)
{
    for (const ignored_header& header : parsed.ignored)
    {
        gateway.log.write("servers", "notice_ignored",
                          {{"server", server.id},
                           {"incarnation", server.incarnation},
                           {"source", routing::to_string(source)},
                           {"header", header.name},
                           {"value", header.value}});
    }
    log_notice_changes(gateway,
                       routing::record_notice(gateway.backends.notices, server, parsed.notice,
                                              source, core::boot_clock_now()));
}

void maintain(gateway& gateway, core::time_point now)
{
    log_notice_changes(gateway, routing::expire(gateway.backends.notices, now));
    for (routing::backend_pointer& server : routing::take_due_probes(gateway.backends, now))
    {
        if (limits::may_send_trial(gateway.probe_budget, now))
        {
            asio::co_spawn(gateway.io, probe_suspect(gateway, std::move(server)), asio::detached);
        }
    }
    gateway.backend_connections.close_stale(gateway.backends, now);
}

std::shared_ptr<route_statistics> statistics_of(gateway& gateway, const config::route& route)
{
    std::shared_ptr<route_statistics>& statistics =
        gateway.route_statistics_by_name[route.host + route.prefix];
    if (!statistics)
    {
        statistics = std::make_shared<route_statistics>();
    }
    return statistics;
}

asio::awaitable<probe_result> send_probe(gateway& gateway, const routing::backend& server,
                                         backend_connection_pointer connection,
                                         probe_purpose purpose, core::duration timeout)
{
    limits::on_probe_sent(gateway.probe_budget, core::boot_clock_now());
    return gateway.backend_connections.probe(std::move(connection),
                                             {.server_id = server.listed.id,
                                              .path = health_path(gateway, server.listed.service),
                                              .timeout = timeout,
                                              .purpose = purpose});
}

} // namespace zinniaferry::net
