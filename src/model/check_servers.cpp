#include "model/checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <deque>
#include <map>

namespace zinniaferry::model
{

namespace
{

constexpr core::duration cold_window = std::chrono::seconds(1);

violation arrival_violation(promise broken, const arrival& entry, std::string details)
{
    return {.broken = broken,
            .at = entry.arrived_at,
            .daemon = entry.daemon,
            .request = entry.request,
            .details = std::move(details)};
}

bool was_in_touch(const history& history, const bounds& bounds, const arrival& entry)
{
    return in_touch(history, bounds, entry.daemon, history.requests[entry.request].sent_at,
                    entry.arrived_at);
}

// What the store confirms shortly after a restoration may have been lost in it and written again,
// so it binds nobody until the store has been stable for a while.
bool is_confirmed_by_stable_store(const history& history, const bounds& bounds,
                                  core::time_point confirmed_at)
{
    return std::none_of(history.store_restorations.begin(), history.store_restorations.end(),
                        [&](const span& entry) {
                            return entry.from <= confirmed_at &&
                                   confirmed_at <= entry.until + bounds.stable;
                        });
}

void check_departures(const history& history, const bounds& bounds, const arrival& entry,
                      std::vector<violation>& out)
{
    for (const departure& left : history.departures)
    {
        if (left.server == entry.server && left.incarnation == entry.incarnation &&
            entry.arrived_at > left.confirmed_at + bounds.drain &&
            is_confirmed_by_stable_store(history, bounds, left.confirmed_at) &&
            was_in_touch(history, bounds, entry))
        {
            out.push_back(arrival_violation(
                promise::drain, entry,
                fmt::format("reached {} {:.3f} s after it was listed as leaving; the bound is "
                            "{:.1f} s",
                            entry.server, core::to_seconds(entry.arrived_at - left.confirmed_at),
                            core::to_seconds(bounds.drain))));
        }
    }
}

void check_evacuations(const history& history, const bounds& bounds, const arrival& entry,
                       std::vector<violation>& out)
{
    for (const evacuation& left : history.evacuations)
    {
        const core::time_point from = left.out_of_service.from + bounds.evac;
        if (left.data_centre == entry.data_centre && entry.arrived_at > from &&
            entry.arrived_at < left.out_of_service.until && was_in_touch(history, bounds, entry))
        {
            out.push_back(arrival_violation(
                promise::evac, entry,
                fmt::format("reached {} in {} {:.3f} s after it left service; the bound is "
                            "{:.1f} s",
                            entry.server, entry.data_centre,
                            core::to_seconds(entry.arrived_at - left.out_of_service.from),
                            core::to_seconds(bounds.evac))));
        }
    }
}

double warmup_rate_of(const history& history, const std::string& service)
{
    const auto& services = history.configurations.front().index->services;
    return services.at(service)->warmup_rate;
}

// Counts the requests that were sent and arrived within a window that ends with the last arrival.
void check_cold_window(const std::deque<const arrival*>& window, double tolerated,
                       std::vector<violation>& out)
{
    const core::time_point begin = window.back()->arrived_at - cold_window;
    const auto count = std::count_if(window.begin(), window.end(),
                                     [&](const arrival* entry) { return entry->sent_at > begin; });
    if (static_cast<double>(count) > tolerated)
    {
        out.push_back(arrival_violation(
            promise::failback, *window.back(),
            fmt::format("{} requests within 1 s at {}, which is cold; the bound is {:.1f}", count,
                        window.back()->server, tolerated)));
    }
}

} // namespace

void check_servers(const history& history, const bounds& bounds, std::vector<violation>& out)
{
    std::map<std::string, std::deque<const arrival*>> cold_arrivals; ///< By server.
    for (const arrival& entry : history.arrivals)
    {
        check_departures(history, bounds, entry, out);
        check_evacuations(history, bounds, entry, out);
        if (!entry.server_cold)
        {
            continue;
        }
        std::deque<const arrival*>& window = cold_arrivals[entry.server];
        window.push_back(&entry);
        while (window.front()->arrived_at <= entry.arrived_at - cold_window)
        {
            window.pop_front();
        }
        const double rate = warmup_rate_of(history, entry.service);
        check_cold_window(window, rate * bounds.warmup_overage + bounds.warmup_slack, out);
    }
}

} // namespace zinniaferry::model
