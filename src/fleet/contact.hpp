/// Contact of a daemon that has started with the rest of the fleet. A daemon that starts does not
/// know how large the fleet is. If it starts behind a network partition, the daemons that it meets
/// are not all, and those on the other side remember the fleet and still use their shares of it; so
/// it must not divide the rates by the members that it meets.
///
/// A group of daemons takes its members for the whole fleet when it has met every seed and a member
/// in every data centre. Some of the seeds are not enough, however many: only one side of a
/// partition has to start again to count them, as the other one remembers the fleet. What no group
/// can tell from the whole fleet is a part of it that holds all seeds and has members in all data
/// centres. So the side that has lost such a part gives up its shares for as long as that part may
/// have started again behind a partition.
#pragma once

#include "fleet/hub_choice.hpp"
#include "fleet/registry.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::fleet
{

struct heard_member
{
    std::string data_centre; ///< Empty if not known.
    core::time_point last_heard;
};

/// The members that sent this daemon a message, or that a hub listed in one, and when.
struct contact_history
{
    std::unordered_map<std::string, heard_member> members; ///< By VM, without this daemon.
};

/// All functions: not thread safe for the same arguments.

/// Records a message of the member. The hub choice records it too, as the member may be a seed.
void on_member_heard(contact_history& history, hub_choice& choice, const member& member,
                     core::time_point now);
/// Records the list of members in a hub's message.
void on_members_heard(contact_history& history, hub_choice& choice,
                      const std::vector<member>& members, core::time_point now);

/// How much of the fleet a daemon is in contact with, of what its settings and its configuration
/// tell of the fleet.
struct contact
{
    std::size_t seeds = 0;        ///< Heard of lately, this daemon counted if it is one.
    std::size_t data_centres = 0; ///< With a member that was heard of lately, or this daemon.
    bool is_complete = false;     ///< All seeds and all data centres; true without seeds.
};

/// Returns the contact with the fleet at `now`.
contact find_contact(const registry& registry, const hub_choice& choice,
                     const contact_history& history, core::time_point now);

/// Returns whether the members that are no longer heard of may have started again and taken
/// themselves for the whole fleet: every seed, and a member in every data centre, went silent 3 to
/// 13 s ago. False on a side of a tenth of the members or less, whose shares the tolerance above
/// the rates covers.
bool may_others_be_the_fleet(const registry& registry, const hub_choice& choice,
                             const contact_history& history, core::time_point now);

/// Records whether this daemon is in contact with the whole fleet: its contact is complete, or a
/// hub or a subscriber has stated the size of the fleet. Contact that is lost before the members
/// are known begins anew. Until then a hub also wants connections to the seeds. `hubs` are the last
/// messages of the hubs.
void update_contact(registry& registry, hub_choice& choice, contact_history& history,
                    const std::vector<const fleet_message*>& hubs, core::time_point now);

} // namespace zinniaferry::fleet
