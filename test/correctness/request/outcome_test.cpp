#include "request/outcome.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::request
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{};
constexpr core::time_point deadline{2s};

request_life sent_request(bool idempotent, retry_budget& budget)
{
    request_life life = make_request_life(idempotent, deadline);
    for (const request_event event : {request_event::admit, request_event::enqueue,
                                      request_event::dispatch, request_event::bytes_left})
    {
        EXPECT_TRUE(apply(life, event, budget, start).accepted);
    }
    return life;
}

retry_budget full_budget()
{
    retry_budget budget = make_retry_budget({});
    budget.tokens = 1.0;
    return budget;
}

// Guards against a second run of a request that must run at most once.
TEST(outcome, lost_non_idempotent_request_is_unknown_and_never_sent_again)
{
    retry_budget budget = full_budget();
    request_life life = sent_request(false, budget);
    const decision lost = apply(life, request_event::lost, budget, start);
    EXPECT_EQ(lost.result, outcome::unknown);
    EXPECT_FALSE(lost.send_again);
    EXPECT_TRUE(lost.close_connection);
    EXPECT_EQ(lost.action, request_action::reply_unknown);
    EXPECT_FALSE(apply(life, request_event::dispatch, budget, start).accepted);
}

// Guards against "not run" about a request whose earlier attempt may have run.
TEST(outcome, request_that_may_have_run_is_never_reported_as_not_run)
{
    for (const request_event end : {request_event::deadline, request_event::refuse})
    {
        retry_budget budget = full_budget();
        request_life life = sent_request(true, budget);
        EXPECT_TRUE(apply(life, request_event::lost, budget, start).send_again);
        const decision ended = apply(life, end, budget, start);
        EXPECT_EQ(ended.result, outcome::unknown);
        EXPECT_EQ(ended.action, request_action::reply_unknown);
    }
}

// Guards against retries beyond the budget or the deadline.
TEST(outcome, lost_idempotent_request_retries_only_within_budget_and_deadline)
{
    retry_budget empty = make_retry_budget({});
    request_life poor = sent_request(true, empty);
    EXPECT_EQ(apply(poor, request_event::lost, empty, start).result, outcome::unknown);
    retry_budget budget = full_budget();
    request_life late = sent_request(true, budget);
    EXPECT_EQ(apply(late, request_event::lost, budget, deadline).result, outcome::unknown);
    EXPECT_EQ(budget.tokens, 1.0);
}

// Guards against a lost chance: the server's own word makes a repeat safe for any request.
TEST(outcome, server_that_did_not_run_it_allows_a_repeat_or_a_true_refusal)
{
    for (const bool idempotent : {true, false})
    {
        retry_budget budget = full_budget();
        request_life life = sent_request(idempotent, budget);
        EXPECT_TRUE(apply(life, request_event::server_did_not_run, budget, start).send_again);
        apply(life, request_event::dispatch, budget, start);
        apply(life, request_event::bytes_left, budget, start);
        const decision again = apply(life, request_event::server_did_not_run, budget, start);
        EXPECT_EQ(again.result, outcome::not_run);
        EXPECT_EQ(again.action, request_action::reply_not_run);
        EXPECT_EQ(life.attempts, 2U);
    }
}

// Guards against an unknown outcome where no byte can have left.
TEST(outcome, failed_connect_is_queued_again_and_then_not_run)
{
    retry_budget budget = make_retry_budget({});
    request_life life = make_request_life(false, deadline);
    apply(life, request_event::admit, budget, start);
    apply(life, request_event::enqueue, budget, start);
    apply(life, request_event::dispatch, budget, start);
    EXPECT_TRUE(apply(life, request_event::connect_failed, budget, start).send_again);
    EXPECT_EQ(apply(life, request_event::deadline, budget, deadline).result, outcome::not_run);
}

// Guards against reuse of a connection whose answer is late or cancelled.
TEST(outcome, late_or_cancelled_answers_close_the_connection)
{
    for (const request_event event : {request_event::deadline, request_event::cancel})
    {
        retry_budget budget = full_budget();
        request_life life = sent_request(true, budget);
        const decision ended = apply(life, event, budget, start);
        EXPECT_EQ(ended.result, outcome::unknown);
        EXPECT_TRUE(ended.close_connection);
        EXPECT_FALSE(apply(life, request_event::answer, budget, start).accepted);
    }
    EXPECT_FALSE(may_use_connection(false, false, 1s));
    EXPECT_TRUE(may_use_connection(false, true, 1s));
    EXPECT_TRUE(may_use_connection(false, false, 999ms));
}

// Guards against retries that exceed a tenth of the requests.
TEST(retry_budget, allows_one_retry_in_ten_requests)
{
    retry_budget budget = make_retry_budget({});
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        on_request(budget);
        retries += try_retry(budget) ? 1 : 0;
    }
    EXPECT_EQ(retries, 100);
}

} // namespace
} // namespace zinniaferry::request
