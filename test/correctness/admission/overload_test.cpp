#include "admission/overload.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

/// Callers that are refused every 20 ms for `length`.
overload overload_of(core::duration length)
{
    overload out;
    for (core::duration at{}; at <= length; at += 20ms)
    {
        on_refused(out, start + at);
    }
    return out;
}

// Guards against callers that return within a tenth of a second, again and again, during a burst
// that lasts for seconds.
TEST(overload, callers_return_later_the_longer_an_overload_has_lasted)
{
    core::random_generator random(1);
    for (int i = 0; i < 100; ++i)
    {
        EXPECT_LE(retry_after(overload_of(0ms), start, random), 150ms);
        const core::duration later = retry_after(overload_of(600ms), start + 600ms, random);
        EXPECT_GE(later, 300ms);
        EXPECT_LE(later, 900ms);
        EXPECT_LE(retry_after(overload_of(20s), start + 20s, random), 1500ms);
    }
}

// Guards against callers refused at the same moment that return at the same moment, as the next
// burst.
TEST(overload, callers_refused_together_return_apart)
{
    core::random_generator random(1);
    const overload state = overload_of(1s);
    std::vector<int> returning(15);
    for (int i = 0; i < 1000; ++i)
    {
        const core::duration after = retry_after(state, start + 1s, random);
        ++returning.at(static_cast<std::size_t>(after / 100ms));
    }
    EXPECT_LE(*std::max_element(returning.begin(), returning.end()), 150);
}

// Guards against the memory of an overload that has ended: the next refusal is a new one.
TEST(overload, an_overload_ends_when_nothing_is_refused)
{
    core::random_generator random(1);
    overload state = overload_of(2s);
    EXPECT_LE(retry_after(state, start + 4s, random), 150ms);
    on_refused(state, start + 4s);
    EXPECT_LE(retry_after(state, start + 4s, random), 150ms);
}

} // namespace
} // namespace zinniaferry::admission
