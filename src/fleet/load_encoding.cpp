#include "fleet/load_encoding.hpp"

#include "fleet/service_loads.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::fleet
{

namespace
{

using admission::priority_levels;
using level_rate = double admission::priority_load::*;

constexpr double steps_per_unit_rate = 100.0;
constexpr std::uint32_t max_requests = 10'000'000;
/// 10 million requests/s.
constexpr std::uint32_t max_rate_steps = 1'000'000'000;
constexpr std::size_t max_service_name_bytes = 256;

std::uint32_t write_number(double value, std::uint32_t max)
{
    const double rounded = std::round(value);
    // Not true for a value that is not a number.
    return rounded > 0.0 ? static_cast<std::uint32_t>(std::min<double>(rounded, max)) : 0;
}

std::uint32_t write_load_rate(double rate)
{
    return write_number(rate * steps_per_unit_rate, max_rate_steps);
}

double read_load_rate(std::uint32_t steps)
{
    return steps / steps_per_unit_rate;
}

/// Returns the number of levels up to the last one whose rate is not 0 as it is sent.
unsigned used_levels(const admission::service_load& load, level_rate rate)
{
    unsigned used = 0;
    for (unsigned level = 0; level < priority_levels; ++level)
    {
        used = write_load_rate(load.by_priority.at(level).*rate) > 0 ? level + 1 : used;
    }
    return used;
}

void write_levels(capnp::List<std::uint32_t>::Builder out, const admission::service_load& load,
                  level_rate rate)
{
    for (unsigned level = 0; level < out.size(); ++level)
    {
        out.set(level, write_load_rate(load.by_priority.at(level).*rate));
    }
}

/// Returns whether all rates were in range.
bool read_levels(capnp::List<std::uint32_t>::Reader steps, admission::service_load& load,
                 level_rate rate)
{
    if (steps.size() > priority_levels)
    {
        return false;
    }
    for (unsigned level = 0; level < steps.size(); ++level)
    {
        if (steps[level] > max_rate_steps)
        {
            return false;
        }
        load.by_priority.at(level).*rate = read_load_rate(steps[level]);
    }
    return true;
}

std::optional<stated_load> read_load(wire::ServiceLoad::Reader entry)
{
    const auto name = entry.getService();
    const bool in_range = name.size() > 0 && name.size() <= max_service_name_bytes &&
                          entry.getRunning() <= max_requests &&
                          entry.getWaiting() <= max_requests &&
                          entry.getCompletions() <= max_rate_steps;
    if (!in_range)
    {
        return std::nullopt;
    }
    stated_load out;
    out.service.assign(name.begin(), name.size());
    out.load.running = entry.getRunning();
    out.load.waiting = entry.getWaiting();
    out.load.completions = read_load_rate(entry.getCompletions());
    const bool levels_in_range =
        read_levels(entry.getArrivals(), out.load, &admission::priority_load::arrivals) &&
        read_levels(entry.getRejections(), out.load, &admission::priority_load::rejections);
    return levels_in_range ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace

void write_loads(capnp::List<wire::ServiceLoad>::Builder out, const std::vector<stated_load>& loads)
{
    for (unsigned i = 0; i < out.size(); ++i)
    {
        const admission::service_load& load = loads[i].load;
        auto entry = out[i];
        entry.setService(loads[i].service);
        entry.setRunning(write_number(load.running, max_requests));
        entry.setWaiting(write_number(load.waiting, max_requests));
        entry.setCompletions(write_load_rate(load.completions));
        const auto arrivals = &admission::priority_load::arrivals;
        write_levels(entry.initArrivals(used_levels(load, arrivals)), load, arrivals);
        const auto rejections = &admission::priority_load::rejections;
        write_levels(entry.initRejections(used_levels(load, rejections)), load, rejections);
    }
}

std::vector<stated_load> read_loads(capnp::List<wire::ServiceLoad>::Reader loads)
{
    std::vector<stated_load> out;
    const std::size_t count = std::min<std::size_t>(loads.size(), max_stated_loads);
    for (unsigned i = 0; i < count; ++i)
    {
        if (auto load = read_load(loads[i]))
        {
            out.push_back(std::move(*load));
        }
    }
    return out;
}

} // namespace zinniaferry::fleet
