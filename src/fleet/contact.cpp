#include "fleet/contact.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace zinniaferry::fleet
{

namespace
{

/// Time after the start from which a hub connects to all seeds, as a seed that connects by itself
/// may do so from another address. A hub that knows the size of the fleet states it earlier.
constexpr core::duration seed_connect_time = std::chrono::milliseconds(200);
/// Time for which a member that is not heard of is remembered.
constexpr core::duration history_time = std::chrono::seconds(30);

bool is_size_stated(const registry& registry, const std::vector<const fleet_message*>& hubs)
{
    return registry.stated_size.largest > 0 ||
           std::any_of(hubs.begin(), hubs.end(),
                       [](const fleet_message* hub)
                       { return hub->members_known > 0 && hub->settled; });
}

bool is_in_contact(const heard_member& member, core::time_point now)
{
    return now - member.last_heard < contact_timeout;
}

std::size_t count_members_in_contact(const contact_history& history, core::time_point now)
{
    return static_cast<std::size_t>(std::count_if(history.members.begin(), history.members.end(),
                                                  [&](const auto& entry)
                                                  { return is_in_contact(entry.second, now); }));
}

// Returns how many of the data centres have a member that was heard of lately.
std::size_t count_data_centres_in_contact(const registry& registry, const contact_history& history,
                                          core::time_point now)
{
    std::set<std::string> met = {registry.self.data_centre};
    for (const auto& [vm, entry] : history.members)
    {
        if (is_in_contact(entry, now))
        {
            met.insert(entry.data_centre);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(registry.data_centres->begin(), registry.data_centres->end(),
                      [&](const std::string& name) { return met.contains(name); }));
}

// Returns when the last of the seeds went silent. Nothing if one was never met, or is this daemon.
std::optional<core::time_point> all_seeds_lost_at(const hub_choice& choice)
{
    std::optional<core::time_point> latest;
    for (const hub_candidate& seed : seeds_of(choice))
    {
        if (seed.address == choice.own_address || seed.last_met == core::time_point())
        {
            return std::nullopt;
        }
        latest = std::max(latest.value_or(seed.last_met), seed.last_met);
    }
    return latest;
}

// Returns whether this daemon and the members that are heard of are a tenth of all, or less.
bool is_small_side(const contact_history& history, core::time_point now)
{
    return (count_members_in_contact(history, now) + 1) * 10 <= history.members.size() + 1;
}

} // namespace

void on_member_heard(contact_history& history, hub_choice& choice, const member& member,
                     core::time_point now)
{
    if (member.address != choice.own_address)
    {
        history.members[member.vm] = {.data_centre = member.data_centre, .last_heard = now};
        on_met(choice, member.address, now);
    }
}

void on_members_heard(contact_history& history, hub_choice& choice,
                      const std::vector<member>& members, core::time_point now)
{
    for (const member& entry : members)
    {
        on_member_heard(history, choice, entry, now);
    }
}

contact find_contact(const registry& registry, const hub_choice& choice,
                     const contact_history& history, core::time_point now)
{
    contact out = {.seeds = count_seeds_in_contact(choice, now)};
    bool has_all_data_centres = false;
    if (registry.data_centres)
    {
        out.data_centres = count_data_centres_in_contact(registry, history, now);
        has_all_data_centres = out.data_centres == registry.data_centres->size();
    }
    // A daemon that is the only seed and meets nobody may be the fleet, or be cut off from it.
    out.is_complete =
        choice.seed_count == 0 || (out.seeds == choice.seed_count && has_all_data_centres &&
                                   count_members_in_contact(history, now) > 0);
    return out;
}

bool may_others_be_the_fleet(const registry& registry, const hub_choice& choice,
                             const contact_history& history, core::time_point now)
{
    const auto lost_at = all_seeds_lost_at(choice);
    if (!lost_at || now - *lost_at < discovery_time || now - *lost_at >= contact_wait ||
        !registry.data_centres || is_small_side(history, now))
    {
        return false;
    }
    const auto is_lost_with_seeds = [&](const heard_member& member)
    {
        return !is_in_contact(member, now) && member.last_heard >= *lost_at - discovery_time;
    };
    return std::all_of(registry.data_centres->begin(), registry.data_centres->end(),
                       [&](const std::string& name)
                       {
                           return std::any_of(history.members.begin(), history.members.end(),
                                              [&](const auto& entry) {
                                                  return entry.second.data_centre == name &&
                                                         is_lost_with_seeds(entry.second);
                                              });
                       });
}

void update_contact(registry& registry, hub_choice& choice, contact_history& history,
                    const std::vector<const fleet_message*>& hubs, core::time_point now)
{
    std::erase_if(history.members,
                  [&](const auto& entry) { return now - entry.second.last_heard > history_time; });
    registry.has_other_seeds = !names_no_other_seed(choice);
    if (is_settled(registry, now))
    {
        choice.meet_all_seeds = false;
        return;
    }
    registry.size_was_stated = registry.size_was_stated || is_size_stated(registry, hubs);
    choice.meet_all_seeds = !registry.size_was_stated && is_hub(choice, now) &&
                            now - registry.started >= seed_connect_time;
    if (!registry.size_was_stated && !find_contact(registry, choice, history, now).is_complete)
    {
        registry.contact_since = {};
    }
    else if (registry.contact_since == core::time_point())
    {
        registry.contact_since = now;
    }
}

} // namespace zinniaferry::fleet
