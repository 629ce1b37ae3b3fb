/// Decides which share of each priority's requests a service that is short of capacity admits, and
/// when the callers of the others are to return. All daemons decide alike from the same load.
///
/// Load pattern: callers of several priorities compete for a service that has too little capacity
/// for seconds. Each daemon sees few of them, and servers work their queues in order, so an urgent
/// request behind less urgent ones is late.
#pragma once

#include "admission/service_load.hpp"
#include "core/random.hpp"

namespace zinniaferry::admission
{

/// Whether a service is short of capacity, and which shares of its requests it then admits.
struct priority_admission
{
    bool is_short = false;
    core::time_point short_until; ///< Unless the service is found saturated again.
    core::time_point updated_at;
    double capacity = 0.0; ///< Requests/s that the service takes; only while it is short.
    service_load load;     ///< As of the last update.
    /// Shares of the arrivals, in [0, 1], that are admitted at all, and like the most urgent ones;
    /// only while the service is short.
    std::array<double, priority_levels> admitted{};
    std::array<double, priority_levels> guaranteed{};
};

/// How a request is admitted to a service.
enum class admission_decision
{
    unrestricted, ///< As if the service had no other priorities.
    free_slots,   ///< To a free slot of a server, but to no server's queue.
    rejected
};

/// Returns the name of the decision in the log. Thread safe.
const char* to_string(admission_decision value);

/// Not thread safe: calls on one priority_admission must not run concurrently.

/// Updates the shares. `usual_latency` is that of the service, from sending to the response; zero
/// if it is not known. Has no effect soon after another update.
void update(priority_admission& state, const service_load& load, core::duration usual_latency,
            core::time_point now);

/// Decides on one request. While more urgent requests arrive, one gets free slots only, also before
/// the service is known to be short: a server's queue is left to those. `fraction` is a uniformly
/// distributed number in [0, 1), the same for all decisions on the request.
admission_decision decide(const priority_admission& state, std::uint32_t priority, double fraction);

/// Returns when a caller that is rejected now is to return: once the service has worked off what
/// waits, the returning callers that are more urgent, and a random part of those alike.
/// Precondition: the service is short.
core::duration retry_after(const priority_admission& state, std::uint32_t priority,
                           core::random_generator& random);

} // namespace zinniaferry::admission
