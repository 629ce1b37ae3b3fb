/// The requests of this daemon that wait for a server, by service.
#pragma once

#include "net/gateway.hpp"

namespace zinniaferry::net
{

/// Thread safety: the io_context's thread only; this holds for all functions of this header.

/// Lets a request wait for a server of the service. `wake` is called when it becomes the first one,
/// when a server is likely free while it is, and when it loses its place to a more urgent one. Its
/// id in `entering` is set. Returns the id.
std::uint64_t enter_waiters(gateway& gateway, const std::string& service,
                            admission::waiter entering, std::function<void()> wake);

/// Ends the wait of a request. Has no effect if it has lost its place.
void leave_waiters(gateway& gateway, const std::string& service, std::uint64_t id);

/// Returns whether the request is the one that looks for a server.
bool is_first_waiter(const gateway& gateway, const std::string& service, std::uint64_t id);

/// Returns whether the request still has its place.
bool is_waiter(const gateway& gateway, const std::string& service, std::uint64_t id);

/// Wakes the first waiting request, because a server is likely free.
void wake_first_waiter(gateway& gateway, const std::string& service);

} // namespace zinniaferry::net
