#include "fleet/registry.hpp"

#include <map>

namespace zinniaferry::fleet
{

namespace
{

constexpr core::duration remembered_for = std::chrono::seconds(30);
/// Members find a new hub within this time.
constexpr core::duration settling_time = std::chrono::seconds(3);

} // namespace

void on_hello(registry& registry, const hello_message& hello, core::time_point now)
{
    registered_member& entry = registry.members[hello.self.vm];
    if (entry.incarnation != hello.incarnation)
    {
        entry.demand.clear();
    }
    entry.id = hello.self;
    entry.incarnation = hello.incarnation;
    entry.heard = true;
    entry.last_heard = now;
}

void on_report(registry& registry, const std::string& vm, std::vector<account_demand> demand,
               core::time_point now)
{
    const auto found = registry.members.find(vm);
    if (found != registry.members.end())
    {
        found->second.demand = std::move(demand);
        found->second.last_heard = now;
    }
}

void on_left(registry& registry, const std::string& vm, std::uint64_t incarnation,
             core::time_point now)
{
    const auto found = registry.members.find(vm);
    if (found != registry.members.end() && found->second.incarnation == incarnation)
    {
        found->second.heard = false;
        found->second.last_heard = now;
        found->second.demand.clear();
    }
}

void forget_vanished(registry& registry, core::time_point now)
{
    std::erase_if(registry.members,
                  [&](const auto& entry)
                  {
                      return !entry.second.heard &&
                             now - entry.second.last_heard > remembered_for;
                  });
}

fleet_message describe_fleet(const registry& registry, const std::vector<account_demand>& own,
                             core::time_point now)
{
    fleet_message out;
    std::map<std::string, double> total;
    const auto add = [&](const std::vector<account_demand>& demand)
    {
        for (const account_demand& entry : demand)
        {
            total[entry.account] += entry.requests_per_s;
        }
    };
    add(own);
    out.members.push_back(registry.self);
    for (const auto& [vm, entry] : registry.members)
    {
        if (entry.heard)
        {
            add(entry.demand);
            out.members.push_back(entry.id);
        }
    }
    for (const auto& [account, rate] : total)
    {
        out.demand.push_back({account, rate});
    }
    out.members_known = static_cast<std::uint32_t>(registry.members.size() + 1);
    out.settled = now - registry.started >= settling_time;
    return out;
}

} // namespace zinniaferry::fleet
