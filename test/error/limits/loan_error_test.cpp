#include "limits/account_limiter.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
const core::process_id peer{.vm = "p", .incarnation = 5};

account_limiter holder()
{
    account_limiter state = make_account_limiter({.vm = "b", .incarnation = 1}, {}, start);
    config::configuration config{.version = 1, .max_vms = 4, .pool_groups = 1};
    config.accounts = {{.name = "a", .rate = 1, .burst = 5}};
    apply_configuration(state, config, start);
    set_pool(state, 0, start + 100s, start);
    core::random_generator random(1);
    flush(state, start, random);
    return state;
}

fleet::loan_reply reply_of(const std::vector<fleet::outgoing>& messages)
{
    return messages.empty() ? fleet::loan_reply{} : std::get<fleet::loan_reply>(messages[0].body);
}

// Guards against numbers from a faulty peer that would poison the bucket.
TEST(loan_error, refuses_wants_that_are_not_numbers)
{
    account_limiter state = holder();
    for (const double bad : {std::nan(""), -1.0, std::numeric_limits<double>::infinity()})
    {
        const fleet::loan_request request{.term = 4s,
                                          .wants = {{.account = "a", .loan_id = 1, .tokens = bad}}};
        const fleet::loan_reply reply = reply_of(handle(state, peer, request, start + 10s));
        EXPECT_TRUE(reply.shares.empty());
        EXPECT_EQ(reply.refused.size(), 1U);
    }
}

// Guards against an account that is unknown here because configurations differ.
TEST(loan_error, refuses_unknown_accounts)
{
    account_limiter state = holder();
    const fleet::loan_request request{.term = 4s, .wants = {{.account = "x", .tokens = 1}}};
    EXPECT_EQ(reply_of(handle(state, peer, request, start + 10s)).refused.size(), 1U);
    EXPECT_EQ(try_admit(state, "x", 1, start + 11s, start + 10s).result, verdict::refused);
}

// Guards against credit for a loan that was never asked for.
TEST(loan_error, ignores_a_reply_that_answers_nothing)
{
    account_limiter state = holder();
    set_pool(state, 0, {}, start + 1s);
    fleet::loan_reply reply{.term = 4s};
    reply.shares = {{.account = "a", .loan_id = 65537, .rate = 9, .cap = 9, .tokens = 9}};
    handle(state, peer, reply, start + 10s);
    EXPECT_EQ(try_admit(state, "a", 1, start + 11s, start + 10s).result, verdict::refused);
}

// Guards against a return that frees the loan of another process.
TEST(loan_error, takes_a_return_only_from_the_borrower)
{
    account_limiter state = holder();
    const fleet::loan_request request{.term = 4s,
                                      .wants = {{.account = "a", .loan_id = 65537, .tokens = 1}}};
    ASSERT_EQ(reply_of(handle(state, peer, request, start + 10s)).shares.size(), 1U);
    const fleet::loan_return returned{.loan_ids = {65537}};
    handle(state, {.vm = "p", .incarnation = 6}, returned, start + 10s);
    EXPECT_GT(pool_busy_until(state, 0, start + 10s), start + 10s);
    handle(state, peer, returned, start + 10s);
    EXPECT_LE(pool_busy_until(state, 0, start + 10s), start + 10s);
}

} // namespace
} // namespace zinniaferry::limits
