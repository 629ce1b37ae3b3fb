/// Admission of requests to a service that is short of capacity, from the load that the fleet's hub
/// sends or, without a recent one, from this daemon's own.
#pragma once

#include "net/gateway.hpp"

namespace zinniaferry::net
{

/// Thread safety: the io_context's thread only; this holds for all functions of this header.

/// Decides on a request for a service. `fraction` is a uniformly distributed number in [0, 1), the
/// same for all decisions on the request. A service whose requests are all of one priority admits
/// all of them.
admission::admission_decision decide_admission(gateway& gateway, const std::string& service,
                                               std::uint32_t priority, double fraction,
                                               core::time_point now);

/// Records that a request is rejected at its arrival, so that the capacity is left to others.
/// Returns when its caller is to return.
core::duration reject_at_arrival(gateway& gateway, const std::string& service,
                                 std::uint32_t priority, core::time_point now);

/// Records that a request is refused because no server of the service has capacity for it. Returns
/// when its caller is to return.
core::duration refuse_for_capacity(gateway& gateway, const std::string& service,
                                   std::uint32_t priority, core::time_point now);

} // namespace zinniaferry::net
