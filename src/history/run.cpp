#include "history/run.hpp"

#include "examples/kandy_deployment.hpp"
#include "examples/tanrend_deployment.hpp"
#include "history/traffic.hpp"

#include <boost/leaf.hpp>

#include <algorithm>
#include <cmath>

namespace zinniaferry::history
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t fewest_vms = 16;
constexpr std::size_t most_vms = 19;
/// Parts of the examples' rates and bursts, so that a bounded traffic reaches the limits.
constexpr double kandy_part = 0.15;
constexpr double tanrend_part = 0.07;
/// Shorter than the default, so that a fleet that starts together has voters by age early.
constexpr core::duration idempotency_window = 16s;
constexpr core::duration sample_interval = 50ms;
constexpr core::duration traffic_start = 12s;
/// The longest deadline, and a pause that begins with the last call.
constexpr core::duration drain_time = 25s;
constexpr core::duration injection_at = 30s;
constexpr std::uint64_t schedule_salt = 0x5EED5EED5EEDULL;

config::deployment deployment_of(std::string_view name)
{
    constexpr std::uint16_t base_port = 9100;
    return name == "tanrend" ? examples::tanrend_deployment(base_port, "127.0.0.1")
                             : examples::kandy_deployment(base_port, "127.0.0.1");
}

void sample_later(simulation& sim, observer& watcher, core::time_point until)
{
    schedule(sim.queue, sim.queue.now + sample_interval,
             [&sim, &watcher, until]
             {
                 sample(watcher, sim);
                 if (sim.queue.now < until)
                 {
                     sample_later(sim, watcher, until);
                 }
             });
}

// Puts an older version in force at one process, as the deliberate fault.
void revert_version(simulation& sim)
{
    for (process& at : sim.processes)
    {
        if (at.running && !at.node->spread.history.empty())
        {
            fleet::config_version older = at.node->spread.history.back();
            older.configuration = std::make_shared<const config::configuration>(
                sim.versions[older.version - 1].configuration);
            at.node->spread.current = std::move(older);
            return;
        }
    }
}

// Makes the occasion at which a deliberate fault shows itself.
void start_injection(simulation& sim)
{
    if (sim.options.inject == injection::version_revert)
    {
        publish(sim, [](config::configuration&) {});
        schedule(sim.queue, sim.queue.now + 1s, [&sim] { revert_version(sim); });
    }
    if (sim.options.inject == injection::blind_retry)
    {
        // Orders wait at slow servers until these restart.
        for (const auto& [name, server] : sim.servers)
        {
            if (name.starts_with("orders") || name.starts_with("approvals"))
            {
                apply_fault(sim, {.kind = "slow_server", .arguments = {name, "20", "3"}});
                schedule(sim.queue, sim.queue.now + 2s,
                         [&sim, name = name] {
                             apply_fault(sim, {.kind = "restart_server", .arguments = {name, "1"}});
                         });
            }
        }
    }
    if (sim.options.inject == injection::double_grant)
    {
        apply_fault(sim,
                    {.kind = "greedy_account", .arguments = {sim.keys.begin()->first, "10", "30"}});
    }
    if (sim.options.inject == injection::stale_key)
    {
        apply_fault(sim, {.kind = "withdraw_key", .arguments = {sim.keys.begin()->first}});
    }
}

void add_order_counters(const simulation& sim, const observer& watcher, run_report& report)
{
    for (const call& request : sim.calls)
    {
        report.counters["calls"] += 1;
        if (!request.idempotent)
        {
            report.counters["orders"] += 1;
            report.counters["orders.executed"] += request.executions;
        }
    }
    for (const auto& [key, times] : watcher.executions_of_key)
    {
        // Only traces name keys of their own; those of the traffic are too many to list.
        if (key.find("/order-") == std::string::npos)
        {
            report.counters["executions." + key] = times;
        }
    }
    double lowest = static_cast<double>(sim.versions.size());
    for (const process& at : sim.processes)
    {
        if (at.running)
        {
            lowest = std::min(lowest, static_cast<double>(node::config_version(*at.node)));
        }
    }
    report.counters["lowest_version"] = lowest;
}

} // namespace

std::optional<deployment_start> find_deployment(std::string_view name)
{
    if (name != "kandy" && name != "tanrend")
    {
        return std::nullopt;
    }
    config::deployment options = deployment_of(name);
    const double part = name == "kandy" ? kandy_part : tanrend_part;
    options.idempotency_window = idempotency_window;
    deployment_start out;
    for (config::account_options& account : options.accounts)
    {
        // The canonical text keeps a few decimals only.
        account.rate = std::round(account.rate * part * 100.0) / 100.0;
        account.burst = std::round(account.burst * part * 100.0) / 100.0;
        out.keys[account.name] = account.keys.front();
    }
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::optional<deployment_start>>
        {
            BOOST_LEAF_ASSIGN(out.configuration, config::build(options));
            return std::optional(out);
        },
        [] { return std::optional<deployment_start>(); });
}

std::size_t vm_count(const run_options& options)
{
    return options.vms != 0 ? options.vms : fewest_vms + options.seed % (most_vms - fewest_vms + 1);
}

std::vector<fault> make_faults(const run_options& options)
{
    core::random_generator random(options.seed ^ schedule_salt);
    const deployment_start start = *find_deployment(options.deployment);
    return make_schedule(random, start.configuration, vm_count(options), options.quiet_start,
                         options.length - options.quiet_end);
}

run_report run_history(const run_options& options, const std::vector<fault>& faults)
{
    const deployment_start start = *find_deployment(options.deployment);
    observer watcher;
    const auto sim = make_simulation({.seed = options.seed,
                                      .vms = vm_count(options),
                                      .way = options.way,
                                      .inject = options.inject,
                                      .tick = options.tick},
                                     start.configuration, start.keys, watcher);
    begin(watcher, *sim);
    const core::time_point end = beginning + options.length;
    schedule(sim->queue, beginning + traffic_start,
             [&] { start_traffic(*sim, {.part_of_rate = options.part_of_rate, .until = end}); });
    for (const fault& event : faults)
    {
        schedule(sim->queue, beginning + event.at, [&sim, &event] { apply_fault(*sim, event); });
    }
    schedule(sim->queue, beginning + injection_at, [&sim] { start_injection(*sim); });
    sample_later(*sim, watcher, end + drain_time);
    run_until(sim->queue, end + drain_time);
    finish(watcher, *sim);

    run_report report{.options = options,
                      .faults = faults,
                      .guarantees = watcher.guarantees,
                      .accounts = watcher.buckets,
                      .counters = sim->counters,
                      .trace = watcher.trace,
                      .digest = sim->digest};
    add_order_counters(*sim, watcher, report);
    return report;
}

std::uint64_t violation_count(const run_report& report)
{
    std::uint64_t sum = 0;
    for (const guarantee& entry : report.guarantees)
    {
        sum += entry.violations;
    }
    return sum;
}

std::vector<fault> shorten(const run_report& report)
{
    const auto first = std::find_if(report.guarantees.begin(), report.guarantees.end(),
                                    [](const guarantee& entry) { return entry.violations > 0; });
    const auto number = static_cast<std::size_t>(first - report.guarantees.begin());
    std::vector<fault> kept = report.faults;
    for (std::size_t i = kept.size(); i > 0 && number < guarantee_count; --i)
    {
        std::vector<fault> fewer = kept;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (run_history(report.options, fewer).guarantees.at(number).violations > 0)
        {
            kept = std::move(fewer);
        }
    }
    return kept;
}

} // namespace zinniaferry::history
