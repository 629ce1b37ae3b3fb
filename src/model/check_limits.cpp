#include "model/checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <set>

namespace zinniaferry::model
{

namespace
{

/// A request of an account that ran: when its caller sent it, and when it reached the server.
struct counted_run
{
    core::time_point sent_at;
    core::time_point arrived_at;
    std::uint64_t request = 0;
    std::size_t daemon = 0;
};

/// Arrivals at a service, and the requests that callers sent to it; both ascending.
struct service_traffic
{
    std::vector<core::time_point> requests;
    std::vector<core::time_point> repeats; ///< Arrivals beyond the first of each request.
};

std::map<std::string, std::vector<counted_run>> runs_by_account(const history& history)
{
    std::map<std::string, std::vector<counted_run>> out;
    std::set<std::uint64_t> counted;
    for (const arrival& entry : history.arrivals)
    {
        if (entry.ran && counted.insert(entry.request).second)
        {
            out[entry.account].push_back({history.requests[entry.request].sent_at, entry.arrived_at,
                                          entry.request, entry.daemon});
        }
    }
    for (auto& [account, runs] : out)
    {
        std::sort(runs.begin(), runs.end(),
                  [](const counted_run& a, const counted_run& b) { return a.sent_at < b.sent_at; });
    }
    return out;
}

// Returns the runs that were sent and arrived in the window that begins when runs[first] was sent.
std::vector<const counted_run*> runs_in_window(const std::vector<counted_run>& runs,
                                               std::size_t first, core::duration window)
{
    std::vector<const counted_run*> out;
    const core::time_point end = runs[first].sent_at + window;
    for (std::size_t i = first; i < runs.size() && runs[i].sent_at <= end; ++i)
    {
        if (runs[i].arrived_at <= end)
        {
            out.push_back(&runs[i]);
        }
    }
    return out;
}

// Reports the account's fullest window, as neighbouring windows count mostly the same requests.
void check_quota(const config::account& account, const std::vector<counted_run>& runs,
                 const bounds& bounds, std::vector<violation>& out)
{
    const double regular = account.rate * core::to_seconds(bounds.quota_window) + account.burst;
    const double tolerated = regular * (1.0 + bounds.quota_overage) + bounds.quota_slack;
    std::vector<const counted_run*> fullest;
    for (std::size_t i = 0; i < runs.size(); ++i)
    {
        auto window = runs_in_window(runs, i, bounds.quota_window);
        if (window.size() > fullest.size())
        {
            fullest = std::move(window);
        }
    }
    if (static_cast<double>(fullest.size()) > tolerated)
    {
        out.push_back({.broken = promise::quota,
                       .at = fullest.back()->arrived_at,
                       .daemon = fullest.back()->daemon,
                       .request = fullest.back()->request,
                       .details = fmt::format("{} requests of account {} ran in {:.0f} s; the "
                                              "bound is {:.1f}",
                                              fullest.size(), account.name,
                                              core::to_seconds(bounds.quota_window), tolerated)});
    }
}

// Returns the service that the newest confirmed configuration selects; empty without a route.
std::string service_of(const history& history, const request_record& request)
{
    const config::configuration_index* index = history.configurations.front().index.get();
    for (const published_configuration& entry : history.configurations)
    {
        if (entry.confirmed_at <= request.sent_at)
        {
            index = entry.index.get();
        }
    }
    const config::route* route = config::find_route(*index, "", request.path);
    return route == nullptr ? std::string() : route->service;
}

std::map<std::string, service_traffic> traffic_by_service(const history& history)
{
    std::map<std::string, service_traffic> out;
    for (const request_record& request : history.requests)
    {
        out[service_of(history, request)].requests.push_back(request.sent_at);
    }
    std::set<std::uint64_t> arrived;
    for (const arrival& entry : history.arrivals)
    {
        if (!arrived.insert(entry.request).second)
        {
            out[entry.service].repeats.push_back(entry.arrived_at);
        }
    }
    return out;
}

// Counts the times after `begin`, up to `end`.
std::size_t count_between(const std::vector<core::time_point>& times, core::time_point begin,
                          core::time_point end)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), end) -
                                    std::upper_bound(times.begin(), times.end(), begin));
}

// The requests of the window, of the one before it and of the one half a window before it,
// whichever has most.
std::size_t most_requests(const service_traffic& traffic, core::time_point end,
                          core::duration window)
{
    std::size_t out = 0;
    for (const core::duration earlier : {core::duration::zero(), window / 2, window})
    {
        out = std::max(out, count_between(traffic.requests, end - earlier - window, end - earlier));
    }
    return out;
}

// Reports the first window of a service that has too many repeats.
void check_repeats(const std::string& service, const service_traffic& traffic, const bounds& bounds,
                   std::vector<violation>& out)
{
    for (const core::time_point end : traffic.repeats)
    {
        const std::size_t repeats = count_between(traffic.repeats, end - bounds.retry_window, end);
        const std::size_t requests = most_requests(traffic, end, bounds.retry_window);
        const double tolerated =
            bounds.retry_ratio * static_cast<double>(requests) + bounds.retry_slack;
        if (static_cast<double>(repeats) > tolerated)
        {
            out.push_back(
                {.broken = promise::budget,
                 .at = end,
                 .details = fmt::format("{} repeats reached service {} in {:.0f} s; the "
                                        "bound is {:.1f}",
                                        repeats, service, core::to_seconds(bounds.retry_window),
                                        tolerated)});
            return;
        }
    }
}

void check_attempts(const history& history, const bounds& bounds, std::vector<violation>& out)
{
    std::map<std::uint64_t, std::size_t> runs;
    for (const arrival& entry : history.arrivals)
    {
        runs[entry.request] += entry.ran ? 1 : 0;
    }
    // All routes of the model have the same number of attempts.
    const std::size_t attempts = history.configurations.front().index->config->routes[0].attempts;
    const auto over = std::count_if(runs.begin(), runs.end(),
                                    [&](const auto& entry) { return entry.second > attempts; });
    if (static_cast<std::size_t>(over) > bounds.over_attempts)
    {
        out.push_back({.broken = promise::budget,
                       .at = history.arrivals.back().arrived_at,
                       .details = fmt::format("{} requests ran at more than {} servers; the bound "
                                              "is {}",
                                              over, attempts, bounds.over_attempts)});
    }
}

} // namespace

void check_quotas(const history& history, const bounds& bounds, std::vector<violation>& out)
{
    const auto runs = runs_by_account(history);
    for (const config::account& account : history.configurations.front().index->config->accounts)
    {
        const auto found = runs.find(account.name);
        if (found != runs.end())
        {
            check_quota(account, found->second, bounds, out);
        }
    }
}

void check_budgets(const history& history, const bounds& bounds, std::vector<violation>& out)
{
    for (const auto& [service, traffic] : traffic_by_service(history))
    {
        check_repeats(service, traffic, bounds, out);
    }
    check_attempts(history, bounds, out);
}

} // namespace zinniaferry::model
