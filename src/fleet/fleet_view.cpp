#include "fleet/fleet_view.hpp"

namespace zinniaferry::fleet
{

fleet_view view_fleet(known_fleet& known, registry& registry, hub_choice& choice,
                      const std::optional<std::string>& primary_hub,
                      const std::vector<hub_statement>& hubs, core::time_point now)
{
    const fleet_message own = make_fleet_message(registry, now);
    const bool is_own_primary = primary_hub == choice.own_address;
    record_members(known.members, own.members, now);
    std::vector<const fleet_message*> hub_messages;
    double fleet_selection_rate = is_own_primary ? own.selection_rate : 0.0;
    for (const hub_statement& hub : hubs)
    {
        hub_messages.push_back(hub.last_fleet);
        if (hub.address == primary_hub)
        {
            fleet_selection_rate = hub.last_fleet->selection_rate;
        }
        record_members(known.members, *hub.members, now);
    }
    update_contact(registry, choice, known.heard, hub_messages, now);
    known.size = estimate_fleet_size(known.recent_size, registry, hub_messages, now);
    fleet_view view;
    view.members = recent_members(known.members, now);
    const bool may_be_outside = may_others_be_the_fleet(registry, choice, known.heard, now);
    view.members_known =
        known.size.members_known * (may_be_outside ? assumed_members_per_known : 1);
    view.primary_members = count_primary_members(registry, now) + (is_own_primary ? 1 : 0);
    view.hub_reachable = primary_hub.has_value();
    view.own_selection_rate = registry.own_selection_rate;
    view.fleet_selection_rate = fleet_selection_rate;
    view.is_size_known = known.size.is_known;
    return view;
}

} // namespace zinniaferry::fleet
