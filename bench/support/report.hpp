/// Figures of a run and the lines that a benchmark prints.
#pragma once

#include "figure.hpp"
#include "fleet_model.hpp"

#include <atomic>
#include <string>
#include <thread>

namespace zinniaferry::bench
{

/// Returns the quantile of the times to a good answer of a class in milliseconds.
inline double quantile_ms(const std::vector<finished_request>& list, config::request_class priority,
                          double part, const window& span)
{
    std::vector<double> values;
    for (const finished_request& entry : list)
    {
        if (entry.priority == priority && contains(span, entry.arrived))
        {
            values.push_back(core::to_seconds(entry.latency) * 1e3);
        }
    }
    if (values.empty())
    {
        return 0.0;
    }
    const auto at =
        values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

/// Returns the good answers a second to requests that arrived in the span.
inline double goodput(const std::vector<finished_request>& list, const window& span)
{
    const auto good = std::count_if(list.begin(), list.end(),
                                    [&](const finished_request& entry)
                                    { return entry.good && contains(span, entry.arrived); });
    return static_cast<double>(good) / core::to_seconds(span.to - span.from);
}

/// Returns the part of the requests of a class without a good answer.
inline double failed_part(const std::vector<finished_request>& list, config::request_class priority,
                          const window& span)
{
    double all = 0.0;
    double failed = 0.0;
    for (const finished_request& entry : list)
    {
        if (entry.priority == priority && contains(span, entry.arrived))
        {
            all += 1.0;
            failed += entry.good ? 0.0 : 1.0;
        }
    }
    return all > 0.0 ? failed / all : 0.0;
}

/// Runs the scenarios on a few threads; the results keep the order of the scenarios.
inline std::vector<fleet_result> run_all(const std::vector<scenario>& plans)
{
    constexpr unsigned workers = 4;
    std::vector<fleet_result> results(plans.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < workers; ++i)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t at = next++; at < plans.size(); at = next++)
                {
                    results[at] = fleet_model(plans[at]).run();
                }
            });
    }
    threads.clear();
    return results;
}

} // namespace zinniaferry::bench
