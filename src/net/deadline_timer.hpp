/// A deadline for the operations of one socket: when it passes, the pending operations end with
/// operation_aborted and the socket stays open, so that an error can still be written.
#pragma once

#include "core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace zinniaferry::net
{

/// One thread at a time. The timer is armed lazily: moving the deadline later costs no system
/// call, which matters because every request moves it several times.
class deadline_timer
{
public:
    /// Precondition: `socket` outlives the timer.
    explicit deadline_timer(boost::asio::ip::tcp::socket& socket);
    deadline_timer(const deadline_timer&) = delete;
    deadline_timer& operator=(const deadline_timer&) = delete;

    /// Sets the deadline. Thread safety: the socket's executor only.
    void expires_at(core::time_point deadline);
    void expires_after(core::duration timeout);

    /// Removes the deadline.
    void clear();

    /// True when the deadline has passed since it was last set.
    bool expired() const { return expired_; }

private:
    void arm(core::time_point at);
    void on_timer_fired(const boost::system::error_code& error);

    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    core::time_point deadline_ = core::time_point::max();
    core::time_point armed_for_ = core::time_point::max();
    bool expired_ = false;
    /// Ends with this object. Destroying a timer does not take back a wait that has already ended
    /// and whose handler is only queued.
    std::shared_ptr<char> lifetime_token_ = std::make_shared<char>();
};

} // namespace zinniaferry::net
