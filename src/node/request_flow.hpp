/// Steps of a request inside the decider. Each step appends its actions; functions here are for
/// the other files of this folder.
#pragma once

#include "node/decider.hpp"

namespace zinniaferry::node
{

/// Appends messages to peers and counts them.
void append(decider& state, action_list& actions, std::vector<fleet::outgoing> messages);

/// Ends the waits of the account limiter.
void resolve_waiting(decider& state, core::time_point now, action_list& actions);

/// Takes the results of claims.
void resolve_claims(decider& state, core::time_point now, action_list& actions);

/// Refuses queued requests that can no longer be answered in time.
void expire_queued(decider& state, core::time_point now, action_list& actions);

/// Sends what can be sent of one service, or of all.
void dispatch_service(decider& state, routing::service_index service, core::time_point now,
                      action_list& actions);
void dispatch_all(decider& state, core::time_point now, action_list& actions);

} // namespace zinniaferry::node
