#include "net/deadline_timer.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace zinniaferry::net
{
namespace
{

/// Converts a time point of the decision logic to the steady clock.
std::chrono::steady_clock::time_point to_steady(core::time_point at)
{
    return std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(at.time_since_epoch()));
}

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct connected_pair
{
    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    tcp::socket local{io};
    tcp::socket remote{io};

    connected_pair()
    {
        local.connect(acceptor.local_endpoint());
        acceptor.accept(remote);
    }
};

// Guards against a pending read that does not end at the deadline.
TEST(deadline_timer_test, cancels_pending_operations)
{
    connected_pair pair;
    deadline_timer timer(pair.local);
    char byte = 0;
    error_code read_error;
    pair.local.async_read_some(asio::buffer(&byte, 1),
                               [&](error_code error, std::size_t) { read_error = error; });
    timer.expires_at(core::boot_clock_now() - std::chrono::milliseconds(1));
    pair.io.run();
    EXPECT_EQ(read_error, asio::error::operation_aborted);
    EXPECT_TRUE(timer.expired());
}

// Guards against the handler of a destroyed timer writing to freed memory, which crashed daemons.
// It ran if the deadline passed in the same event loop iteration in which the timer was destroyed.
TEST(deadline_timer_test, does_nothing_after_destruction)
{
    connected_pair pair;
    // The storage stays valid, so that a late handler shows as a cancelled read in any build, not
    // only with a sanitizer.
    std::optional<deadline_timer> timer(std::in_place, pair.local);
    bool read_ended = false;
    char byte = 0;
    pair.local.async_read_some(asio::buffer(&byte, 1),
                               [&](error_code, std::size_t) { read_ended = true; });
    const core::time_point past_deadline = core::boot_clock_now() - std::chrono::milliseconds(1);
    // Completes first, in the same iteration: both waits have expired when the loop starts.
    asio::steady_timer destroying_timer(pair.io,
                                        to_steady(past_deadline - std::chrono::milliseconds(1)));
    bool timer_destroyed = false;
    destroying_timer.async_wait(
        [&](error_code)
        {
            timer.reset();
            timer_destroyed = true;
        });
    timer->expires_at(past_deadline);
    for (int i = 0; i < 10; ++i)
    {
        pair.io.poll();
    }
    EXPECT_TRUE(timer_destroyed);
    EXPECT_FALSE(read_ended);
}

} // namespace
} // namespace zinniaferry::net
