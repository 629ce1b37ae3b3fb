/// Deadline for the operations of one socket. When it passes, pending operations complete with
/// operation_aborted; the socket stays open, so that an error response can still be written.
#pragma once

#include "core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace zinniaferry::net
{

/// Not thread safe. The timer is armed lazily: moving the deadline to a later time costs no system
/// call, which matters because every request moves it several times.
class deadline_timer
{
public:
    /// Precondition: `socket` outlives the timer.
    explicit deadline_timer(boost::asio::ip::tcp::socket& socket);
    deadline_timer(const deadline_timer&) = delete;
    deadline_timer& operator=(const deadline_timer&) = delete;

    /// Sets the deadline and resets expired(). Thread safety: the socket's executor only.
    void expires_at(core::time_point deadline);
    void expires_after(core::duration timeout);

    /// Removes the deadline without resetting expired().
    void clear();

    /// Returns whether the deadline has passed since it was last set.
    bool expired() const { return expired_; }

private:
    void arm(core::time_point at);
    void on_timer_fired(const boost::system::error_code& error);

    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    core::time_point deadline_ = core::time_point::max();  ///< max() for none.
    core::time_point armed_for_ = core::time_point::max(); ///< Of `timer_`; max() if not armed.
    bool expired_ = false;
    /// Destroyed with this object, which handlers detect by a weak pointer. Destroying `timer_`
    /// does not cancel a wait that has already completed and whose handler is queued.
    std::shared_ptr<char> lifetime_token_ = std::make_shared<char>();
};

} // namespace zinniaferry::net
