#include "net/service_waiters.hpp"

namespace zinniaferry::net
{

std::uint64_t enter_waiters(gateway& gateway, const std::string& service,
                            admission::waiter entering, std::function<void()> wake)
{
    service_waiters& waiters = gateway.waiters[service];
    entering.id = ++waiters.last_id;
    waiters.wake_by_id[entering.id] = std::move(wake);
    if (const auto removed = admission::enter(waiters.queue, entering))
    {
        const auto notify = std::move(waiters.wake_by_id.at(*removed));
        waiters.wake_by_id.erase(*removed);
        notify();
    }
    return entering.id;
}

void leave_waiters(gateway& gateway, const std::string& service, std::uint64_t id)
{
    service_waiters& waiters = gateway.waiters[service];
    waiters.wake_by_id.erase(id);
    if (admission::leave(waiters.queue, id))
    {
        wake_first_waiter(gateway, service);
    }
}

bool is_first_waiter(const gateway& gateway, const std::string& service, std::uint64_t id)
{
    const auto found = gateway.waiters.find(service);
    return found != gateway.waiters.end() && admission::first(found->second.queue) == id;
}

bool is_waiter(const gateway& gateway, const std::string& service, std::uint64_t id)
{
    const auto found = gateway.waiters.find(service);
    return found != gateway.waiters.end() && admission::contains(found->second.queue, id);
}

void wake_first_waiter(gateway& gateway, const std::string& service)
{
    const auto found = gateway.waiters.find(service);
    if (found == gateway.waiters.end())
    {
        return;
    }
    if (const auto id = admission::first(found->second.queue))
    {
        found->second.wake_by_id.at (*id)();
    }
}

} // namespace zinniaferry::net
