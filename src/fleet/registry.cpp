#include "fleet/registry.hpp"

#include <algorithm>
#include <utility>

namespace zinniaferry::fleet
{

namespace
{

/// Time for which a disconnected member still counts as known.
constexpr core::duration member_retention = std::chrono::seconds(30);
/// The same of a number of members from which at least half have disappeared.
constexpr core::duration majority_retention = std::chrono::minutes(10);
/// A primary member reports, or asks for grants, more often than this. The time of a longer silence
/// does not count, as the member may have used another hub meanwhile.
constexpr core::duration max_report_gap = std::chrono::milliseconds(800);
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

// Counts the time that the member states, but no more than has passed since the last time was
// counted. Both are added up first, because messages may be delayed differently.
void count_primary_time(registry& registry, registered_member& entry,
                        const std::optional<core::duration>& stated, core::time_point now)
{
    const core::duration gap = now - entry.primary_until;
    entry.primary_until = now;
    if (gap > max_report_gap)
    {
        entry.stated_time = {};
        entry.elapsed_time = {};
        return;
    }
    entry.stated_time += stated.value_or(entry.primary ? gap : core::duration());
    entry.elapsed_time += gap;
    const core::duration counted = std::min(entry.stated_time, entry.elapsed_time);
    registry.primary_time += counted;
    entry.stated_time -= counted;
    entry.elapsed_time -= counted;
}

bool is_in_contact(const registry& registry)
{
    return registry.contact_since != core::time_point();
}

// Returns whether this daemon, or the group that it belongs to, has waited long enough for others.
bool has_waited_for_contact(const registry& registry, core::time_point now)
{
    const bool is_single = registry.members.empty();
    const core::time_point since = is_single ? registry.started : registry.first_member_at;
    return now - since >= contact_wait && !(is_single && registry.has_other_seeds);
}

std::size_t members_known(const registry& registry, core::time_point now)
{
    const bool size_stated = now - registry.stated_size.largest_at <= member_retention;
    return std::max(registry.members.size() + 1, size_stated ? registry.stated_size.largest : 0);
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
    if (registry.first_member_at == core::time_point())
    {
        registry.first_member_at = now;
    }
    if (hello.members_known > 0)
    {
        largest_recent_size(registry.stated_size, hello.members_known, now);
    }
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
    // A daemon of an older version does not say how long it has used the hub that it leaves.
    const std::optional<core::duration> unstated =
        report.primary ? std::nullopt : std::optional(core::duration());
    count_primary_time(registry, found->second,
                       report.primary_time ? report.primary_time : unstated, now);
    if (!report.primary || changed)
    {
        found->second.stated_time = {};
        found->second.elapsed_time = {};
    }
    found->second.primary = report.primary;
    found->second.selection_rate = report.selection_rate;
    found->second.loads = report.loads;
    found->second.loads_at = now;
    found->second.last_heard = now;
    return changed;
}

void on_grant_request(registry& registry, const std::string& vm, const ask_message& request,
                      core::time_point now)
{
    const auto found = registry.members.find(vm);
    if (found != registry.members.end())
    {
        count_primary_time(registry, found->second, request.primary_time, now);
    }
}

void set_own_primary(registry& registry, bool own_primary, core::time_point now)
{
    if (own_primary && !registry.own_primary)
    {
        registry.own_primary_until = now;
    }
    registry.own_primary = own_primary;
}

core::duration take_primary_time(registry& registry, core::time_point now)
{
    if (registry.own_primary)
    {
        registry.primary_time += now - registry.own_primary_until;
        registry.own_primary_until = now;
    }
    return std::exchange(registry.primary_time, core::duration());
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

bool is_settled(const registry& registry, core::time_point now)
{
    return is_in_contact(registry) ? now - registry.contact_since >= discovery_time
                                   : has_waited_for_contact(registry, now);
}

fleet_message make_fleet_summary(const registry& registry, core::time_point now)
{
    return {.members_known = static_cast<std::uint32_t>(members_known(registry, now)),
            .settled = is_settled(registry, now),
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
    const bool most_remain = known * 2 > size.largest;
    const core::duration retention = most_remain ? member_retention : majority_retention;
    if (known >= size.largest || now - size.largest_at > retention)
    {
        size = {.largest = known, .largest_at = now};
    }
    return size.largest;
}

size_estimate estimate_fleet_size(known_size& recent, const registry& own,
                                  const std::vector<const fleet_message*>& hubs,
                                  core::time_point now)
{
    std::size_t known = members_known(own, now);
    bool all_settled = is_settled(own, now);
    bool any_settled = all_settled;
    for (const fleet_message* hub : hubs)
    {
        const bool has_reported = hub->members_known > 0;
        known = std::max<std::size_t>(known, hub->members_known);
        all_settled = all_settled && (!has_reported || hub->settled);
        any_settled = any_settled || (has_reported && hub->settled);
    }
    known = largest_recent_size(recent, known, now);
    const std::size_t assumed = is_in_contact(own) ? std::max(known, min_assumed_members)
                                                   : known * assumed_members_per_known;
    return {.members_known = all_settled ? known : assumed, .is_known = any_settled};
}

std::uint32_t size_to_state(const known_size& recent, const size_estimate& estimate)
{
    return estimate.is_known ? static_cast<std::uint32_t>(recent.largest) : 0;
}

} // namespace zinniaferry::fleet
