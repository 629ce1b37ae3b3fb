#include "model/fleet_view.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

/// Lower bound on the fleet's size while some members may not have subscribed yet.
constexpr std::size_t min_assumed_members = 20;

} // namespace

void apply_fleet_view(world& world, std::size_t daemon)
{
    process& process = *world.daemons[daemon].running;
    const core::time_point now = world.queue.now;
    const fleet::fleet_message own = fleet::make_fleet_message(process.registry, now);
    fleet::record_members(process.member_cache, own.members, now);
    std::size_t known = own.members_known;
    bool all_settled = own.settled;
    bool any_settled = own.settled;
    for (const auto& [address, connection] : process.hub_connections)
    {
        const fleet::fleet_message& last = connection->last_fleet;
        const bool has_reported = last.members_known > 0;
        known = std::max<std::size_t>(known, last.members_known);
        all_settled = all_settled && (!has_reported || last.settled);
        any_settled = any_settled || (has_reported && last.settled);
        fleet::record_members(process.member_cache, connection->members, now);
    }
    known = fleet::largest_recent_size(process.known_size, known, now);
    const bool own_primary = process.primary_hub == process.hubs.own_address;
    const std::size_t members_known = all_settled ? known : std::max(known, min_assumed_members);
    net::gateway& gateway = *process.gateway;
    limits::set_fleet_size(gateway.accounts,
                           {.primary_members = fleet::count_primary_members(process.registry, now) +
                                               (own_primary ? 1 : 0),
                            .members_known = members_known,
                            .is_size_known = any_settled},
                           now);
    limits::set_standalone(gateway.accounts, !process.primary_hub.has_value(), now);
    gateway.retry_budget.members = members_known;
    gateway.backends.members = fleet::recent_members(process.member_cache, now);
    gateway.backends.are_members_known = any_settled;
}

} // namespace zinniaferry::model
