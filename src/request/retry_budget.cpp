#include "request/retry_budget.hpp"

#include <algorithm>

namespace zinniaferry::request
{

retry_budget make_retry_budget(retry_budget_options options)
{
    retry_budget budget;
    budget.options = options;
    return budget;
}

void on_request(retry_budget& budget)
{
    budget.tokens = std::min(budget.options.cap, budget.tokens + budget.options.fraction);
}

bool try_retry(retry_budget& budget)
{
    // Sums of the fraction fall short of whole tokens by rounding errors.
    constexpr double rounding = 1e-9;
    if (budget.tokens + rounding < 1.0)
    {
        return false;
    }
    budget.tokens = std::max(0.0, budget.tokens - 1.0);
    return true;
}

} // namespace zinniaferry::request
