#include "model/checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

constexpr unsigned statuses_promising_not_run[] = {408, 421, 429, 503};

// Routes do not change between idempotent and not; routes that only some versions have are
// idempotent.
bool runs_once_at_most(const history& history, const request_record& request)
{
    const config::route* route =
        config::find_route(*history.configurations.front().index, "", request.path);
    return route != nullptr && !route->idempotent;
}

bool promises_not_run(const request_record& request)
{
    return std::find(std::begin(statuses_promising_not_run), std::end(statuses_promising_not_run),
                     request.status) != std::end(statuses_promising_not_run);
}

violation run_violation(promise broken, const request_record& request, const arrival& last,
                        std::string details)
{
    return {.broken = broken,
            .at = last.arrived_at,
            .daemon = request.daemon,
            .request = request.id,
            .details = std::move(details)};
}

} // namespace

void check_runs(const history& history, std::vector<violation>& out)
{
    std::vector<std::vector<const arrival*>> runs(history.requests.size());
    for (const arrival& entry : history.arrivals)
    {
        if (entry.ran)
        {
            runs[entry.request].push_back(&entry);
        }
    }
    for (const request_record& request : history.requests)
    {
        const auto& own = runs[request.id];
        if (own.empty() || !runs_once_at_most(history, request))
        {
            continue;
        }
        if (own.size() > 1)
        {
            out.push_back(run_violation(promise::twice, request, *own.back(),
                                        fmt::format("{} ran {} times, last at {}; the bound is 1",
                                                    request.path, own.size(), own.back()->server)));
        }
        if (promises_not_run(request))
        {
            out.push_back(
                run_violation(promise::refused, request, *own.back(),
                              fmt::format("{} was answered {}, and ran at {}", request.path,
                                          request.status, own.back()->server)));
        }
    }
}

} // namespace zinniaferry::model
