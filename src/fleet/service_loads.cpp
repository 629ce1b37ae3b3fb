#include "fleet/service_loads.hpp"

#include <algorithm>
#include <tuple>

namespace zinniaferry::fleet
{

namespace
{

/// The sums are formed once for the reports of many subscribers, which come every 0.4 s each.
constexpr core::duration sums_interval = std::chrono::milliseconds(200);
/// A service with fewer requests was not used for about five seconds.
constexpr double min_arrivals_per_s = 0.01;

bool is_in_use(const admission::service_load& load)
{
    return load.running > 0.0 || load.waiting > 0.0 ||
           admission::total_arrivals(load) >= min_arrivals_per_s;
}

// Services whose requests wait come first: only their loads decide anything.
bool is_busier(const stated_load& a, const stated_load& b)
{
    const auto rank = [](const stated_load& entry)
    {
        return std::tuple(entry.load.waiting, entry.load.running,
                          admission::total_arrivals(entry.load));
    };
    return std::tuple(rank(b), a.service) < std::tuple(rank(a), b.service);
}

void keep_busiest(std::vector<stated_load>& loads)
{
    const std::size_t kept = std::min(loads.size(), max_stated_loads);
    std::partial_sort(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(kept), loads.end(),
                      is_busier);
    loads.resize(kept);
}

void add_loads(admission::fleet_load& sums, const std::vector<stated_load>& loads)
{
    for (const stated_load& entry : loads)
    {
        admission::add(sums.by_service[entry.service], entry.load);
    }
}

std::vector<std::string> find_busiest(const admission::fleet_load& sums)
{
    std::vector<stated_load> loads;
    loads.reserve(sums.by_service.size());
    for (const auto& [service, load] : sums.by_service)
    {
        loads.push_back({service, load});
    }
    keep_busiest(loads);
    std::vector<std::string> out;
    out.reserve(loads.size());
    for (stated_load& entry : loads)
    {
        out.push_back(std::move(entry.service));
    }
    return out;
}

bool has_service(const std::vector<stated_load>& loads, const std::string& service)
{
    return std::any_of(loads.begin(), loads.end(),
                       [&](const stated_load& entry) { return entry.service == service; });
}

} // namespace

std::vector<stated_load>
loads_to_state(const std::unordered_map<std::string, admission::load_meter>& meters,
               core::time_point now)
{
    std::vector<stated_load> out;
    for (const auto& [service, meter] : meters)
    {
        stated_load entry = {service, admission::read(meter, now)};
        if (is_in_use(entry.load))
        {
            out.push_back(std::move(entry));
        }
    }
    keep_busiest(out);
    return out;
}

void update_sums(load_sums& sums, const registry& registry, core::time_point now)
{
    const bool is_first = sums.sums.as_of == core::time_point();
    if (!is_first && now - sums.sums.as_of < sums_interval)
    {
        return;
    }
    sums.sums = {.as_of = now};
    add_loads(sums.sums, registry.own_loads);
    for (const auto& [vm, entry] : registry.members)
    {
        if (entry.subscribed && now - entry.loads_at < hub_silence_timeout)
        {
            add_loads(sums.sums, entry.loads);
        }
    }
    sums.busiest = find_busiest(sums.sums);
}

std::vector<stated_load> sums_for(const load_sums& sums, const std::vector<stated_load>& stated)
{
    std::vector<stated_load> out;
    for (const stated_load& entry : stated)
    {
        const auto found = sums.sums.by_service.find(entry.service);
        if (found != sums.sums.by_service.end())
        {
            out.push_back({entry.service, found->second});
        }
    }
    for (const std::string& service : sums.busiest)
    {
        if (out.size() < max_stated_loads && !has_service(out, service))
        {
            out.push_back({service, sums.sums.by_service.at(service)});
        }
    }
    return out;
}

admission::fleet_load make_fleet_load(const std::vector<stated_load>& sums, core::time_point as_of)
{
    admission::fleet_load out{.as_of = as_of};
    for (const stated_load& entry : sums)
    {
        out.by_service[entry.service] = entry.load;
    }
    return out;
}

} // namespace zinniaferry::fleet
