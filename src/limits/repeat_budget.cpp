#include "limits/repeat_budget.hpp"

#include <algorithm>

namespace zinniaferry::limits
{

namespace
{

/// Part of the slack that is used; the rest covers daemons that started since.
constexpr double used_slack = 0.8;

double cap(const repeat_budget& budget)
{
    const double members = static_cast<double>(std::max<std::size_t>(budget.members, 1));
    return std::max(1.0, budget.options.slack * used_slack / members);
}

double& tokens_of(repeat_budget& budget, const std::string& service)
{
    return budget.tokens.try_emplace(service, 1.0).first->second;
}

} // namespace

void on_first_attempt(repeat_budget& budget, const std::string& service)
{
    double& tokens = tokens_of(budget, service);
    tokens = std::min(cap(budget), tokens + budget.options.ratio);
}

bool has_repeat(const repeat_budget& budget, const std::string& service)
{
    const auto found = budget.tokens.find(service);
    return found != budget.tokens.end() && found->second >= 1.0;
}

bool take_repeat(repeat_budget& budget, const std::string& service)
{
    double& tokens = tokens_of(budget, service);
    if (tokens < 1.0)
    {
        return false;
    }
    tokens -= 1.0;
    return true;
}

} // namespace zinniaferry::limits
