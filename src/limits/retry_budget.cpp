#include "limits/retry_budget.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::limits
{

namespace
{

/// Fraction of the slack that is used; the rest covers daemons that have started since the number
/// of members was set.
constexpr double used_slack_fraction = 0.8;

double max_tokens(const retry_budget& budget)
{
    const double members = static_cast<double>(std::max<std::size_t>(budget.members, 1));
    return std::max(1.0, budget.options.slack * used_slack_fraction / members);
}

double& tokens_of(retry_budget& budget, const std::string& service)
{
    return budget.tokens.try_emplace(service, 1.0).first->second;
}

// The number of retries that a finite `required` amounts to at this daemon.
double reachable(const retry_budget& budget, double required)
{
    return std::isinf(required) ? required : std::min(required, max_tokens(budget));
}

} // namespace

void on_first_attempt(retry_budget& budget, const std::string& service)
{
    double& tokens = tokens_of(budget, service);
    tokens = std::min(max_tokens(budget), tokens + budget.options.ratio);
}

bool has_retry(const retry_budget& budget, const std::string& service, double required)
{
    const auto found = budget.tokens.find(service);
    return found != budget.tokens.end() && found->second >= reachable(budget, required);
}

bool take_retry(retry_budget& budget, const std::string& service, double required)
{
    if (tokens_of(budget, service) < reachable(budget, required))
    {
        return false;
    }
    tokens_of(budget, service) -= 1.0;
    return true;
}

} // namespace zinniaferry::limits
