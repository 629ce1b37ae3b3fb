/// Measures in virtual time how a configuration spreads: time until a version is in force
/// everywhere, calls to the configuration service, and control bytes of a process.
#include "fleet/spread_model.hpp"
#include "support/figure.hpp"

#include <algorithm>
#include <string>

namespace
{

using namespace zinniaferry;
using namespace std::chrono_literals;

// R11 and section 1.4 of the design page.
constexpr double bound_seconds = 12.0;
constexpr double bound_calls = 2000.0;
constexpr double bound_bytes = 2048.0;

constexpr double changes_per_day = 42'000.0;
constexpr int measured_versions = 20;
constexpr auto settle = 20s;
constexpr auto measured_time = 60s;

bool all_passed = true;

void report(const std::string& name, double value, const char* unit, double bound)
{
    const bool pass = bench::print({.name = "configuration/" + name,
                                    .value = value,
                                    .unit = unit,
                                    .bound = bound,
                                    .pass = value <= bound});
    all_passed = all_passed && pass;
}

std::uint64_t largest_sum(const fleet::spread_model& model)
{
    std::uint64_t largest = 0;
    for (const fleet::modelled_process& process : model.processes)
    {
        largest = std::max(largest, process.bytes_sent);
    }
    return largest;
}

std::uint64_t sum_of_bytes(const fleet::spread_model& model)
{
    std::uint64_t sum = 0;
    for (const fleet::modelled_process& process : model.processes)
    {
        sum += process.bytes_sent;
    }
    return sum;
}

void reset_counters(fleet::spread_model& model)
{
    for (fleet::modelled_process& process : model.processes)
    {
        process.bytes_sent = 0;
    }
    model.service_calls = 0;
}

fleet::spread_model settled_model(std::uint32_t processes, std::uint64_t seed)
{
    fleet::spread_model model =
        fleet::make_spread_model({.processes = processes, .max_vms = processes + 1, .seed = seed});
    fleet::run_until(model, model.now + settle);
    reset_counters(model);
    return model;
}

// A version that was not reached in time counts as twice the bound.
double longest_spread(std::uint32_t processes, bool one_reaches_service)
{
    fleet::spread_model model = settled_model(processes, processes);
    if (one_reaches_service)
    {
        for (std::size_t i = 1; i < model.processes.size(); ++i)
        {
            model.processes[i].reaches_service = false;
        }
        fleet::run_until(model, model.now + settle);
    }
    double longest = 0.0;
    for (int i = 0; i < measured_versions; ++i)
    {
        fleet::publish(model);
        const auto taken = fleet::time_to_reach_all(model, model.version, 24s);
        longest = std::max(longest, taken ? core::to_seconds(*taken) : 2 * bound_seconds);
        fleet::run_until(model, model.now + 1700ms);
    }
    return longest;
}

struct cost
{
    double calls = 0.0;         ///< A second, of the whole fleet.
    double bytes = 0.0;         ///< A second, of a process on average.
    double largest_bytes = 0.0; ///< A second, of the process that sent most.
    double isolated = 0.0;      ///< Part of the time that a process was isolated.
};

cost measure_cost(std::uint32_t processes, double changes_per_second, fleet::service_mode mode)
{
    fleet::spread_model model = settled_model(processes, 100 + processes);
    model.mode = mode;
    fleet::run_until(model, model.now + settle);
    reset_counters(model);
    const core::time_point begin = model.now;
    const core::time_point end = begin + measured_time;
    std::uint64_t isolated = 0;
    std::uint64_t samples = 0;
    double due = 0.0;
    while (model.now < end)
    {
        due += 0.1 * changes_per_second;
        for (; due >= 1.0; due -= 1.0)
        {
            fleet::publish(model);
        }
        fleet::run_until(model, model.now + 100ms);
        for (const fleet::modelled_process& process : model.processes)
        {
            isolated += fleet::is_isolated(process.members, model.now) ? 1 : 0;
            ++samples;
        }
    }
    const double seconds = core::to_seconds(model.now - begin);
    return {.calls = static_cast<double>(model.service_calls) / seconds,
            .bytes = static_cast<double>(sum_of_bytes(model)) / seconds / processes,
            .largest_bytes = static_cast<double>(largest_sum(model)) / seconds,
            .isolated = static_cast<double>(isolated) / static_cast<double>(samples)};
}

void report_cost(const std::string& name, const cost& measured)
{
    report(name + "/service_calls", measured.calls, "1/s", bound_calls);
    report(name + "/control_bytes", measured.bytes, "B/s", bound_bytes);
    report(name + "/control_bytes_of_busiest", measured.largest_bytes, "B/s", bound_bytes);
    report(name + "/isolated_time", measured.isolated, "1", 0.0);
}

} // namespace

int main()
{
    const double changes = changes_per_day / 86'400.0;
    for (const std::uint32_t processes : {19U, 48U, 120U})
    {
        const std::string name = std::to_string(processes);
        report(name + "/spread", longest_spread(processes, false), "s", bound_seconds);
        report(name + "/spread_one_reaches_service", longest_spread(processes, true), "s",
               bound_seconds);
        report_cost(name + "/idle", measure_cost(processes, 0.0, fleet::service_mode::up));
        report_cost(name + "/changes", measure_cost(processes, changes, fleet::service_mode::up));
        report_cost(name + "/service_down",
                    measure_cost(processes, 0.0, fleet::service_mode::down));
    }
    return all_passed ? 0 : 1;
}
