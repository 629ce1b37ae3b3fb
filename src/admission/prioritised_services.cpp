#include "admission/prioritised_services.hpp"

#include "admission/service_load.hpp"

#include <set>
#include <unordered_map>

namespace zinniaferry::admission
{

std::unordered_set<std::string> prioritised_services(const config::configuration& config)
{
    std::set<std::size_t> account_levels;
    for (const config::account& account : config.accounts)
    {
        if (account.priority)
        {
            account_levels.insert(priority_level(*account.priority));
        }
    }
    std::unordered_map<std::string, std::set<std::size_t>> levels_by_service;
    const auto add_route = [&](const std::string& service, const config::route& route)
    {
        std::set<std::size_t>& levels = levels_by_service[service];
        levels.insert(priority_level(route.priority));
        levels.insert(account_levels.begin(), account_levels.end());
    };
    for (const config::route& route : config.routes)
    {
        if (route.split.empty())
        {
            add_route(route.service, route);
        }
        for (const config::weighted_service& target : route.split)
        {
            add_route(target.service, route);
        }
    }
    std::unordered_set<std::string> out;
    for (const auto& [service, levels] : levels_by_service)
    {
        if (levels.size() > 1)
        {
            out.insert(service);
        }
    }
    return out;
}

} // namespace zinniaferry::admission
