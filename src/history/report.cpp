#include "history/report.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::history
{

namespace
{

std::vector<std::pair<std::string, account_bucket>> worst_first(const run_report& report)
{
    std::vector<std::pair<std::string, account_bucket>> out(report.accounts.begin(),
                                                            report.accounts.end());
    const auto part = [](const account_bucket& bucket)
    {
        return bucket.requests == 0
                   ? 0.0
                   : static_cast<double>(bucket.wrongful) / static_cast<double>(bucket.requests);
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](const auto& a, const auto& b) { return part(a.second) > part(b.second); });
    return out;
}

} // namespace

const char* guarantee_text(std::size_t number)
{
    static constexpr std::array<const char*, guarantee_count> texts = {
        "",
        "probe time within its budget",
        "cold servers within their allowance",
        "no new work at a data centre 5 s after it was taken out",
        "requests run for the account of a valid key",
        "no window above rate x window + burst",
        "one end for each request",
        "refused as not run never runs",
        "non-idempotent requests run at most once",
        "no new work at a leaving server after 5 s",
        "planned stops cut no request",
        "versions never go down and are in force within 12 s"};
    return texts.at(number);
}

void add_report(run_report& sum, const run_report& more)
{
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        guarantee& entry = sum.guarantees.at(i);
        const guarantee& added = more.guarantees.at(i);
        entry.checks += added.checks;
        entry.violations += added.violations;
        if (entry.first.empty())
        {
            entry.first = added.first;
        }
    }
    for (const auto& [name, added] : more.accounts)
    {
        account_bucket& bucket = sum.accounts[name];
        bucket.requests += added.requests;
        bucket.admitted += added.admitted;
        bucket.over_limit += added.over_limit;
        bucket.wrongful += added.wrongful;
        bucket.ideal += added.ideal;
    }
    for (const auto& [name, value] : more.counters)
    {
        sum.counters[name] += value;
    }
    sum.digest = sum.digest * 31 + more.digest;
}

std::string print_report(const run_report& report)
{
    std::string out =
        "guarantees                                                   checks  violations\n";
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        const guarantee& entry = report.guarantees.at(i);
        out += fmt::format("R{:<3} {:<55} {:>8} {:>11}\n", i, guarantee_text(i), entry.checks,
                           entry.violations);
    }
    out += "accounts, worst first                   requests  admitted  over limit  wrongful     "
           "ideal\n";
    for (const auto& [name, bucket] : worst_first(report))
    {
        out += fmt::format("  {:<36} {:>9} {:>9} {:>11} {:>9} {:>9}\n", name, bucket.requests,
                           bucket.admitted, bucket.over_limit, bucket.wrongful, bucket.ideal);
    }
    out += "counts\n";
    for (const auto& [name, value] : report.counters)
    {
        out += fmt::format("  {:<40} {:>12.0f}\n", name, value);
    }
    out += fmt::format("digest {:016x}\n", report.digest);
    return out;
}

boost::json::object to_json(const run_report& report)
{
    boost::json::object guarantees;
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        const guarantee& entry = report.guarantees.at(i);
        guarantees[fmt::format("R{}", i)] = {
            {"checks", entry.checks}, {"violations", entry.violations}, {"first", entry.first}};
    }
    boost::json::array accounts;
    for (const auto& [name, bucket] : worst_first(report))
    {
        accounts.push_back({{"name", name},
                            {"requests", bucket.requests},
                            {"admitted", bucket.admitted},
                            {"over_limit", bucket.over_limit},
                            {"wrongful", bucket.wrongful},
                            {"ideal", bucket.ideal}});
    }
    boost::json::object counters;
    for (const auto& [name, value] : report.counters)
    {
        counters[name] = value;
    }
    return {{"guarantees", std::move(guarantees)},
            {"accounts", std::move(accounts)},
            {"counters", std::move(counters)},
            {"digest", fmt::format("{:016x}", report.digest)}};
}

std::string print_trace(const run_report& report, const std::vector<fault>& faults)
{
    std::string out;
    for (const std::string& line : report.trace)
    {
        out += "# " + line + "\n";
    }
    out += fmt::format("deployment {}\nseed {}\nvms {}\nstrategy {}\npart_of_rate {}\nlength {}\n",
                       report.options.deployment, report.options.seed, vm_count(report.options),
                       report.options.way.name, report.options.part_of_rate,
                       core::to_seconds(report.options.length));
    for (const fault& event : faults)
    {
        out += to_line(event) + "\n";
    }
    for (std::size_t i = 1; i < guarantee_count; ++i)
    {
        if (report.guarantees.at(i).violations > 0)
        {
            out += fmt::format("expect R{}.violations == 0\n", i);
        }
    }
    return out;
}

} // namespace zinniaferry::history
