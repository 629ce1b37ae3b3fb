#include "config/model.hpp"

namespace zinniaferry::config
{

double region_share(const configuration& config, std::string_view region)
{
    double total = 0.0;
    double region_weight = 0.0;
    for (const auto& entry : config.regions)
    {
        total += entry.weight;
        region_weight += entry.name == region ? entry.weight : 0.0;
    }
    return region_weight > 0.0 ? region_weight / total : 1.0;
}

bool prefix_matches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
    {
        return false;
    }
    if (path.size() == prefix.size() || prefix.ends_with('/'))
    {
        return true;
    }
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

const std::string& select_service(const route& route, double fraction)
{
    if (route.split.empty())
    {
        return route.service;
    }
    double total = 0.0;
    for (const weighted_service& part : route.split)
    {
        total += part.weight;
    }
    double remaining = fraction * total;
    for (const weighted_service& part : route.split)
    {
        remaining -= part.weight;
        if (remaining < 0.0)
        {
            return part.service;
        }
    }
    return route.split.back().service;
}

} // namespace zinniaferry::config
