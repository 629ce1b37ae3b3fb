/// Retry budget: bounds the requests that are sent to a further backend server, as a retry or as a
/// hedged request. Every daemon has a budget of its own for each service; together they stay within
/// the fleet's budget without any message between daemons.
#pragma once

#include "limits/rejections.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace zinniaferry::limits
{

/// Budget of the whole fleet.
struct retry_budget_options
{
    double ratio = 0.1;  ///< Retries per request.
    double slack = 20.0; ///< Retries that the whole fleet may save up.
};

/// Budget of one daemon.
struct retry_budget
{
    retry_budget_options options;
    std::size_t members = 1;                        ///< Daemons that share the slack.
    std::unordered_map<std::string, double> tokens; ///< Retries left, by service.
    std::unordered_map<std::string, rejections> rejections_by_service;
};

/// Not thread safe: calls on one retry_budget must not run concurrently.

/// Counts a first attempt at the service, which adds `ratio` retries to its budget, up to this
/// daemon's share of the slack and at least up to one.
void on_first_attempt(retry_budget& budget, const std::string& service);

/// Returns whether take_retry would succeed.
bool has_retry(const retry_budget& budget, const std::string& service, double required = 1.0);

/// Takes one retry if the budget holds at least `required` ones; returns whether it did. A finite
/// number above what this daemon may save up counts as that; infinity allows none. Precondition:
/// `required` >= 1.
bool take_retry(retry_budget& budget, const std::string& service, double required = 1.0);

} // namespace zinniaferry::limits
