#include "net/deadline_timer.hpp"

namespace zinniaferry::net
{

deadline_timer::deadline_timer(boost::asio::ip::tcp::socket& socket)
    : socket_(socket), timer_(socket.get_executor())
{
}

void deadline_timer::expires_at(core::time_point deadline)
{
    expired_ = false;
    deadline_ = deadline;
    if (deadline < armed_for_)
    {
        arm(deadline);
    }
}

void deadline_timer::expires_after(core::duration timeout)
{
    expires_at(core::boot_clock_now() + timeout);
}

void deadline_timer::clear()
{
    deadline_ = core::time_point::max();
}

void deadline_timer::arm(core::time_point at)
{
    armed_for_ = at;
    timer_.expires_after(std::max(at - core::boot_clock_now(), core::duration::zero()));
    timer_.async_wait(
        [this,
         weak_token = std::weak_ptr<char>(lifetime_token_)](const boost::system::error_code& error)
        {
            if (!weak_token.expired())
            {
                on_timer_fired(error);
            }
        });
}

void deadline_timer::on_timer_fired(const boost::system::error_code& error)
{
    // The wait was cancelled because the timer was armed again.
    if (error)
    {
        return;
    }
    armed_for_ = core::time_point::max();
    if (deadline_ == core::time_point::max())
    {
        return;
    }
    if (core::boot_clock_now() < deadline_)
    {
        arm(deadline_);
        return;
    }
    expired_ = true;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

} // namespace zinniaferry::net
