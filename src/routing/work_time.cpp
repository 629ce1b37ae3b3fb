#include "routing/work_time.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::routing
{

namespace
{

/// Lowest occupancy of each band: few free slots, the last slot, and a queue.
constexpr std::array<double, occupancy_bands> band_starts = {0.7, 1.0, 1.0001};
/// A stronger effect is taken for a fault of the server, which its slowness shows.
constexpr double max_occupancy_factor = 4.0;
/// Factors lose about two thirds of their excess in this time without a response.
constexpr core::duration occupancy_time_constant = std::chrono::seconds(20);
/// Weight of the newest response in a factor.
constexpr double occupancy_weight = 0.05;
/// Relative step of the median. Equal steps up and down settle where half is on each side.
constexpr double median_step = 0.05;
/// Fraction of a route's requests that end within its margin.
constexpr double margin_fraction = 0.8;
/// Relative step of the margin.
constexpr double margin_step = 0.05;
constexpr double min_margin = 1.1;
constexpr double max_margin = 3.0;
/// A route that is given little more than its usual time gets a server while this fraction of its
/// time is left; the rest covers the selection of the server.
constexpr double tight_route_fraction = 0.8;

/// Least fraction of a latency that counts as work: the queue may have been shorter than expected.
constexpr double min_work_fraction = 0.25;

std::size_t band_of(double occupancy)
{
    std::size_t band = 0;
    while (band + 1 < occupancy_bands && occupancy >= band_starts.at(band + 1))
    {
        ++band;
    }
    return band;
}

double band_factor(const occupancy_effect::band& band, core::time_point now)
{
    const double age = std::max(0.0, core::to_seconds(now - band.updated_at));
    return 1.0 + (band.factor - 1.0) * std::exp(-age / core::to_seconds(occupancy_time_constant));
}

double bounded_slowdown(double slowdown)
{
    return std::clamp(slowdown, 1.0, max_believed_slowdown);
}

void learn_occupancy(occupancy_effect& effect, double occupancy, double ratio, core::time_point now)
{
    if (occupancy < band_starts.front())
    {
        return;
    }
    occupancy_effect::band& band = effect.bands.at(band_of(occupancy));
    const double previous = band_factor(band, now);
    const double bounded = std::clamp(ratio, 1.0, max_occupancy_factor);
    band.factor = previous + occupancy_weight * (bounded - previous);
    band.updated_at = now;
}

void learn_margin(work_time& route, double ratio)
{
    const double step = ratio > route.margin ? margin_step * margin_fraction
                                             : -margin_step * (1.0 - margin_fraction);
    route.margin = std::clamp(route.margin * (1.0 + step), min_margin, max_margin);
}

} // namespace

double occupancy_factor(const occupancy_effect& effect, double occupancy, core::time_point now)
{
    return occupancy < band_starts.front()
               ? 1.0
               : std::max(1.0, band_factor(effect.bands.at(band_of(occupancy)), now));
}

double load_factor(const occupancy_effect& effect, const load_at_send& load, core::time_point now)
{
    return bounded_slowdown(load.slowdown) * occupancy_factor(effect, load.occupancy, now);
}

void record_work(work_time& route, occupancy_effect& effect, const load_at_send& load,
                 core::duration latency, core::time_point now)
{
    const double slowdown = bounded_slowdown(load.slowdown);
    const double usual_s = core::to_seconds(route.usual);
    const double latency_s = std::max(core::to_seconds(latency - load.queue),
                                      core::to_seconds(latency) * min_work_fraction);
    if (usual_s <= 0.0)
    {
        route.usual = core::from_seconds(latency_s / slowdown);
        return;
    }
    const double ratio = latency_s / (usual_s * load_factor(effect, load, now));
    learn_margin(route, ratio);
    learn_occupancy(effect, load.occupancy, latency_s / (usual_s * slowdown), now);
    route.usual = core::from_seconds(usual_s * (1.0 + (ratio > 1.0 ? median_step : -median_step)));
}

void record_unfinished_work(work_time& route, occupancy_effect& effect, const load_at_send& load,
                            core::duration at_least, core::time_point now)
{
    const double expected =
        core::to_seconds(route.usual) * load_factor(effect, load, now) * route.margin;
    // A request that was ended before most would have responded says nothing.
    if (expected > 0.0 && core::to_seconds(at_least - load.queue) > expected)
    {
        record_work(route, effect, load, at_least, now);
    }
}

core::duration needed_time(const run_limit& limit, const time_at_server& expected,
                           double usual_slowdown)
{
    const double usual_s =
        core::to_seconds(limit.work.usual) * std::max(1.0, bounded_slowdown(usual_slowdown));
    const double tight_margin = usual_s > 0.0
                                    ? tight_route_fraction * core::to_seconds(limit.whole) / usual_s
                                    : limit.work.margin;
    const double margin = std::min(limit.work.margin, tight_margin);
    return core::from_seconds(core::to_seconds(expected.queue) * queue_time_margin +
                              core::to_seconds(expected.work) * margin);
}

bool would_outlive(const run_limit& limit, const time_at_server& expected, double usual_slowdown)
{
    return limit.work.usual > core::duration::zero() &&
           needed_time(limit, expected, usual_slowdown) > limit.left;
}

} // namespace zinniaferry::routing
