#include "fleet/registry.hpp"

#include "fleet/hub_choice.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

/// Time for which a disconnected member still counts as known.
constexpr core::duration member_retention = std::chrono::seconds(30);
/// All members subscribe to a new hub within this time.
constexpr core::duration discovery_time = std::chrono::seconds(3);

/// Lower bound on the fleet's size while some members may not have subscribed yet.
constexpr std::size_t min_assumed_members = 20;

/// A member that no hub has reported for longer has left the fleet.
constexpr core::duration member_cache_lifetime = std::chrono::seconds(5);

float total_selection_rate(const registry& registry)
{
    float total = registry.own_selection_rate;
    for (const auto& [vm, entry] : registry.members)
    {
        total += entry.subscribed ? entry.selection_rate : 0.0F;
    }
    return total;
}

} // namespace

void record_members(member_cache& cache, const std::vector<member>& members, core::time_point now)
{
    for (const member& entry : members)
    {
        cache.last_reported[entry.vm] = now;
    }
}

std::vector<std::string> recent_members(member_cache& cache, core::time_point now)
{
    std::erase_if(cache.last_reported,
                  [&](const auto& entry) { return now - entry.second > member_cache_lifetime; });
    std::vector<std::string> out;
    out.reserve(cache.last_reported.size());
    for (const auto& [vm, reported_at] : cache.last_reported)
    {
        out.push_back(vm);
    }
    return out;
}

void on_hello(registry& registry, const hello_message& hello, core::time_point now)
{
    registered_member& entry = registry.members[hello.self.vm];
    if (entry.incarnation != hello.incarnation)
    {
        entry.primary = false;
    }
    if (!entry.subscribed || entry.identity != hello.self)
    {
        ++registry.members_version;
    }
    entry.identity = hello.self;
    entry.incarnation = hello.incarnation;
    entry.subscribed = true;
    entry.last_heard = now;
}

bool on_report(registry& registry, const std::string& vm, const report_message& report,
               core::time_point now)
{
    const auto found = registry.members.find(vm);
    if (found == registry.members.end())
    {
        return false;
    }
    const bool changed = found->second.primary != report.primary;
    found->second.primary = report.primary;
    found->second.selection_rate = report.selection_rate;
    found->second.last_heard = now;
    return changed;
}

void on_unsubscribed(registry& registry, const std::string& vm, std::uint64_t incarnation,
                     core::time_point now)
{
    const auto found = registry.members.find(vm);
    if (found != registry.members.end() && found->second.incarnation == incarnation)
    {
        found->second.subscribed = false;
        ++registry.members_version;
        found->second.last_heard = now;
        found->second.primary = false;
    }
}

void remove_expired_members(registry& registry, core::time_point now)
{
    std::erase_if(
        registry.members, [&](const auto& entry)
        { return !entry.second.subscribed && now - entry.second.last_heard > member_retention; });
}

fleet_message make_fleet_summary(const registry& registry, core::time_point now)
{
    return {.members_known = static_cast<std::uint32_t>(registry.members.size() + 1),
            .settled = now - registry.started >= discovery_time,
            .selection_rate = total_selection_rate(registry)};
}

fleet_message make_fleet_message(const registry& registry, core::time_point now)
{
    fleet_message out = make_fleet_summary(registry, now);
    out.members.push_back(registry.self);
    for (const auto& [vm, entry] : registry.members)
    {
        if (entry.subscribed)
        {
            out.members.push_back(entry.identity);
        }
    }
    return out;
}

std::size_t count_primary_members(const registry& registry, core::time_point now)
{
    return static_cast<std::size_t>(std::count_if(
        registry.members.begin(), registry.members.end(),
        [&](const auto& entry)
        { return entry.second.primary && now - entry.second.last_heard < hub_silence_timeout; }));
}

std::size_t largest_recent_size(known_size& size, std::size_t known, core::time_point now)
{
    if (known >= size.largest || now - size.largest_at > member_retention)
    {
        size = {.largest = known, .largest_at = now};
    }
    return size.largest;
}

size_estimate estimate_fleet_size(known_size& recent, const fleet_message& own,
                                  const std::vector<const fleet_message*>& hubs,
                                  core::time_point now)
{
    std::size_t known = own.members_known;
    bool all_settled = own.settled;
    bool any_settled = own.settled;
    for (const fleet_message* hub : hubs)
    {
        const bool has_reported = hub->members_known > 0;
        known = std::max<std::size_t>(known, hub->members_known);
        all_settled = all_settled && (!has_reported || hub->settled);
        any_settled = any_settled || (has_reported && hub->settled);
    }
    known = largest_recent_size(recent, known, now);
    return {.members_known = all_settled ? known : std::max(known, min_assumed_members),
            .is_known = any_settled};
}

} // namespace zinniaferry::fleet
