#include "limits/share.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{100s};

// Guards against a bucket that fills beyond its cap or after its end.
TEST(share, fills_to_its_cap_and_is_worth_nothing_once_expired)
{
    share bucket{.rate = 10, .cap = 5, .last = start, .expires = start + 2s};
    advance(bucket, start + 300ms);
    EXPECT_NEAR(bucket.tokens, 3.0, 1e-9);
    advance(bucket, start + 1999ms);
    EXPECT_DOUBLE_EQ(bucket.tokens, 5.0);
    advance(bucket, start + 2s);
    EXPECT_DOUBLE_EQ(bucket.tokens + bucket.rate + bucket.cap, 0.0);
}

// Guards against tokens from a clock reading that arrives out of order.
TEST(share, gains_nothing_from_an_earlier_time)
{
    share bucket{.rate = 10, .cap = 5, .tokens = 1, .last = start};
    advance(bucket, start - 1s);
    EXPECT_DOUBLE_EQ(bucket.tokens, 1.0);
    EXPECT_EQ(bucket.last, start);
}

// Guards against a request admitted for less than a token, or fractions lost by a failed take.
TEST(share, takes_one_token_in_fractions_or_nothing)
{
    share first{.cap = 1, .tokens = 0.4, .last = start};
    share second{.cap = 1, .tokens = 0.5, .last = start};
    share* const both[] = {&first, &second};
    EXPECT_FALSE(take(both, start));
    EXPECT_DOUBLE_EQ(first.tokens, 0.4);
    second.tokens = 0.75;
    EXPECT_TRUE(take(both, start));
    EXPECT_DOUBLE_EQ(first.tokens, 0.0);
    EXPECT_NEAR(second.tokens, 0.15, 1e-9);
}

// Guards against a loan that leaves the lender with what it gave away, or a return with tokens.
TEST(share, moves_rate_cap_and_tokens_and_gets_no_tokens_back)
{
    share bucket{.rate = 10, .cap = 8, .tokens = 8, .last = start};
    const share part = split_off(bucket, 4, 5, 6, start);
    EXPECT_DOUBLE_EQ(part.tokens, 5.0);
    EXPECT_DOUBLE_EQ(bucket.rate + part.rate, 10.0);
    EXPECT_DOUBLE_EQ(bucket.cap + part.cap, 8.0);
    EXPECT_DOUBLE_EQ(bucket.tokens, 3.0);
    restore(bucket, 10, 8, start);
    EXPECT_DOUBLE_EQ(bucket.tokens, 3.0);
}

// Guards against a retry time of zero or of a bucket that can never hold a whole token.
TEST(share, tells_when_the_next_token_is_there)
{
    const share slow{.rate = 0.5, .cap = 1, .last = start};
    const share small{.rate = 0.5, .cap = 0.5, .last = start};
    const share* const one[] = {&slow};
    const share* const none[] = {&small};
    EXPECT_EQ(time_to_token(one, start), 2s);
    EXPECT_EQ(time_to_token(none, start), core::duration::max());
}

} // namespace
} // namespace zinniaferry::limits
