#include "admission/service_load.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::admission
{

namespace
{

/// Time in which an average of events per second falls to 1/e of its value without further events.
constexpr core::duration averaging_time = std::chrono::seconds(1);
/// A fleet's load that is older says nothing of the present: bursts come and go within a second.
constexpr core::duration max_fleet_load_age = std::chrono::milliseconds(1500);

/// Returns what is left of an average after `elapsed` without events.
double decay(core::duration elapsed)
{
    const double periods = core::to_seconds(elapsed) / core::to_seconds(averaging_time);
    return std::exp(-std::max(0.0, periods));
}

void scale_averages(service_load& load, double factor)
{
    load.completions *= factor;
    for (priority_load& level : load.by_priority)
    {
        level.arrivals *= factor;
        level.rejections *= factor;
    }
}

// Events may be recorded with the times of different requests, so time does not go back.
void advance(load_meter& meter, core::time_point now)
{
    if (now > meter.updated_at)
    {
        scale_averages(meter.averages, decay(now - meter.updated_at));
        meter.updated_at = now;
    }
}

// One event raises its average by as much as makes regular events average to their true rate.
void count_event(double& average)
{
    average += 1.0 / core::to_seconds(averaging_time);
}

// An end without a begin comes from a request that outlived its meter.
void count_end(double& running)
{
    running = std::max(0.0, running - 1.0);
}

} // namespace

std::size_t priority_level(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, priority_levels - 1);
}

double total_arrivals(const service_load& load)
{
    double total = 0.0;
    for (const priority_load& level : load.by_priority)
    {
        total += level.arrivals;
    }
    return total;
}

double total_rejections(const service_load& load)
{
    double total = 0.0;
    for (const priority_load& level : load.by_priority)
    {
        total += level.rejections;
    }
    return total;
}

void add(service_load& sum, const service_load& part)
{
    sum.running += part.running;
    sum.waiting += part.waiting;
    sum.completions += part.completions;
    for (std::size_t level = 0; level < priority_levels; ++level)
    {
        sum.by_priority.at(level).arrivals += part.by_priority.at(level).arrivals;
        sum.by_priority.at(level).rejections += part.by_priority.at(level).rejections;
    }
}

const service_load* find_recent(const fleet_load& load, const std::string& service,
                                core::time_point now)
{
    if (load.as_of == core::time_point() || now - load.as_of > max_fleet_load_age)
    {
        return nullptr;
    }
    const auto found = load.by_service.find(service);
    return found == load.by_service.end() ? nullptr : &found->second;
}

void on_arrival(load_meter& meter, std::uint32_t priority, core::time_point now)
{
    advance(meter, now);
    count_event(meter.averages.by_priority.at(priority_level(priority)).arrivals);
}

void on_rejected(load_meter& meter, std::uint32_t priority, core::time_point now)
{
    advance(meter, now);
    count_event(meter.averages.by_priority.at(priority_level(priority)).rejections);
}

void on_wait_began(load_meter& meter)
{
    meter.averages.waiting += 1.0;
}

void on_wait_ended(load_meter& meter)
{
    count_end(meter.averages.waiting);
}

void on_attempt_began(load_meter& meter)
{
    meter.averages.running += 1.0;
}

void on_attempt_ended(load_meter& meter, bool completed, core::time_point now)
{
    count_end(meter.averages.running);
    if (completed)
    {
        advance(meter, now);
        count_event(meter.averages.completions);
    }
}

service_load read(const load_meter& meter, core::time_point now)
{
    load_meter current = meter;
    advance(current, now);
    return current.averages;
}

} // namespace zinniaferry::admission
