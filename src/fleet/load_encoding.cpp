#include "fleet/load_encoding.hpp"

#include "fleet/service_loads.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::fleet
{

namespace
{

using admission::priority_levels;

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

/// Returns the arrivals and rejections of each priority in turn, without the zeros at the end.
std::vector<std::uint32_t> write_levels(const admission::service_load& load)
{
    std::vector<std::uint32_t> out;
    for (const admission::priority_load& level : load.by_priority)
    {
        out.push_back(write_load_rate(level.arrivals));
        out.push_back(write_load_rate(level.rejections));
    }
    while (!out.empty() && out.back() == 0)
    {
        out.pop_back();
    }
    return out;
}

/// Returns whether all rates were in range.
bool read_levels(capnp::List<std::uint32_t>::Reader steps, admission::service_load& load)
{
    if (steps.size() > 2 * priority_levels)
    {
        return false;
    }
    for (unsigned i = 0; i < steps.size(); ++i)
    {
        if (steps[i] > max_rate_steps)
        {
            return false;
        }
        admission::priority_load& level = load.by_priority.at(i / 2);
        (i % 2 == 0 ? level.arrivals : level.rejections) = read_load_rate(steps[i]);
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
    const bool levels_in_range = read_levels(entry.getByPriority(), out.load);
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
        const std::vector<std::uint32_t> rates = write_levels(load);
        entry.setByPriority(kj::arrayPtr(rates.data(), rates.size()));
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
