#include "model/checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace zinniaferry::model
{

std::vector<violation> find_violations(const history& history, const bounds& bounds)
{
    std::vector<violation> out;
    check_configurations(history, bounds, out);
    check_runs(history, out);
    check_servers(history, bounds, out);
    check_quotas(history, bounds, out);
    check_budgets(history, bounds, out);
    std::stable_sort(out.begin(), out.end(),
                     [](const violation& a, const violation& b) { return a.at < b.at; });
    return out;
}

bool in_touch(const history& history, const bounds& bounds, std::size_t daemon,
              core::time_point from, core::time_point until)
{
    const auto& spans = history.daemon_disturbances[daemon];
    return std::none_of(spans.begin(), spans.end(),
                        [&](const span& entry)
                        { return entry.from <= until && entry.until >= from - bounds.stable; });
}

std::string to_string(const violation& violation)
{
    return fmt::format("{} at {:.3f} s, daemon {}, request {}, version {}: {}",
                       to_string(violation.broken),
                       core::to_seconds(violation.at.time_since_epoch()), violation.daemon,
                       violation.request ? std::to_string(*violation.request) : "-",
                       violation.version, violation.details);
}

} // namespace zinniaferry::model
