#include "fleet/contact.hpp"

#include <algorithm>
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

// Returns how many of the data centres have a member that was heard of lately.
std::size_t count_data_centres_in_contact(const registry& registry, const contact_history& history,
                                          core::time_point now)
{
    std::set<std::string> met = {registry.self.data_centre};
    for (const auto& [vm, entry] : history.members)
    {
        if (now - entry.last_heard < contact_timeout)
        {
            met.insert(entry.data_centre);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(registry.data_centres->begin(), registry.data_centres->end(),
                      [&](const std::string& name) { return met.contains(name); }));
}

bool is_alone(const contact_history& history, core::time_point now)
{
    return std::none_of(history.members.begin(), history.members.end(),
                        [&](const auto& entry)
                        { return now - entry.second.last_heard < contact_timeout; });
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
    out.is_complete = choice.seed_count == 0 || (out.seeds == choice.seed_count &&
                                                 has_all_data_centres && !is_alone(history, now));
    return out;
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
