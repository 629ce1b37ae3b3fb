/// Compares the selection with its baselines in virtual time: p99 and p99.9 of the time to a good
/// answer on the high-priority route, at 70% and 90% load, under noisy neighbours and faults.
/// A failed request counts as its timeout. Exits 1 when the selection loses to a baseline.
#include "support/report.hpp"

#include <cmath>

namespace
{

using namespace zinniaferry;
using namespace std::chrono_literals;

struct deployment
{
    const char* name = "";
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    core::duration between{};
};

constexpr deployment deployments[] = {{"kandy_orders", 8, 2, 1500us},
                                      {"kandy_patterns", 12, 2, 1500us},
                                      {"tanrend_approvals", 8, 6, 1000us},
                                      {"tanrend_timetables", 12, 6, 1000us}};
constexpr const char* faults[] = {"noisy", "slow_server", "fail_fast"};
constexpr double loads[] = {0.7, 0.9};
constexpr std::uint64_t seeds[] = {1, 2};
constexpr std::optional<routing::baseline> policies[] = {
    std::nullopt, routing::baseline::random, routing::baseline::round_robin,
    routing::baseline::least_in_flight, routing::baseline::two_choices};

constexpr bench::window measured{.from = 6s, .to = 30s};

bench::scenario make_plan(const deployment& where, const std::string& fault, double load,
                          std::optional<routing::baseline> policy, std::uint64_t seed)
{
    bench::scenario plan{.servers = where.servers,
                         .slots = where.slots,
                         .between_centres = where.between,
                         .load = load,
                         .baseline = policy,
                         .seed = seed};
    const bench::window trouble{.from = 10s, .to = 20s};
    if (fault == "slow_server")
    {
        plan.slow = trouble;
    }
    if (fault == "fail_fast")
    {
        plan.fail_fast = trouble;
    }
    return plan;
}

bool report(const std::string& name, const std::vector<std::vector<bench::finished_request>>& runs,
            double part)
{
    constexpr config::request_class route = config::request_class::order;
    const double own = bench::quantile_ms(runs[0], route, part, measured);
    double best = 1e9;
    std::string best_name;
    for (std::size_t i = 1; i < std::size(policies); ++i)
    {
        const double value = bench::quantile_ms(runs[i], route, part, measured);
        bench::print(
            {.name = name + "/" + routing::to_string(*policies[i]), .value = value, .unit = "ms"});
        if (value < best)
        {
            best = value;
            best_name = routing::to_string(*policies[i]);
        }
    }
    return bench::print({.name = name + "/select",
                         .value = own,
                         .unit = "ms",
                         .bound = best,
                         .baseline = best_name,
                         .pass = own < best});
}

bool run_case(const deployment& where, const char* fault, double load)
{
    std::vector<bench::scenario> plans;
    for (const auto& policy : policies)
    {
        for (const std::uint64_t seed : seeds)
        {
            plans.push_back(make_plan(where, fault, load, policy, seed));
        }
    }
    std::vector<bench::fleet_result> results = bench::run_all(plans);
    std::vector<std::vector<bench::finished_request>> merged(std::size(policies));
    bool good = true;
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        auto& list = merged[i / std::size(seeds)];
        list.insert(list.end(), results[i].finished.begin(), results[i].finished.end());
        good &= results[i].probe_time <= results[i].probe_budget;
    }
    const std::string name =
        std::string(where.name) + "/" + fault + "/" + std::to_string(std::lround(load * 100));
    good &= report(name + "/p99", merged, 0.99);
    good &= report(name + "/p99.9", merged, 0.999);
    good &= bench::print({.name = name + "/probe_time",
                          .value = core::to_seconds(results[0].probe_time) * 1e3,
                          .unit = "ms",
                          .bound = core::to_seconds(results[0].probe_budget) * 1e3,
                          .pass = results[0].probe_time <= results[0].probe_budget});
    return good;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    bool good = true;
    for (const deployment& where : deployments)
    {
        for (const char* fault : faults)
        {
            for (const double load : loads)
            {
                const std::string name = std::string(where.name) + "/" + fault;
                if (name.find(only) != std::string::npos)
                {
                    good &= run_case(where, fault, load);
                }
            }
        }
    }
    return good ? 0 : 1;
}
