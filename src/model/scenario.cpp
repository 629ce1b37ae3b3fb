#include "model/scenario.hpp"

#include "model/callers.hpp"
#include "model/operator.hpp"

namespace zinniaferry::model
{

namespace
{

constexpr core::duration mean_pause = std::chrono::milliseconds(1500);

core::duration between(world& world, double low_s, double high_s)
{
    return core::from_seconds(low_s + (high_s - low_s) * core::uniform(world.random));
}

std::size_t any_daemon(world& world)
{
    return core::uniform_index(world.random, world.daemons.size());
}

void record_disturbance(world& world, std::size_t daemon, core::duration time)
{
    world.history.daemon_disturbances[daemon].push_back({world.queue.now, world.queue.now + time});
}

void end_store_outage(world& world, const std::vector<std::size_t>& daemons)
{
    world.store_down = false;
    for (const std::size_t daemon : daemons)
    {
        set_out_of_reach(world.store, daemon, false);
    }
}

void begin_store_outage(world& world, const std::vector<std::size_t>& daemons)
{
    const core::duration time = between(world, 0.5, 6.0);
    for (const std::size_t daemon : daemons)
    {
        set_out_of_reach(world.store, daemon, true);
        record_disturbance(world, daemon, time);
    }
    schedule(world.queue, world.queue.now + time,
             [&world, daemons] { end_store_outage(world, daemons); });
}

void lose_store_for_all(world& world)
{
    if (world.store_down)
    {
        return;
    }
    std::vector<std::size_t> all(world.daemons.size());
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        all[i] = i;
    }
    world.store_down = true;
    begin_store_outage(world, all);
}

void lose_store_for_some(world& world)
{
    std::vector<std::size_t> some;
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        if (core::uniform(world.random) < 0.5)
        {
            some.push_back(i);
        }
    }
    if (!world.store_down)
    {
        begin_store_outage(world, some);
    }
}

// The links between the sides are cut, so no daemon is in touch meanwhile.
void split_network(world& world)
{
    const core::duration time = between(world, 0.3, 6.0);
    std::vector<std::uint32_t> sides(world.daemons.size() + 1, 0);
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        sides[i] = core::uniform(world.random) < 0.4 ? 1 : 0;
        record_disturbance(world, i, time);
    }
    set_sides(world.net, world.queue, sides);
    schedule(world.queue, world.queue.now + time,
             [&world] {
                 set_sides(world.net, world.queue,
                           std::vector<std::uint32_t>(world.daemons.size() + 1, 0));
             });
}

void suspend_some(world& world)
{
    for (int i = 0; i < 2; ++i)
    {
        const std::size_t daemon = any_daemon(world);
        const core::duration time = between(world, 0.2, 4.0);
        if (world.queue.now >= world.daemons[daemon].suspended_until)
        {
            suspend(world, daemon, time);
            record_disturbance(world, daemon, time);
        }
    }
}

void kill_for(world& world, std::size_t daemon, core::duration time)
{
    if (!world.daemons[daemon].running)
    {
        return;
    }
    record_disturbance(world, daemon, time);
    kill_process(world, daemon);
    schedule(world.queue, world.queue.now + time,
             [&world, daemon] { start_process(world, daemon); });
}

void kill_one(world& world)
{
    kill_for(world, any_daemon(world), between(world, 0.1, 3.0));
}

void kill_first_hub(world& world)
{
    kill_for(world, 0, between(world, 0.1, 3.0));
}

void kill_fleet(world& world)
{
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        kill_for(world, i, between(world, 0.2, 1.5));
    }
}

void slow_some_links(world& world)
{
    const std::size_t daemon = any_daemon(world);
    const core::duration time = between(world, 0.5, 5.0);
    record_disturbance(world, daemon, time);
    world.net.delay_factor[daemon] = 1.0 + 60.0 * core::uniform(world.random);
    schedule(world.queue, world.queue.now + time,
             [&world, daemon] { world.net.delay_factor[daemon] = 1.0; });
}

void publish_burst(world& world)
{
    core::duration delay{};
    for (int i = 0; i < 3; ++i)
    {
        schedule(world.queue, world.queue.now + delay, [&world] { publish_configuration(world); });
        delay += between(world, 0.05, 0.6);
    }
}

void start_storm(world& world)
{
    const auto& account = accounts[core::uniform_index(world.random, std::size(accounts))];
    world.storms[account.name] = world.queue.now + between(world, 1.0, 7.0);
}

std::string any_server(world& world)
{
    auto found = world.servers.begin();
    std::advance(found, core::uniform_index(world.random, world.servers.size()));
    return found->first;
}

void restart_any_server(world& world)
{
    const backend_server& server = world.servers.at(any_server(world));
    const std::string key = std::string(server_key_prefix) + server.id;
    const auto listed = world.store.entries.find(key);
    const bool leaving =
        listed == world.store.entries.end() || world.listings.at(*listed->second.value).draining;
    if (!leaving)
    {
        restart_server(world, server.id);
    }
}

void make_servers_fail(world& world)
{
    for (int i = 0; i < 3; ++i)
    {
        world.servers.at(any_server(world)).failing_until =
            world.queue.now + between(world, 0.3, 3.0);
    }
}

void make_service_fail(world& world)
{
    const std::string service = world.servers.at(any_server(world)).service;
    const core::time_point until = world.queue.now + between(world, 0.5, 5.0);
    for (auto& [id, server] : world.servers)
    {
        if (server.service == service)
        {
            server.failing_until = until;
        }
    }
}

void evacuate_any(world& world)
{
    const std::string name = data_centre_name(core::uniform_index(world.random, data_centre_count));
    if (!world.store.entries.contains(std::string(evacuation_key_prefix) + name))
    {
        evacuate(world, name, between(world, 1.0, 12.0));
    }
}

using event = void (*)(world&);

/// Repeated events are more frequent.
constexpr event events[] = {lose_store_for_all,
                            lose_store_for_some,
                            split_network,
                            suspend_some,
                            kill_one,
                            kill_first_hub,
                            kill_fleet,
                            slow_some_links,
                            publish_burst,
                            publish_configuration,
                            publish_configuration,
                            publish_configuration,
                            start_storm,
                            start_storm,
                            restart_any_server,
                            restart_any_server,
                            make_servers_fail,
                            make_service_fail,
                            evacuate_any};

} // namespace

void schedule_scenario(world& world, core::time_point begin, core::time_point end)
{
    core::time_point at = begin;
    while (at < end)
    {
        const event next = events[core::uniform_index(world.random, std::size(events))];
        schedule(world.queue, at, [&world, next] { next(world); });
        at += between(world, 0.0, 2.0 * core::to_seconds(mean_pause));
    }
}

} // namespace zinniaferry::model
