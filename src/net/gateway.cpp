#include "net/gateway.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace zinniaferry::net
{

namespace
{

constexpr core::duration trial_probe_limit = std::chrono::milliseconds(100);

// A suspect server gets requests again once it answers a probe well. Its requests may fail while
// its probes pass; then it is suspect again after a few, for twice as long.
asio::awaitable<void> try_suspect(gateway& gateway, routing::backend_pointer server)
{
    backend_connection_pointer connection = co_await gateway.pool.connect(*server);
    if (!connection)
    {
        co_return;
    }
    const probe_result result = co_await gateway.pool.probe(
        connection, server->listed.id, health_path(gateway, server->listed.service),
        trial_probe_limit);
    if (!result.answered || !result.right_server || !result.healthy)
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
        routing::on_reading(gateway.backends, *server, *result.load, result.warmup_left);
    }
    gateway.pool.put_back(*server, connection);
}

} // namespace

gateway::gateway(asio::io_context& context, http_profile http, gateway_options how)
    : io(context), profile(std::move(http)), options(std::move(how)), pool(io, profile),
      log({.vm = options.vm, .enabled = options.log_events}), random(options.random_seed)
{
    backends.options.self = options.vm;
    backends.options.data_centre = options.data_centre;
}

bool apply_configuration(gateway& gateway, std::shared_ptr<const config::configuration> config,
                         core::time_point now)
{
    const std::uint64_t present =
        gateway.configuration ? gateway.configuration->config->version : 0;
    if (gateway.configuration && config->version <= present)
    {
        return false;
    }
    gateway.log.write("configuration", "in_force",
                      {{"version", config->version}, {"before", present}});
    limits::apply_configuration(gateway.accounts, *config, now);
    for (const config::service& service : config->services)
    {
        routing::service_pace& pace = gateway.backends.pace[service.name];
        pace.warmup_rate = service.warmup_rate;
        pace.warmup = service.warmup;
    }
    gateway.configuration =
        std::make_shared<const config::index>(config::make_index(std::move(config)));
    return true;
}

void set_members(gateway& gateway, std::vector<std::string> members, std::size_t known)
{
    gateway.repeats.members = std::max(members.size(), known);
    gateway.backends.members = std::move(members);
}

void maintain(gateway& gateway, core::time_point now)
{
    for (routing::backend_pointer& server : routing::due_probes(gateway.backends, now))
    {
        asio::co_spawn(gateway.io, try_suspect(gateway, std::move(server)), asio::detached);
    }
    gateway.pool.close_unused(gateway.backends, now);
}

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

} // namespace zinniaferry::net
