#include "model/run.hpp"

#include "model/callers.hpp"
#include "model/cut_off_restarts.hpp"
#include "model/operator.hpp"
#include "model/restorations.hpp"
#include "model/scenario.hpp"
#include "model/world.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

/// Leaves time for the fleet to start before disturbances begin.
constexpr core::duration calm_time = std::chrono::seconds(6);
/// Leaves time for the fleet to come back after them.
constexpr core::duration last_calm_time = std::chrono::seconds(8);
/// A daemon takes the earliest times for "never".
constexpr core::time_point start{std::chrono::seconds(1000)};
constexpr std::size_t usual_seed_count = 2;

std::unique_ptr<world> make_world(const run_options& options)
{
    auto out = std::make_unique<world>();
    out->random.seed(options.seed);
    out->injected = options.injected;
    out->queue.now = start;
    out->net = make_network(options.daemons + 1);
    out->store.out_of_reach.assign(options.daemons, false);
    out->history.daemon_disturbances.resize(options.daemons);
    for (std::size_t i = 0; i < options.daemons; ++i)
    {
        const std::string vm = "vm-" + std::to_string(i + 1);
        const std::string data_centre = data_centre_name(i % data_centre_count);
        out->daemons.push_back(
            {.identity = {.vm = vm, .address = vm + ":9000", .data_centre = data_centre},
             .data_centre = data_centre});
    }
    for (std::size_t i = 0; i < std::min(usual_seed_count, options.daemons); ++i)
    {
        out->seeds.push_back(i);
    }
    return out;
}

void schedule_disturbances(world& world, const run_options& options, core::time_point begin,
                           core::time_point end)
{
    if (options.cut_off_restarts)
    {
        schedule_cut_off_restarts(world, begin, end, options.seed);
        return;
    }
    schedule_scenario(world, begin, end);
    if (options.store_restorations)
    {
        schedule_restorations(world, begin, end, options.seed);
    }
}

} // namespace

run_result run(const run_options& options)
{
    const std::unique_ptr<world> world = make_world(options);
    const core::time_point end = start + options.length;
    if (options.cut_off_restarts)
    {
        choose_seeds(*world, options.seed);
    }
    list_servers(*world);
    publish_configuration(*world);
    for (std::size_t i = 0; i < world->daemons.size(); ++i)
    {
        start_process(*world, i);
    }
    schedule(world->queue, start + std::chrono::seconds(1),
             [&world, end] { start_callers(*world, end); });
    schedule_disturbances(*world, options, start + calm_time, end - last_calm_time);
    run_until(world->queue, end);
    const auto& requests = world->history.requests;
    return {.violations = find_violations(world->history, world->bounds),
            .requests = requests.size(),
            .successes = static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(),
                                                                [](const request_record& entry)
                                                                { return entry.status == 200; })),
            .versions = world->history.configurations.size()};
}

} // namespace zinniaferry::model
