#include "limits/retry_budget.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::limits
{
namespace
{

// Guards against a retry storm: all daemons together may retry only the ratio of their requests
// plus the slack, however the requests are spread over the daemons.
TEST(retry_budget, the_budgets_of_all_daemons_add_up_to_the_fleets)
{
    constexpr int members = 19;
    const retry_budget_options options = {.ratio = 0.2, .slack = 64.0};
    std::vector<retry_budget> fleet(members);
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < members; ++i)
    {
        fleet[i].options = options;
        fleet[i].members = members;
        for (int k = 0; k < 10 * (i + 1); ++k)
        {
            on_first_attempt(fleet[i], "s");
            ++requests;
            while (take_retry(fleet[i], "s"))
            {
                ++retries;
            }
        }
    }
    EXPECT_LE(retries, options.ratio * requests + options.slack);
    EXPECT_GT(retries, options.ratio * requests * 0.8);
}

// Guards against retries of one service that use up the budget of another.
TEST(retry_budget, services_have_budgets_of_their_own)
{
    retry_budget budget{.options = {.ratio = 0.5, .slack = 0.0}};
    on_first_attempt(budget, "a");
    EXPECT_TRUE(has_retry(budget, "a"));
    EXPECT_FALSE(has_retry(budget, "b"));
    EXPECT_TRUE(take_retry(budget, "a"));
    EXPECT_FALSE(take_retry(budget, "a"));
}

} // namespace
} // namespace zinniaferry::limits
