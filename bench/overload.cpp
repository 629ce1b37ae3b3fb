/// Twice the capacity is offered for ten seconds, in virtual time, by callers that repeat what
/// fails: goodput during the overload against goodput at capacity, the time until goodput is back
/// after it ends, and who was shed. The same run without admission control is the baseline.
#include "support/report.hpp"

namespace
{

using namespace zinniaferry;
using namespace std::chrono_literals;

constexpr bench::window overload{.from = 10s, .to = 20s};
/// The first second is left out, as the limits adapt in it.
constexpr bench::window measured{.from = 11s, .to = 20s};

struct deployment
{
    const char* name = "";
    std::uint32_t servers = 0;
    std::uint32_t slots = 0;
    core::duration between{};
};

constexpr deployment deployments[] = {{"kandy_orders", 8, 2, 1500us},
                                      {"tanrend_timetables", 12, 6, 1000us}};

bench::scenario make_plan(const deployment& where, double during, bool admission)
{
    return {.servers = where.servers,
            .slots = where.slots,
            .between_centres = where.between,
            .load = 0.7,
            .order_part = 0.15,
            .lookup_part = 0.3,
            .length = 40s,
            .overload = overload,
            .overload_load = during,
            .caller_retries = 2,
            .admission = admission,
            .seed = 11};
}

/// Returns the seconds from the end of the overload until a whole second of arrivals has at least
/// 95% of the good answers of the time before it.
double recovery(const bench::fleet_result& result)
{
    const double before = bench::goodput(result.finished, {.from = 5s, .to = 10s});
    for (core::duration from = overload.to; from < 39s; from += 100ms)
    {
        if (bench::goodput(result.finished, {.from = from, .to = from + 1s}) >= 0.95 * before)
        {
            return core::to_seconds(from - overload.to);
        }
    }
    return 1e3;
}

bool run_case(const deployment& where)
{
    const std::vector<bench::fleet_result> results = bench::run_all(
        {make_plan(where, 1.0, true), make_plan(where, 2.0, true), make_plan(where, 2.0, false)});
    const double at_capacity = bench::goodput(results[0].finished, measured);
    const double at_twice = bench::goodput(results[1].finished, measured);
    const std::string name = where.name;
    bool good = bench::print({.name = name + "/goodput_at_twice_over_capacity",
                              .value = at_twice / at_capacity,
                              .unit = "ratio",
                              .bound = 0.95,
                              .baseline = "goodput at capacity",
                              .pass = at_twice >= 0.95 * at_capacity});
    bench::print({.name = name + "/without_admission/goodput_at_twice_over_capacity",
                  .value = bench::goodput(results[2].finished, measured) / at_capacity,
                  .unit = "ratio"});
    const double back = recovery(results[1]);
    good &= bench::print({.name = name + "/recovery",
                          .value = back,
                          .unit = "s",
                          .bound = 2.0,
                          .pass = back <= 2.0});
    bench::print(
        {.name = name + "/without_admission/recovery", .value = recovery(results[2]), .unit = "s"});
    double former = 0.0;
    for (const auto priority : {config::request_class::order, config::request_class::lookup,
                                config::request_class::browse})
    {
        const double part = bench::failed_part(results[1].finished, priority, measured);
        // Each class fails at most as often as the one that is shed before it.
        good &= bench::print(
            {.name = name + "/failed_at_twice/" + config::to_string(priority),
             .value = part,
             .unit = "part",
             .bound = priority == config::request_class::order ? 0.01 : 1.0,
             .pass = part >= former && (priority != config::request_class::order || part <= 0.01)});
        former = part;
    }
    return good;
}

} // namespace

int main()
{
    bool good = true;
    for (const deployment& where : deployments)
    {
        good &= run_case(where);
    }
    return good ? 0 : 1;
}
