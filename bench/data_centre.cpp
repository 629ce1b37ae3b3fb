/// A data centre is taken out and brought back under load, in virtual time: new work that reaches
/// it after 5 s, failures and latency during both moves against the steady state of the same run.
#include "support/report.hpp"

#include <cmath>

namespace
{

using namespace zinniaferry;
using namespace std::chrono_literals;

constexpr bench::window steady{.from = 5s, .to = 15s};
constexpr bench::window out{.from = 15s, .to = 40s};
constexpr bench::window moving_out{.from = 15s, .to = 20s};
constexpr bench::window coming_back{.from = 40s, .to = 75s};

/// Latency during a move against the steady state. The load of three centres on the servers of
/// the others is a third higher, so some more waiting is expected.
constexpr double latency_bound = 1.5;
/// No more requests may fail during a move than one in a thousand beyond the steady state.
constexpr double failure_bound = 0.001;

struct deployment
{
    const char* name = "";
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    core::duration between{};
};

constexpr deployment deployments[] = {{"kandy_orders", 8, 2, 1500us},
                                      {"tanrend_timetables", 12, 6, 1000us}};

double failures(const bench::fleet_result& result, const bench::window& span)
{
    return bench::failed_part(result.finished, config::request_class::order, span) +
           bench::failed_part(result.finished, config::request_class::lookup, span);
}

bool compare(const std::string& name, const bench::fleet_result& result, const bench::window& span)
{
    constexpr config::request_class route = config::request_class::order;
    const double before = bench::quantile_ms(result.finished, route, 0.99, steady);
    const double during = bench::quantile_ms(result.finished, route, 0.99, span);
    bool good = bench::print({.name = name + "/p99_over_steady",
                              .value = during / before,
                              .unit = "ratio",
                              .bound = latency_bound,
                              .baseline = "steady state",
                              .pass = during <= before * latency_bound});
    const double more = failures(result, span) - failures(result, steady);
    good &= bench::print({.name = name + "/more_failures",
                          .value = more,
                          .unit = "part",
                          .bound = failure_bound,
                          .baseline = "steady state",
                          .pass = more <= failure_bound});
    return good;
}

bool run_case(const deployment& where, double load)
{
    bench::scenario plan{.servers = where.servers,
                         .slots = where.slots,
                         .between_centres = where.between,
                         .load = load,
                         .length = 80s,
                         .centre_out = out,
                         .seed = 7};
    const bench::fleet_result result = bench::run_all({plan}).front();
    const std::string name =
        std::string(where.name) + "/" + std::to_string(std::lround(load * 100));
    const bench::window after_limit{.from = out.from + 5s, .to = out.to};
    const auto late =
        std::count_if(result.work_at_centre_0.begin(), result.work_at_centre_0.end(),
                      [&](core::time_point at) { return bench::contains(after_limit, at); });
    bool good = bench::print({.name = name + "/new_work_after_5s",
                              .value = static_cast<double>(late),
                              .unit = "requests",
                              .bound = 0.0,
                              .pass = late == 0});
    const bench::window ramped{.from = 75s, .to = 80s};
    const auto back =
        std::count_if(result.work_at_centre_0.begin(), result.work_at_centre_0.end(),
                      [&](core::time_point at) { return bench::contains(ramped, at); });
    const auto before = std::count_if(
        result.work_at_centre_0.begin(), result.work_at_centre_0.end(),
        [](core::time_point at) { return bench::contains({.from = 5s, .to = 10s}, at); });
    // Without this, a data centre that never got work again would pass every other bound.
    good &= bench::print({.name = name + "/work_after_return_over_before",
                          .value = static_cast<double>(back) / static_cast<double>(before),
                          .unit = "ratio",
                          .bound = 0.8,
                          .baseline = "before the move",
                          .pass = static_cast<double>(back) >= 0.8 * static_cast<double>(before)});
    good &= compare(name + "/out", result, moving_out);
    good &= compare(name + "/back", result, coming_back);
    return good;
}

} // namespace

int main()
{
    bool good = true;
    for (const deployment& where : deployments)
    {
        // With one of four centres out, 50% and 65% become 67% and 87% of what is left.
        for (const double load : {0.5, 0.65})
        {
            good &= run_case(where, load);
        }
    }
    return good ? 0 : 1;
}
