#include "admission/placement.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::admission
{
namespace
{

using namespace std::chrono_literals;
using routing::queueing;

const waiting_request new_request = {
    .objective = 300ms, .usual_latency = 200ms, .response_transit = 10ms};

// Guards against refusing or delaying a request for which a server may become free in time.
TEST(placement, a_request_that_can_be_in_time_waits_for_a_server)
{
    const placement out = place(new_request);
    EXPECT_EQ(out.accepted, queueing::in_time);
    EXPECT_EQ(out.max_delay, 50ms) << "the usual latency and a fifth of it are needed";
    EXPECT_TRUE(out.waits);
}

// Guards against requests that hold places although they are late in any case, and against holding
// one that is known to find none.
TEST(placement, a_request_that_is_late_takes_spare_capacity_or_none)
{
    waiting_request late = new_request;
    late.since_arrival = 1ms;
    late.since_first_attempt = 55ms;
    const placement out = place(late);
    EXPECT_EQ(out.accepted, queueing::spare);
    EXPECT_EQ(out.max_delay, core::duration::max());
    EXPECT_FALSE(out.waits);
}

// Guards against holding a request that may run only once until its time limit is too near for any
// server, and against a limit that gets lost on the way to the selection.
TEST(placement, a_request_that_fits_no_server_any_more_does_not_wait)
{
    waiting_request once = new_request;
    once.limit = {.left = 400ms};
    EXPECT_TRUE(place(once).waits);
    EXPECT_EQ(place(once).limit->left, 400ms);
    once.may_fit = false;
    EXPECT_FALSE(place(once).waits);
    EXPECT_FALSE(place(new_request).limit);
}

// Guards against halving the capacity of a service whose responses are all late: there is no other
// request to leave a slot to.
TEST(placement, requests_of_a_route_that_is_always_late_take_any_free_slot)
{
    waiting_request request = new_request;
    request.usual_latency = 400ms;
    request.since_first_attempt = 1s;
    EXPECT_EQ(place(request).accepted, queueing::none);
    EXPECT_EQ(place(request).max_delay, core::duration::max());
    EXPECT_TRUE(place(request).waits);
    request.since_arrival = 100ms;
    EXPECT_FALSE(place(request).waits);
}

// Guards against hedges that take the slot which a first attempt needs.
TEST(placement, a_hedge_leaves_a_slot_to_others)
{
    const placement out = place_hedge(200ms);
    EXPECT_EQ(out.accepted, queueing::spare);
    EXPECT_EQ(out.max_delay, 100ms) << "a slow server is of no use";
    EXPECT_FALSE(out.waits);
}

} // namespace
} // namespace zinniaferry::admission
