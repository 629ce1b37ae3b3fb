/// Selects and ranks the backend servers of a service that may get a request, and limits the rate
/// at which a cold server gets requests.
#pragma once

#include "core/random.hpp"
#include "routing/backends.hpp"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniaferry::routing
{

/// Not thread safe: calls on one backend_set must not run concurrently.

/// Returns up to `count` servers of the service that may get a request now. Serving ones come
/// first, by ascending cost; one cold server is returned only when there is none, and spends a
/// token of its rate; suspect ones come last, when there is no other or most servers are suspect.
/// Servers in `excluded`, withheld servers, and servers with a late or recently unanswered load
/// probe are left out. Counts the servers that were passed over.
std::vector<backend_pointer> select_candidates(backend_set& set, const std::string& service,
                                               std::span<const backend_pointer> excluded,
                                               std::size_t count, core::time_point now,
                                               core::random_generator& random);

/// Returns whether the server's state, its data centre and its notices allow it to get a request.
/// Checked again right before a request is sent, because the server may have left while others were
/// probed.
bool is_eligible(const backend_set& set, const backend& server, core::time_point now);

/// Returns why the server is not eligible; nothing for an eligible or an unlisted server.
std::optional<pass_over_reason> ineligibility(const backend_set& set, const backend& server,
                                              core::time_point now);

/// Counts a server that a selection left out.
void count_passed_over(backend_set& set, pass_over_reason reason);

/// How long a service takes nothing because of what its servers said. Returns nothing if another
/// server may still become a candidate of a request that excludes `excluded`. Servers that leave
/// don't come back; if all do, the time in which others usually take their place is returned.
std::optional<core::duration> service_pause(const backend_set& set, const std::string& service,
                                            std::span<const backend_pointer> excluded,
                                            core::time_point now);

/// Returns a cost to rank servers by: the expected latency of a request in seconds, raised by the
/// error rate and for another data centre.
double expected_cost(const backend_set& set, const backend& server, core::time_point now);

/// Returns whether a recent load reading shows that all slots of the server are taken.
bool is_full(const backend& server, core::time_point now);

/// What a request requires of a server that other requests keep busy.
enum class queueing
{
    in_time, ///< A free slot, or a queue so short that the response can still be in time.
    none,    ///< A free slot.
    spare    ///< A free slot and a further one for requests that can still be in time.
};

/// Returns whether the server has capacity for a request whose response may take `max_delay` longer
/// than usual, because of the server's queue or because work at the server takes longer at the
/// moment: a request that starts then takes longer as a whole. When a request exceeds its queue, a
/// server closes the connection without a response, so that nobody knows whether the request ran. A
/// server with as many waiting requests as slots therefore has no capacity in any case.
bool has_capacity(const backend_set& set, const backend& server, queueing accepted,
                  core::duration max_delay, core::time_point now);

/// Returns the expected time at the server of a request of a route that usually takes
/// `usual_work` there. Its queue, its slowdown and its occupancy are as it reported them a moment
/// ago (see load_when_sent), its slowness and the effect of the occupancy as learned.
time_at_server expected_time(const backend_set& set, const backend& server,
                             core::duration usual_work, core::time_point now);

/// Returns whether a request that may run only once would outlive its limit at the server.
bool would_outlive(const backend_set& set, const backend& server, const run_limit& limit,
                   core::time_point now);

/// Returns whether a server of the service that is idle and of usual speed would end the request
/// within its limit, so that waiting for one makes sense.
bool may_fit(const backend_set& set, const std::string& service, const run_limit& limit);

/// Returns the load of the server with one more request. Without a recent report, it runs this
/// daemon's requests at its service's usual slowdown.
load_at_send load_when_sent(const backend_set& set, const backend& server, core::time_point now);

/// Returns whether a candidate may get the request that it was selected for. `selected_cold` is
/// whether it was cold then, and has used its cold token. One that has turned cold since, as its
/// load probe may show, needs a token now. Not thread safe.
bool admit_candidate(const backend_set& set, backend& server, bool selected_cold,
                     core::time_point now);

} // namespace zinniaferry::routing
