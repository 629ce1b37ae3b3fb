#include "net/deadline_timer.hpp"

namespace zinniaferry::net
{

deadline_timer::deadline_timer(boost::asio::ip::tcp::socket& socket)
    : m_socket(socket), m_timer(socket.get_executor())
{
}

void deadline_timer::expires_at(core::time_point deadline)
{
    m_expired = false;
    m_deadline = deadline;
    if (deadline < m_armed_for)
    {
        arm(deadline);
    }
}

void deadline_timer::expires_after(core::duration time)
{
    expires_at(core::boot_clock_now() + time);
}

void deadline_timer::clear()
{
    m_deadline = core::time_point::max();
}

void deadline_timer::arm(core::time_point at)
{
    m_armed_for = at;
    m_timer.expires_after(std::max(at - core::boot_clock_now(), core::duration::zero()));
    m_timer.async_wait(
        [this, alive = std::weak_ptr<char>(m_alive)](const boost::system::error_code& error)
        {
            if (!alive.expired())
            {
                on_fire(error);
            }
        });
}

void deadline_timer::on_fire(const boost::system::error_code& error)
{
    // An aborted wait means that the timer was armed again.
    if (error)
    {
        return;
    }
    m_armed_for = core::time_point::max();
    if (m_deadline == core::time_point::max())
    {
        return;
    }
    if (core::boot_clock_now() < m_deadline)
    {
        arm(m_deadline);
        return;
    }
    m_expired = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

} // namespace zinniaferry::net
