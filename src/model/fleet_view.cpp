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
    std::vector<fleet::hub_statement> statements;
    for (const auto& [address, connection] : process.hub_connections)
    {
        statements.push_back({address, &connection->last_fleet, &connection->members});
    }
    const fleet::fleet_view view = fleet::view_fleet(
        process.known_fleet, process.registry, process.hubs, process.primary_hub, statements, now);
    limits::set_fleet_size(gateway.accounts,
                           {.primary_members = view.primary_members,
                            .members_known = view.members_known,
                            .is_size_known = view.is_size_known},
                           now);
    limits::set_standalone(gateway.accounts, !view.hub_reachable, now);
    gateway.retry_budget.members = view.members_known;
    gateway.backends.members = view.members;
    gateway.backends.are_members_known = view.is_size_known;
}

} // namespace zinniaferry::model
