/// Bound on requests that are sent to a second backend server. Every daemon has a budget of its own
/// for each service; the budgets add up to the fleet's without any message.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace zinniaferry::limits
{

struct retry_budget_options
{
    double ratio = 0.1;  ///< Repeats per request.
    double slack = 20.0; ///< Repeats that the whole fleet may save up.
};

struct retry_budget
{
    retry_budget_options options;
    std::size_t members = 1;
    std::unordered_map<std::string, double> tokens; ///< By service.
};

/// All functions: one thread at a time.

/// Counts a first attempt at the service.
void on_first_attempt(retry_budget& budget, const std::string& service);

/// Returns whether take_repeat would succeed.
bool has_retry(const retry_budget& budget, const std::string& service);

/// Takes one repeat; false when the budget does not allow it.
bool take_retry(retry_budget& budget, const std::string& service);

} // namespace zinniaferry::limits
