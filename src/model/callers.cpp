#include "model/callers.hpp"

#include "model/requests.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::model
{

namespace
{

/// Fraction of its rate at which an account sends, usually and in a storm.
constexpr double usual_load = 0.6;
constexpr double storm_load = 6.0;

std::optional<std::size_t> choose_daemon(world& world)
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        const auto& running = world.daemons[i].running;
        if (running && running->ready)
        {
            ready.push_back(i);
        }
    }
    if (ready.empty())
    {
        return std::nullopt;
    }
    return ready[core::uniform_index(world.random, ready.size())];
}

// Chooses among the last four versions, so that some have been replaced.
std::size_t recent_version(world& world)
{
    const std::size_t count = world.history.configurations.size();
    return count - 1 - core::uniform_index(world.random, std::min<std::size_t>(count, 4));
}

void choose_path_and_key(world& world, const account_traffic& account, request_record& record)
{
    record.key = lasting_key(account.name);
    const double kind = core::uniform(world.random);
    if (kind < 0.35)
    {
        record.path = "/lookup/1";
    }
    else if (kind < 0.65)
    {
        record.path = "/order/1";
    }
    else if (kind < 0.8)
    {
        record.path = "/flip/1";
    }
    else if (kind < 0.9)
    {
        record.path = passing_path(recent_version(world)) + "/1";
    }
    else
    {
        record.path = "/lookup/1";
        record.key = passing_key(recent_version(world));
    }
}

void send_request(world& world, const account_traffic& account)
{
    const auto daemon = choose_daemon(world);
    if (!daemon)
    {
        return;
    }
    const std::uint64_t id = world.history.requests.size();
    request_record record{.id = id, .daemon = *daemon, .sent_at = world.queue.now};
    choose_path_and_key(world, account, record);
    world.history.requests.push_back(std::move(record));
    run_at(world, *daemon, world.queue.now + outer_delay,
           [&world, id] { handle_request(world, id); });
}

void send_regularly(world& world, const account_traffic& account, core::time_point end)
{
    if (world.queue.now >= end)
    {
        return;
    }
    send_request(world, account);
    const bool storm = world.queue.now < world.storms[account.name];
    const double rate = account.rate * (storm ? storm_load : usual_load);
    const double pause_s = -std::log(1.0 - core::uniform(world.random)) / rate;
    schedule(world.queue, world.queue.now + core::from_seconds(pause_s),
             [&world, &account, end] { send_regularly(world, account, end); });
}

} // namespace

std::string lasting_key(std::string_view account)
{
    return "key-of-" + std::string(account);
}

std::string passing_key(std::size_t version)
{
    return "key-of-version-" + std::to_string(version);
}

std::string passing_path(std::size_t version)
{
    return "/version/" + std::to_string(version);
}

void start_callers(world& world, core::time_point end)
{
    for (const account_traffic& account : accounts)
    {
        send_regularly(world, account, end);
    }
}

} // namespace zinniaferry::model
