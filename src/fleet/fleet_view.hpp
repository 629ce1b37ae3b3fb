/// What a daemon knows of the fleet, from its subscribers and its hubs.
#pragma once

#include "fleet/contact.hpp"
#include "fleet/hub_choice.hpp"
#include "fleet/registry.hpp"

#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

struct fleet_view
{
    std::vector<std::string> members;  ///< VMs reported recently, this one included.
    std::size_t members_known = 1;     ///< Includes those that disconnected recently.
    std::size_t primary_members = 0;   ///< Members whose primary hub is this daemon.
    bool hub_reachable = false;        ///< There is a primary hub, which may be this daemon.
    double own_selection_rate = 0.0;   ///< Selections/s of a backend server by this daemon.
    double fleet_selection_rate = 0.0; ///< The same of the whole fleet; 0 if not known.
    bool is_size_known = false; ///< This daemon or a hub has run long enough to know every member.
};

/// What a daemon remembers between two views.
struct known_fleet
{
    member_cache members;
    contact_history heard;
    known_size recent_size;
    size_estimate size;
};

/// What a connected hub has sent.
struct hub_statement
{
    std::string address;
    const fleet_message* last_fleet = nullptr;    ///< Not null.
    const std::vector<member>* members = nullptr; ///< The last list that was not empty; not null.
};

/// Combines the statements of the hubs with this daemon's own registry: the union of their members,
/// and the highest number of known members. `primary_hub` is an address, which may be this daemon's
/// own. Not thread safe for the same `known`, `registry` or `choice`.
fleet_view view_fleet(known_fleet& known, registry& registry, hub_choice& choice,
                      const std::optional<std::string>& primary_hub,
                      const std::vector<hub_statement>& hubs, core::time_point now);

} // namespace zinniaferry::fleet
