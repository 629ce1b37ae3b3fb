#include "model/hub_connections.hpp"
#include "model/hub_links.hpp"
#include "model/store_follower.hpp"
#include "model/world.hpp"

#include <charconv>
#include <set>

namespace zinniaferry::model
{

namespace
{

constexpr core::duration maintenance_interval = std::chrono::milliseconds(500);
constexpr core::duration ready_poll_interval = std::chrono::milliseconds(20);
constexpr core::duration first_update_wait = std::chrono::milliseconds(700);
/// How late the injection apply_older_version puts the older configuration in force.
constexpr core::duration older_version_delay = std::chrono::milliseconds(2200);
/// Retries that a daemon may save up with the injection unlimited_retries.
constexpr double unlimited = 1.0e9;

void apply_bounds(process& process, const bounds& bounds, injection injected)
{
    net::gateway& gateway = *process.gateway;
    gateway.accounts.tolerance = {.overage = bounds.quota_overage,
                                  .slack = bounds.quota_slack,
                                  .window = bounds.quota_window};
    gateway.retry_budget.options = {.ratio = bounds.retry_ratio, .slack = bounds.retry_slack};
    if (injected == injection::unlimited_retries)
    {
        gateway.retry_budget.options = {.ratio = unlimited, .slack = unlimited};
    }
    gateway.backends.options.cold_overage = bounds.warmup_overage;
    gateway.backends.options.cold_slack = bounds.warmup_slack;
    gateway.backends.are_members_known = false;
}

std::vector<std::string> seed_addresses(const world& world)
{
    std::vector<std::string> out;
    for (const std::size_t seed : world.seeds)
    {
        out.push_back(world.daemons[seed].identity.address);
    }
    return out;
}

std::vector<std::string> data_centres(const world& world)
{
    std::set<std::string> names;
    for (const daemon& entry : world.daemons)
    {
        names.insert(entry.data_centre);
    }
    return {names.begin(), names.end()};
}

void apply_configuration_entry(world& world, std::size_t daemon, const std::string& value)
{
    process& process = *world.daemons[daemon].running;
    std::size_t index = 0;
    std::from_chars(value.data(), value.data() + value.size(), index);
    const auto before = process.gateway->configuration;
    if (!net::apply_configuration(*process.gateway,
                                  world.history.configurations.at(index).index->config,
                                  world.queue.now))
    {
        return;
    }
    process.previous_configuration = before;
    process.configuration_applied_at = world.queue.now;
    if (world.injected == injection::apply_older_version && before)
    {
        run_after(world, daemon, older_version_delay,
                  [&process, before] { process.gateway->configuration = before; });
    }
}

void apply_server_entry(world& world, net::gateway& gateway, const fleet::entry_change& change)
{
    if (change.value)
    {
        routing::listed_backend listed = world.listings.at(*change.value);
        listed.draining = listed.draining && world.injected != injection::ignore_draining;
        net::apply_server_listing(gateway, listed, world.queue.now);
    }
    else if (world.injected != injection::ignore_tombstones)
    {
        net::remove_server(gateway, change.key.substr(server_key_prefix.size()));
    }
}

void apply_change(world& world, std::size_t daemon, const fleet::entry_change& change)
{
    net::gateway& gateway = *world.daemons[daemon].running->gateway;
    if (change.key == configuration_key && change.value)
    {
        apply_configuration_entry(world, daemon, *change.value);
    }
    else if (change.key.starts_with(server_key_prefix))
    {
        apply_server_entry(world, gateway, change);
    }
    else if (change.key.starts_with(evacuation_key_prefix) &&
             world.injected != injection::ignore_evacuation)
    {
        net::set_data_centre_in_service(gateway, change.key.substr(evacuation_key_prefix.size()),
                                        !change.value, world.queue.now);
    }
}

void check_readiness(world& world, std::size_t daemon, core::time_point started)
{
    process& process = *world.daemons[daemon].running;
    const bool hubs_consulted =
        process.received_update || world.queue.now - started >= first_update_wait;
    process.ready = hubs_consulted && process.replica.complete && process.gateway->configuration;
    if (!process.ready)
    {
        run_after(world, daemon, ready_poll_interval,
                  [&world, daemon, started] { check_readiness(world, daemon, started); });
    }
}

// Trial probes of suspect servers succeed when the server is up and does not fail.
void maintain(world& world, std::size_t daemon)
{
    process& process = *world.daemons[daemon].running;
    apply_changes(world, daemon, fleet::apply_held_changes(process.replica, world.queue.now));
    for (const auto& server : routing::take_due_probes(process.gateway->backends, world.queue.now))
    {
        const backend_server& target = world.servers.at(server->listed.id);
        if (target.up && world.queue.now >= target.failing_until)
        {
            routing::on_trial_passed(*server);
        }
    }
    run_after(world, daemon, maintenance_interval, [&world, daemon] { maintain(world, daemon); });
}

// Postpones the action by the suspensions since it was scheduled, in which the steady clock
// stopped.
void run_by_steady_clock(world& world, std::size_t daemon, core::time_point at, action run)
{
    const core::duration suspension = world.daemons[daemon].total_suspension;
    run_at(world, daemon, at,
           [&world, daemon, at, suspension, run = std::move(run)]
           {
               const core::duration missed = world.daemons[daemon].total_suspension - suspension;
               if (missed > core::duration::zero())
               {
                   run_by_steady_clock(world, daemon, at + missed, run);
                   return;
               }
               run();
           });
}

} // namespace

node store_node(const world& world)
{
    return world.daemons.size();
}

void run_at(world& world, std::size_t daemon, core::time_point at, action run)
{
    if (!world.daemons[daemon].running)
    {
        return;
    }
    const std::uint64_t number = world.daemons[daemon].running->number;
    schedule(world.queue, at,
             [&world, daemon, number, run = std::move(run)]
             {
                 const model::daemon& target = world.daemons[daemon];
                 if (!target.running || target.running->number != number)
                 {
                     return;
                 }
                 if (world.queue.now < target.suspended_until)
                 {
                     run_at(world, daemon, target.suspended_until, run);
                     return;
                 }
                 run();
             });
}

void run_after(world& world, std::size_t daemon, core::duration delay, action run)
{
    run_by_steady_clock(world, daemon, world.queue.now + delay, std::move(run));
}

void send_to_daemon(world& world, std::size_t from, std::size_t to, std::size_t bytes, action run)
{
    if (!world.daemons[to].running)
    {
        return;
    }
    const std::uint64_t number = world.daemons[to].running->number;
    send(world.net, world.queue, from, to, bytes,
         [&world, to, number, run = std::move(run)]
         {
             const model::daemon& target = world.daemons[to];
             if (target.running && target.running->number == number)
             {
                 run_at(world, to, world.queue.now, run);
             }
         });
}

void start_process(world& world, std::size_t daemon)
{
    model::daemon& target = world.daemons[daemon];
    target.running = std::make_unique<process>();
    process& process = *target.running;
    process.number = world.next_process++;
    process.gateway =
        std::make_unique<net::gateway>(world.io, net::http_profile(),
                                       net::gateway_options{.vm = target.identity.vm,
                                                            .data_centre = target.data_centre,
                                                            .log = {.enabled = false},
                                                            .random_seed = world.random()});
    apply_bounds(process, world.bounds, world.injected);
    process.hubs.own_address = target.identity.address;
    process.registry.self = target.identity;
    process.registry.started = world.queue.now;
    process.registry.data_centres = data_centres(world);
    fleet::set_seeds(process.hubs, seed_addresses(world));
    check_hubs(world, daemon);
    follow_store(world, daemon);
    check_readiness(world, daemon, world.queue.now);
    run_after(world, daemon, maintenance_interval, [&world, daemon] { maintain(world, daemon); });
}

void kill_process(world& world, std::size_t daemon)
{
    if (world.daemons[daemon].running)
    {
        close_all_connections(world, daemon);
        world.daemons[daemon].running.reset();
    }
}

void suspend(world& world, std::size_t daemon, core::duration time)
{
    model::daemon& target = world.daemons[daemon];
    target.suspended_until = world.queue.now + time;
    target.total_suspension += time;
}

void apply_changes(world& world, std::size_t daemon,
                   const std::vector<fleet::entry_change>& changes)
{
    for (const fleet::entry_change& change : changes)
    {
        apply_change(world, daemon, change);
    }
    const process& process = *world.daemons[daemon].running;
    net::set_configuration_current_as_of(*process.gateway, process.replica.current_as_of);
    if (!changes.empty())
    {
        notify_subscribers(world, daemon);
    }
}

} // namespace zinniaferry::model
