#include "request/progress.hpp"
#include "request/refusal.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::request
{
namespace
{

using event = progress_event;

progress progress_after(bool idempotent, std::initializer_list<event> events,
                        std::uint32_t max_runs = 2)
{
    progress out{.idempotent = idempotent, .max_runs = max_runs};
    for (const event each : events)
    {
        EXPECT_TRUE(apply(out, each));
    }
    return out;
}

// Guards against a non-idempotent request that runs twice because it is retried after a server may
// have run it.
TEST(progress, a_non_idempotent_request_is_retried_only_after_a_refusal)
{
    EXPECT_TRUE(may_send(progress_after(false, {})));
    EXPECT_FALSE(may_send(progress_after(false, {event::bytes_left})));
    EXPECT_FALSE(may_send(progress_after(false, {event::bytes_left, event::attempt_lost})));
    EXPECT_TRUE(may_send(progress_after(false, {event::bytes_left, event::server_refused})));
}

// Guards against telling the caller "not run" for a request that a server may have run.
TEST(progress, not_run_is_promised_only_without_a_send_that_may_have_run)
{
    EXPECT_TRUE(has_certainly_not_run(progress_after(true, {})));
    EXPECT_TRUE(
        has_certainly_not_run(progress_after(true, {event::bytes_left, event::server_refused})));
    EXPECT_FALSE(has_certainly_not_run(progress_after(true, {event::bytes_left})));
    EXPECT_FALSE(
        has_certainly_not_run(progress_after(true, {event::bytes_left, event::attempt_lost})));
    EXPECT_FALSE(has_certainly_not_run(progress_after(
        true, {event::bytes_left, event::attempt_lost, event::bytes_left, event::server_refused})));
    // One of two servers refuses while the other may be running the request.
    EXPECT_FALSE(has_certainly_not_run(
        progress_after(true, {event::bytes_left, event::bytes_left, event::server_refused})));
    EXPECT_EQ(progress_after(true, {event::bytes_left, event::give_up}).state,
              progress_state::unknown);
    EXPECT_EQ(progress_after(true, {event::give_up}).state, progress_state::not_run);
}

// Guards against retries that let more servers run a request than its route allows.
TEST(progress, attempts_bound_the_servers_that_may_run_a_request)
{
    EXPECT_TRUE(may_send(progress_after(true, {event::bytes_left}, 2)));
    EXPECT_FALSE(may_send(progress_after(true, {event::bytes_left}, 1)));
    EXPECT_FALSE(may_send(progress_after(true, {event::bytes_left, event::attempt_lost}, 1)));
    EXPECT_FALSE(may_send(progress_after(
        true, {event::bytes_left, event::attempt_lost, event::bytes_left, event::attempt_lost},
        2)));
    // A refusal does not count as a run.
    EXPECT_TRUE(may_send(progress_after(
        true, {event::bytes_left, event::attempt_lost, event::bytes_left, event::server_refused},
        2)));
}

// Guards against trying every server of a service when all of them refuse or are unreachable.
TEST(progress, refusals_and_failed_connects_are_bounded)
{
    progress refused;
    int sends = 0;
    while (may_send(refused) && sends < 100)
    {
        ++sends;
        apply(refused, event::bytes_left);
        apply(refused, event::server_refused);
    }
    EXPECT_LT(sends, 5);
    progress unconnected;
    for (int i = 0; i < 10; ++i)
    {
        record_failed_connect(unconnected);
    }
    EXPECT_FALSE(may_send(unconnected));
    EXPECT_TRUE(has_certainly_not_run(unconnected));
}

// Guards against an HTTP status that tells the caller "not run" for a reason that does not promise
// it, and the reverse.
TEST(refusal, statuses_that_promise_not_run_are_used_only_for_such_reasons)
{
    for (std::size_t i = 0; i < refusal_reason_count; ++i)
    {
        const auto reason = static_cast<refusal_reason>(i);
        const unsigned status = http_status(reason);
        const bool promise = status == 429 || status == 503 || status == 408 || status == 421;
        if (promise)
        {
            EXPECT_TRUE(promises_not_run(reason)) << to_string(reason);
        }
        if (status >= 500 && status != 503)
        {
            EXPECT_FALSE(promises_not_run(reason)) << to_string(reason);
        }
    }
}

} // namespace
} // namespace zinniaferry::request
