/// One send of a request to one backend server, and how the log tells it.
#pragma once

#include "net/backend_selection.hpp"

#include <boost/json.hpp>

namespace zinniaferry::net
{

struct request_attempt
{
    connected_backend target;
    core::time_point sent_at;
    std::size_t candidates = 0;                   ///< Asked for their load.
    std::optional<routing::load_reading> reading; ///< That decided.
    bool finished = false;                           ///< `result` is set.
    bool settled = false;                         ///< Nobody waits for it any more.
    exchange_result result;
};

/// Returns the attempt for the line of its request, which arrived at `arrived`. `latency` is the
/// time since it was sent. Thread safe.
boost::json::object describe_attempt(const request_attempt& attempt, core::time_point arrived,
                                     core::duration latency);

} // namespace zinniaferry::net
