#include "limits/connection_budget.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::limits
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start = core::time_point(1000s);

// Guards against a crowd of silent connections that keeps ordinary callers out, and against
// requests that are cut while others are idle.
TEST(connection_budget, idle_connections_close_first_then_incomplete_headers_then_the_new_one)
{
    connection_budget budget = {.max_open = 3};
    const connection_id serving = add_connection(budget, start);
    const connection_id reading = add_connection(budget, start);
    const connection_id idle = add_connection(budget, start + 1s);
    set_phase(budget, serving, connection_phase::serving, start);
    set_phase(budget, reading, connection_phase::reading_header, start);
    EXPECT_EQ(connection_to_close(budget, idle), std::nullopt);
    const connection_id first = add_connection(budget, start + 2s);
    EXPECT_EQ(connection_to_close(budget, first), idle);
    remove_connection(budget, idle);
    set_phase(budget, first, connection_phase::serving, start + 2s);
    const connection_id second = add_connection(budget, start + 3s);
    EXPECT_EQ(connection_to_close(budget, second), reading);
    remove_connection(budget, reading);
    set_phase(budget, second, connection_phase::serving, start + 3s);
    const connection_id third = add_connection(budget, start + 4s);
    EXPECT_EQ(connection_to_close(budget, third), third);
}

// Guards against an order by age that closes the callers that came last.
TEST(connection_budget, of_several_idle_connections_the_oldest_closes)
{
    connection_budget budget = {.max_open = 2};
    const connection_id returned = add_connection(budget, start);
    const connection_id oldest = add_connection(budget, start + 1s);
    set_phase(budget, returned, connection_phase::idle, start + 2s);
    EXPECT_EQ(connection_to_close(budget, add_connection(budget, start + 3s)), oldest);
}

// Guards against a bound that leaves no descriptors for servers, and one where none is stated.
TEST(connection_budget, half_of_the_sockets_are_for_callers)
{
    EXPECT_EQ(max_caller_connections(3900), 1950U);
    EXPECT_GT(max_caller_connections(0), 1000000U);
}

} // namespace
} // namespace zinniaferry::limits
