#include "config/model.hpp"

namespace zinniaferry::config
{

double region_part(const configuration& config, std::string_view region)
{
    double total = 0.0;
    double own = 0.0;
    for (const auto& entry : config.regions)
    {
        total += entry.weight;
        own += entry.name == region ? entry.weight : 0.0;
    }
    return own > 0.0 ? own / total : 1.0;
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

const std::string& service_of(const route& route, double at)
{
    if (route.split.empty())
    {
        return route.service;
    }
    double total = 0.0;
    for (const split_part& part : route.split)
    {
        total += part.weight;
    }
    double left = at * total;
    for (const split_part& part : route.split)
    {
        left -= part.weight;
        if (left < 0.0)
        {
            return part.service;
        }
    }
    return route.split.back().service;
}

} // namespace zinniaferry::config
