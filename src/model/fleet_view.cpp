#include "model/fleet_view.hpp"

#include <vector>

namespace zinniaferry::model
{

void apply_fleet_view(world& world, std::size_t daemon)
{
    process& process = *world.daemons[daemon].running;
    const core::time_point now = world.queue.now;
    net::gateway& gateway = *process.gateway;
    // The time until now counts by the size of the fleet until now.
    limits::advance_pool_clock(gateway.accounts, fleet::take_primary_time(process.registry, now));
    const fleet::fleet_message own = fleet::make_fleet_message(process.registry, now);
    fleet::record_members(process.member_cache, own.members, now);
    std::vector<const fleet::fleet_message*> hub_messages;
    for (const auto& [address, connection] : process.hub_connections)
    {
        hub_messages.push_back(&connection->last_fleet);
        fleet::record_members(process.member_cache, connection->members, now);
    }
    fleet::confirm_contact(process.registry, process.hubs, hub_messages, now);
    process.fleet_size =
        fleet::estimate_fleet_size(process.known_size, process.registry, hub_messages, now);
    const fleet::size_estimate& size = process.fleet_size;
    const bool own_primary = process.primary_hub == process.hubs.own_address;
    limits::set_fleet_size(gateway.accounts,
                           {.primary_members = fleet::count_primary_members(process.registry, now) +
                                               (own_primary ? 1 : 0),
                            .members_known = size.members_known,
                            .is_size_known = size.is_known},
                           now);
    limits::set_standalone(gateway.accounts, !process.primary_hub.has_value(), now);
    gateway.retry_budget.members = size.members_known;
    gateway.backends.members = fleet::recent_members(process.member_cache, now);
    gateway.backends.are_members_known = size.is_known;
}

} // namespace zinniaferry::model
