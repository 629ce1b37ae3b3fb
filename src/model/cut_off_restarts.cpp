#include "model/cut_off_restarts.hpp"

#include "model/callers.hpp"
#include "model/operator.hpp"

namespace zinniaferry::model
{

namespace
{

constexpr double shortest_cut_s = 4.0;
constexpr double longest_cut_s = 12.0;
/// Time after a partition in which the fleet comes back.
constexpr double shortest_pause_s = 5.0;
constexpr double longest_pause_s = 8.0;
/// From the beginning of a partition to the kill.
constexpr double latest_kill_s = 2.0;
constexpr double shortest_absence_s = 0.2;
constexpr double longest_absence_s = 1.0;
constexpr std::size_t max_seeds = 3;
constexpr double largest_share = 0.35; ///< Of the daemons that are cut off.

core::duration between(core::random_generator& random, double low_s, double high_s)
{
    return core::from_seconds(low_s + (high_s - low_s) * core::uniform(random));
}

std::vector<std::size_t> daemons_of(const world& world, const std::string& data_centre)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        if (world.daemons[i].data_centre == data_centre)
        {
            out.push_back(i);
        }
    }
    return out;
}

std::vector<std::size_t> some_daemons(const world& world, core::random_generator& random)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        if (core::uniform(random) < largest_share)
        {
            out.push_back(i);
        }
    }
    return out;
}

std::vector<std::size_t> choose_cut(const world& world, core::random_generator& random)
{
    switch (core::uniform_index(random, 3))
    {
    case 0:
        return daemons_of(world, data_centre_name(core::uniform_index(random, data_centre_count)));
    case 1:
        return world.seeds;
    default:
        return some_daemons(world, random);
    }
}

void kill_and_start(world& world, std::size_t daemon, core::random_generator& random)
{
    kill_process(world, daemon);
    schedule(world.queue, world.queue.now + between(random, shortest_absence_s, longest_absence_s),
             [&world, daemon] { start_process(world, daemon); });
}

// Gives the retry budgets and the senders to cold servers something to do: a service fails, and two
// servers of others start again.
void disturb_servers(world& world, core::duration time, core::random_generator& random)
{
    std::vector<std::string> ids;
    for (const auto& [id, server] : world.servers)
    {
        ids.push_back(id);
    }
    const std::string failing =
        world.servers.at(ids[core::uniform_index(random, ids.size())]).service;
    for (const std::string& id : ids)
    {
        if (world.servers.at(id).service == failing)
        {
            world.servers.at(id).failing_until = world.queue.now + time;
        }
    }
    std::erase_if(ids,
                  [&](const std::string& id) { return world.servers.at(id).service == failing; });
    const std::size_t first = core::uniform_index(random, ids.size());
    restart_server(world, ids[first]);
    restart_server(world, ids[(first + 1) % ids.size()]);
}

void begin_cut(world& world, const std::vector<std::size_t>& cut, core::duration time,
               core::random_generator& random)
{
    std::vector<std::uint32_t> sides(world.daemons.size() + 1, 0);
    sides[store_node(world)] = every_side;
    for (const std::size_t daemon : cut)
    {
        sides[daemon] = 1;
    }
    set_sides(world.net, world.queue, sides);
    schedule(world.queue, world.queue.now + time,
             [&world] {
                 set_sides(world.net, world.queue,
                           std::vector<std::uint32_t>(world.daemons.size() + 1, 0));
             });
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        world.history.daemon_disturbances[i].push_back({world.queue.now, world.queue.now + time});
    }
    for (const account_traffic& account : accounts)
    {
        world.storms[account.name] = world.queue.now + time;
    }
    disturb_servers(world, time, random);
    const core::duration kill_delay = between(random, 0.0, latest_kill_s);
    const double restarted_share = core::uniform(random) < 0.7 ? 1.0 : 0.6;
    for (const std::size_t daemon : cut)
    {
        if (core::uniform(random) < restarted_share)
        {
            schedule(world.queue, world.queue.now + kill_delay,
                     [&world, daemon, &random] { kill_and_start(world, daemon, random); });
        }
    }
}

} // namespace

void choose_seeds(world& world, std::uint64_t seed)
{
    core::random_generator random(seed);
    const std::size_t count = 1 + core::uniform_index(random, max_seeds);
    const bool is_one_data_centre = core::uniform(random) < 0.5;
    const std::size_t step = is_one_data_centre ? data_centre_count : 1;
    world.seeds.clear();
    for (std::size_t i = 0; i < world.daemons.size() && world.seeds.size() < count; i += step)
    {
        world.seeds.push_back(i);
    }
}

void schedule_cut_off_restarts(world& world, core::time_point begin, core::time_point end,
                               std::uint64_t seed)
{
    world.cut_random.seed(seed);
    core::time_point at = begin;
    while (at < end)
    {
        const std::vector<std::size_t> cut = choose_cut(world, world.cut_random);
        const core::duration time = between(world.cut_random, shortest_cut_s, longest_cut_s);
        schedule(world.queue, at,
                 [&world, cut, time] { begin_cut(world, cut, time, world.cut_random); });
        at += time + between(world.cut_random, shortest_pause_s, longest_pause_s);
    }
}

} // namespace zinniaferry::model
