/// The checks of the fleet-wide promises, from what callers, backend servers and the store saw.
#pragma once

#include "model/bounds.hpp"
#include "model/history.hpp"
#include "model/injection.hpp"

#include <string>
#include <vector>

namespace zinniaferry::model
{

/// A promise that the fleet has broken.
struct violation
{
    promise broken = promise::config;
    core::time_point at;
    std::size_t daemon = 0;
    std::optional<std::uint64_t> request; ///< Nothing if it does not concern a single one.
    std::uint64_t version = 0;            ///< Of the configuration; 0 if it does not matter.
    std::string details;                  ///< What was seen, and the bound.
};

/// All functions: thread safe.

/// Returns all violations.
std::vector<violation> find_violations(const history& history, const bounds& bounds);

/// Returns whether the daemon was without disturbance from `bounds.stable` before `from` to
/// `until`, so that promises with a time bound hold for it.
bool in_touch(const history& history, const bounds& bounds, std::size_t daemon,
              core::time_point from, core::time_point until);

/// CONFIG, DENIED and ROUTE: requests are handled as a configuration in force allows.
void check_configurations(const history& history, const bounds& bounds,
                          std::vector<violation>& out);

/// TWICE and REFUSED: a request that is not idempotent runs once at most, and not at all after a
/// response that promises so.
void check_runs(const history& history, std::vector<violation>& out);

/// DRAIN, EVAC and FAILBACK: leaving servers and data centres out of service get no requests, and
/// cold servers no more than they tolerate.
void check_servers(const history& history, const bounds& bounds, std::vector<violation>& out);

/// QUOTA: no window has more requests of an account than its rate and the tolerance allow. The
/// accounts' rates are the same in all configurations of the model.
void check_quotas(const history& history, const bounds& bounds, std::vector<violation>& out);

/// BUDGET: no window has more repeats at a service than its requests allow, and requests run on no
/// more servers than their route's attempts.
void check_budgets(const history& history, const bounds& bounds, std::vector<violation>& out);

/// Returns the violation as one line.
std::string to_string(const violation& violation);

} // namespace zinniaferry::model
