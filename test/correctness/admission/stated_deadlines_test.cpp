#include "admission/stated_deadlines.hpp"

#include "core/random.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

/// First attempts state between 2.1 and 2.5 s; one in `returning_every` requests is of a returning
/// caller and states less.
stated_deadlines learn(int count, int returning_every)
{
    core::random_generator random(3);
    stated_deadlines out;
    for (int i = 1; i <= count; ++i)
    {
        const bool returns = i % returning_every == 0;
        const double low_ms = returns ? 0.0 : 2100.0;
        const double high_ms = returns ? 2000.0 : 2500.0;
        record(out,
               core::from_seconds((low_ms + (high_ms - low_ms) * core::uniform(random)) / 1e3));
    }
    return out;
}

// Guards against taking a new caller for a returning one while the route is hardly known.
TEST(stated_deadlines, nothing_is_concluded_from_a_few_requests)
{
    EXPECT_EQ(time_since_first_attempt(stated_deadlines(), 1s), 0s);
    EXPECT_EQ(time_since_first_attempt(learn(3, 100), 1s), 0s);
}

// Guards against treating the request of a caller that was refused long ago as a new one.
TEST(stated_deadlines, a_returning_caller_states_less_than_first_attempts)
{
    const stated_deadlines deadlines = learn(100, 1000);
    EXPECT_GE(time_since_first_attempt(deadlines, 1500ms), 600ms);
    EXPECT_LE(time_since_first_attempt(deadlines, 1500ms), 700ms);
    EXPECT_EQ(time_since_first_attempt(deadlines, 2400ms), 0s);
    EXPECT_EQ(time_since_first_attempt(deadlines, 9s), 0s);
}

// Guards against concluding from a few returning callers that first attempts state as little.
TEST(stated_deadlines, a_few_returning_callers_do_not_count)
{
    const stated_deadlines deadlines = learn(320, 20);
    EXPECT_GE(time_since_first_attempt(deadlines, 1500ms), 600ms);
}

// Guards against last place for the callers of an account that wait less long than others, once
// they make more than a tenth of the requests.
TEST(stated_deadlines, a_group_of_callers_with_a_shorter_deadline_counts)
{
    stated_deadlines deadlines;
    for (int i = 0; i < 100; ++i)
    {
        record(deadlines, i % 5 == 0 ? 900ms : 2500ms);
    }
    EXPECT_EQ(time_since_first_attempt(deadlines, 900ms), 0s);
}

} // namespace
} // namespace zinniaferry::admission
