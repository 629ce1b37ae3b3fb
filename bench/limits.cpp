// Compares the ways to divide account limits, on the same arrivals in virtual time. Prints one
// JSON object per figure; the exit code is 1 when a bound is broken.
#include "limits/virtual_fleet.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <optional>

namespace
{

using namespace std::chrono_literals;
using namespace zinniaferry;
using core::time_point;

constexpr std::size_t vms = 18;
constexpr std::uint32_t max_vms = 20;
constexpr std::uint64_t seed = 20260;
// Seats, quarantine and first leases are over by then; faults begin with the measurement.
constexpr time_point measured_from{40s};
constexpr time_point measured_to{160s};
constexpr double control_bytes_per_second = 2048.0;
constexpr double rounding = 1e-6;

struct bench_case
{
    const char* name;
    std::vector<config::account> accounts;
    std::string greedy; ///< Sends four times its rate.
    std::string alone;  ///< All of its traffic arrives at one VM.
    bool replaces_all = false;
    bool splits = false;
};

struct account_result
{
    limits::bound_meter bound;
    double central_tokens = 0.0; ///< Of one bucket that only admitted requests drain.
    time_point central_at{};
    std::uint64_t requests = 0;
    std::uint64_t admitted = 0;
    std::uint64_t wrongful = 0;
    double ideal_tokens = 0.0; ///< Of one bucket that gets the same arrivals.
    std::uint64_t ideal_admitted = 0;
};

struct case_result
{
    std::map<std::string, account_result> accounts;
    double messages_per_second = 0.0;
    double bytes_per_second = 0.0;
    double worst_bytes_per_second = 0.0;
};

std::vector<config::account> usual_accounts()
{
    return {{.name = "large-a", .rate = 400, .burst = 400},
            {.name = "large-b", .rate = 300, .burst = 300},
            {.name = "middle-a", .rate = 100, .burst = 100},
            {.name = "middle-b", .rate = 80, .burst = 120},
            {.name = "middle-c", .rate = 50, .burst = 60},
            {.name = "small-a", .rate = 20, .burst = 40},
            {.name = "small-b", .rate = 10, .burst = 20},
            {.name = "small-c", .rate = 5, .burst = 10}};
}

// Seats of VMs that do not run are wasted; this shows how much of the loss comes from them.
std::vector<config::account> accounts_with_large_seats()
{
    std::vector<config::account> accounts = usual_accounts();
    for (config::account& account : accounts)
    {
        account.seat_fraction = 0.5;
    }
    return accounts;
}

// The sizes of Tanrend, see examples/tanrend_deployment.hpp.
std::vector<config::account> tanrend_accounts()
{
    return {{.name = "budapest-schools", .rate = 2000, .burst = 4000},
            {.name = "alfold-publishing", .rate = 1500, .burst = 3000},
            {.name = "dunantul-press", .rate = 1000, .burst = 2000},
            {.name = "szeged-textbooks", .rate = 400, .burst = 800},
            {.name = "debrecen-music", .rate = 200, .burst = 400},
            {.name = "miskolc-crafts", .rate = 150, .burst = 300},
            {.name = "pecs-languages", .rate = 100, .burst = 200},
            {.name = "eger-evening-school", .rate = 50, .burst = 100}};
}

std::vector<config::account> small_bursts()
{
    return {{.name = "burst-1", .rate = 0.5, .burst = 1},
            {.name = "burst-2", .rate = 2, .burst = 2},
            {.name = "burst-5", .rate = 5, .burst = 5},
            {.name = "burst-5-slow", .rate = 0.2, .burst = 5}};
}

std::vector<bench_case> all_cases()
{
    return {
        {.name = "steady", .accounts = usual_accounts()},
        {.name = "one_vm", .accounts = usual_accounts(), .alone = "middle-a"},
        {.name = "greedy", .accounts = usual_accounts(), .greedy = "large-b"},
        {.name = "replacement", .accounts = usual_accounts(), .replaces_all = true},
        {.name = "split", .accounts = usual_accounts(), .splits = true},
        // Only an account that sends more than its rate shows two owners that both admit it.
        {.name = "split_greedy", .accounts = usual_accounts(), .greedy = "large-b", .splits = true},
        {.name = "steady_large_seats", .accounts = accounts_with_large_seats()},
        {.name = "tanrend", .accounts = tanrend_accounts()},
        {.name = "tanrend_greedy", .accounts = tanrend_accounts(), .greedy = "miskolc-crafts"},
        {.name = "small_bursts", .accounts = small_bursts()}};
}

void add_arrivals(limits::virtual_fleet& fleet, const bench_case& what)
{
    core::random_generator random(seed);
    std::uint64_t id = 0;
    for (const config::account& account : what.accounts)
    {
        const double rate = account.rate * (account.name == what.greedy ? 4.0 : 0.9);
        time_point at{1s};
        while (at < measured_to)
        {
            at += core::from_seconds(-std::log(1.0 - core::uniform(random)) / rate);
            const std::size_t vm = account.name == what.alone ? 3 : random() % vms;
            limits::arrive(fleet, vm, account.name, ++id, at);
        }
    }
}

void note_end(case_result& result, const limits::request_end& end)
{
    account_result& account = result.accounts.at(end.account);
    const double elapsed = core::to_seconds(end.at - account.central_at);
    account.central_tokens =
        std::min(account.bound.burst, account.central_tokens + elapsed * account.bound.rate);
    account.ideal_tokens =
        std::min(account.bound.burst, account.ideal_tokens + elapsed * account.bound.rate);
    account.central_at = end.at;
    const bool measured = end.at >= measured_from;
    account.requests += measured ? 1 : 0;
    if (account.ideal_tokens >= 1.0)
    {
        account.ideal_tokens -= 1.0;
        account.ideal_admitted += measured ? 1 : 0;
    }
    if (end.admitted)
    {
        limits::record(account.bound, end.at);
        account.central_tokens = std::max(0.0, account.central_tokens - 1.0);
        account.admitted += measured ? 1 : 0;
    }
    else if (account.central_tokens >= 1.0 && measured)
    {
        ++account.wrongful;
    }
}

// Each VM stops as planned, ends after stop_grace and starts again as a new process, while the next
// one stops. Requests still arrive at a stopping VM, as the platform's balancer lags.
void replace_all(limits::virtual_fleet& fleet)
{
    constexpr core::duration stop_grace = 5s;
    for (std::size_t i = 0; i < vms; ++i)
    {
        limits::stop(fleet, i);
        limits::run_until(fleet, fleet.now + stop_grace);
        limits::kill(fleet, i);
        limits::start(fleet, i);
    }
}

void drive(limits::virtual_fleet& fleet, const bench_case& what)
{
    if (what.replaces_all)
    {
        replace_all(fleet);
    }
    if (what.splits)
    {
        limits::run_until(fleet, measured_from + 10s);
        for (std::size_t i = 0; i < vms; ++i)
        {
            fleet.processes[i].side = i < vms / 2 ? 0 : 1;
        }
        limits::run_until(fleet, measured_from + 40s);
        for (limits::virtual_process& process : fleet.processes)
        {
            process.side = 0;
        }
    }
    limits::run_until(fleet, measured_to);
}

case_result run_case(const bench_case& what, const limits::strategy& way)
{
    config::configuration config{.version = 1, .max_vms = max_vms};
    config.accounts = what.accounts;
    limits::virtual_fleet fleet = limits::make_virtual_fleet(vms, {.way = way}, {}, config, seed);
    case_result result;
    for (const config::account& account : what.accounts)
    {
        result.accounts[account.name].bound = {.rate = account.rate, .burst = account.burst};
    }
    fleet.on_end = [&](const limits::request_end& end)
    {
        note_end(result, end);
    };
    add_arrivals(fleet, what);
    limits::run_until(fleet, measured_from);
    const std::uint64_t messages = fleet.messages_sent;
    std::vector<std::uint64_t> bytes;
    for (const limits::virtual_process& process : fleet.processes)
    {
        bytes.push_back(process.bytes_sent);
    }
    drive(fleet, what);
    const double seconds = core::to_seconds(measured_to - measured_from);
    result.messages_per_second =
        static_cast<double>(fleet.messages_sent - messages) / seconds / vms;
    for (std::size_t i = 0; i < vms; ++i)
    {
        const double rate = static_cast<double>(fleet.processes[i].bytes_sent - bytes[i]) / seconds;
        result.bytes_per_second += rate / vms;
        result.worst_bytes_per_second = std::max(result.worst_bytes_per_second, rate);
    }
    return result;
}

struct figure
{
    std::string name;
    double value = 0.0;
    const char* unit = "";
    std::optional<double> bound;
    double baseline = 0.0;
};

double worst_excess(const case_result& result)
{
    double worst = 0.0;
    for (const auto& [name, account] : result.accounts)
    {
        worst = std::max(worst, limits::excess(account.bound));
    }
    return worst;
}

double wrongful_part(const account_result& account)
{
    return account.requests == 0 ? 0.0
                                 : 100.0 * static_cast<double>(account.wrongful) /
                                       static_cast<double>(account.requests);
}

double worst_wrongful(const case_result& result)
{
    double worst = 0.0;
    for (const auto& [name, account] : result.accounts)
    {
        worst = std::max(worst, wrongful_part(account));
    }
    return worst;
}

// What one central bucket would have admitted and this way did not, in percent.
double worst_shortfall(const case_result& result)
{
    double worst = 0.0;
    for (const auto& [name, account] : result.accounts)
    {
        const auto ideal = static_cast<double>(account.ideal_admitted);
        worst = std::max(worst, 100.0 - 100.0 * static_cast<double>(account.admitted) / ideal);
    }
    return worst;
}

// Returns whether the figure keeps its bound.
bool print(const figure& what)
{
    const bool pass = !what.bound || what.value <= *what.bound;
    boost::json::object line{{"name", what.name}, {"value", what.value}, {"unit", what.unit}};
    line["bound"] = what.bound ? boost::json::value(*what.bound) : boost::json::value(nullptr);
    line["baseline"] = what.baseline;
    line["pass"] = pass;
    std::cout << boost::json::serialize(line) << '\n';
    return pass;
}

bool report(const bench_case& what, const limits::strategy& way, const case_result& result,
            const case_result& baseline, bool per_account)
{
    const std::string prefix = std::string("limits.") + what.name + "." + way.name + ".";
    const bool chosen = std::strcmp(way.name, limits::seats_pool_and_loans.name) == 0;
    const auto bound = [](bool applies, double value)
    {
        return applies ? std::optional<double>(value) : std::nullopt;
    };
    bool pass = print({.name = prefix + "excess",
                       .value = worst_excess(result),
                       .unit = "requests",
                       .bound = bound(way.safe, rounding),
                       .baseline = worst_excess(baseline)});
    // The chosen way has to earn its messages: no account is served worse than by static shares.
    pass &= print({.name = prefix + "wrongful_worst_account",
                   .value = worst_wrongful(result),
                   .unit = "% of requests",
                   .bound = bound(chosen, worst_wrongful(baseline)),
                   .baseline = worst_wrongful(baseline)});
    pass &= print({.name = prefix + "shortfall_worst_account",
                   .value = worst_shortfall(result),
                   .unit = "% of a central bucket's",
                   .bound = bound(chosen, worst_shortfall(baseline)),
                   .baseline = worst_shortfall(baseline)});
    pass &= print({.name = prefix + "messages",
                   .value = result.messages_per_second,
                   .unit = "1/s per process",
                   .baseline = baseline.messages_per_second});
    pass &= print({.name = prefix + "bytes_sent",
                   .value = result.bytes_per_second,
                   .unit = "B/s per process",
                   .bound = bound(chosen, control_bytes_per_second),
                   .baseline = baseline.bytes_per_second});
    pass &= print({.name = prefix + "bytes_sent_worst_process",
                   .value = result.worst_bytes_per_second,
                   .unit = "B/s",
                   .bound = bound(chosen, control_bytes_per_second),
                   .baseline = baseline.worst_bytes_per_second});
    for (const auto& [name, account] : result.accounts)
    {
        if (per_account)
        {
            pass &= print({.name = std::string(prefix).append("wrongful.").append(name),
                           .value = wrongful_part(account),
                           .unit = "% of requests",
                           .baseline = wrongful_part(baseline.accounts.at(name))});
        }
    }
    return pass;
}

} // namespace

// Usage: bench_limits [--accounts] [CASE]
int main(int argc, char** argv)
{
    bool per_account = false;
    std::string only;
    for (int i = 1; i < argc; ++i)
    {
        const std::string argument = argv[i];
        (argument == "--accounts" ? per_account = true : (only = argument, true));
    }
    bool pass = true;
    for (const bench_case& what : all_cases())
    {
        if (!only.empty() && only != what.name)
        {
            continue;
        }
        std::optional<case_result> baseline;
        for (const limits::strategy& way : limits::all_strategies)
        {
            const case_result result = run_case(what, way);
            baseline = baseline ? baseline : result;
            pass &= report(what, way, result, *baseline, per_account);
        }
    }
    return pass ? 0 : 1;
}
