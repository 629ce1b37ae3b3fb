#include "model/restorations.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

constexpr double shortest_pause_s = 6.0;
constexpr double longest_pause_s = 14.0;
constexpr double oldest_backup_s = 6.0;
constexpr double longest_absence_s = 1.5;
/// Delay after which the operator writes again what was lost.
constexpr core::duration operator_delay = std::chrono::milliseconds(100);
constexpr core::duration heartbeat_interval = std::chrono::milliseconds(1500);
/// The store removes the entry of a server that has left after this time.
constexpr core::duration entry_lifetime = 3 * heartbeat_interval;

/// One restoration and the values that it loses.
struct restoration
{
    store_content backup;
    std::map<std::string, fleet::entry_change> lost; ///< Entries before the restoration, by key.
};

core::duration between(core::random_generator& random, double low_s, double high_s)
{
    return core::from_seconds(low_s + (high_s - low_s) * core::uniform(random));
}

bool has_changed_since(const store& store, const std::string& key, std::uint64_t revision)
{
    return std::any_of(store.log.begin(), store.log.end(),
                       [&](const fleet::entry_change& change)
                       { return change.key == key && change.revision > revision; });
}

void write_again(world& world, std::uint64_t restored_revision, const std::string& key,
                 const std::optional<std::string>& value)
{
    if (!has_changed_since(world.store, key, restored_revision))
    {
        write(world.store, key, value);
    }
}

// The operator writes at once, a server with its next heartbeat. The entry of a server that has
// left expires.
core::duration delay_until_written(world& world, const std::string& key, bool has_value)
{
    if (!key.starts_with(server_key_prefix))
    {
        return operator_delay;
    }
    return has_value ? between(world.restoration_random, 0.0, core::to_seconds(heartbeat_interval))
                     : entry_lifetime;
}

void schedule_lost_write(world& world, const restoration& restored, const std::string& key)
{
    const auto lost = restored.lost.find(key);
    const auto kept = restored.backup.entries.find(key);
    const bool has_value = lost != restored.lost.end();
    const std::optional<std::string> value = has_value ? lost->second.value : std::nullopt;
    if (kept != restored.backup.entries.end() && kept->second.value == value)
    {
        return;
    }
    schedule(world.queue, world.queue.now + delay_until_written(world, key, has_value),
             [&world, key, value, revision = restored.backup.revision]
             { write_again(world, revision, key, value); });
}

void come_back(world& world, const std::shared_ptr<restoration>& restored)
{
    restored->lost = world.store.entries;
    restore(world.store, restored->backup);
    for (const auto& [key, entry] : restored->lost)
    {
        schedule_lost_write(world, *restored, key);
    }
    for (const auto& [key, entry] : restored->backup.entries)
    {
        if (!restored->lost.contains(key))
        {
            schedule_lost_write(world, *restored, key);
        }
    }
}

void go_away(world& world, const std::shared_ptr<restoration>& restored)
{
    const core::duration absence = between(world.restoration_random, 0.1, longest_absence_s);
    world.store.away = true;
    world.history.store_restorations.push_back({world.queue.now, world.queue.now + absence});
    for (std::size_t i = 0; i < world.daemons.size(); ++i)
    {
        world.history.daemon_disturbances[i].push_back(
            {world.queue.now, world.queue.now + absence});
    }
    schedule(world.queue, world.queue.now + absence,
             [&world, restored] { come_back(world, restored); });
}

} // namespace

void schedule_restorations(world& world, core::time_point begin, core::time_point end,
                           std::uint64_t seed)
{
    world.restoration_random.seed(seed);
    const auto next = [&]
    {
        return between(world.restoration_random, shortest_pause_s, longest_pause_s);
    };
    for (core::time_point at = begin + next(); at < end; at += next())
    {
        const auto restored = std::make_shared<restoration>();
        const core::duration age = between(world.restoration_random, 0.5, oldest_backup_s);
        schedule(world.queue, at - age, [&world, restored] { restored->backup = world.store; });
        schedule(world.queue, at, [&world, restored] { go_away(world, restored); });
    }
}

} // namespace zinniaferry::model
