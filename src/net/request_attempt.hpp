/// One attempt to have a request served by a backend server, and its representation in the log.
#pragma once

#include "net/backend_selection.hpp"
#include "request/refusal.hpp"

#include <boost/json.hpp>

namespace zinniaferry::net
{

struct request_attempt
{
    connected_backend target;
    core::time_point sent_at;
    std::size_t candidates = 0;                   ///< Servers considered in the selection.
    std::optional<routing::load_reading> reading; ///< On which the server was selected.
    routing::load_at_send load;                   ///< Of the server, when the attempt was sent.
    core::duration expected{}; ///< Time at the server, queue included; zero if not known.
    bool finished = false;     ///< `result` is final.
    bool settled = false;      ///< `result` evaluated, or attempt cancelled.
    exchange_result result;
};

/// Returns what a failed exchange says about its server. Thread safe.
routing::failure_kind failure_kind_of(exchange_outcome outcome);

/// Records the load that the response of an answered attempt states, if it states one. Not thread
/// safe.
void record_reported_load(const request_attempt& attempt, const http_profile& profile,
                          core::time_point now);

/// Returns why a request is refused whose last exchange failed. Thread safe.
request::refusal_reason refusal_reason_of(exchange_outcome outcome);

/// Cancels an attempt unless its result has been evaluated. Closing the connection tells the server
/// to stop its work, and prevents a late response from being taken for the response to a later
/// request on a reused connection. Not thread safe.
void cancel_attempt(request_attempt& attempt);

/// Returns the attempt's fields for the request's log line. `arrived` is the time at which the
/// request arrived, `latency` the time since the attempt was sent. Thread safe.
boost::json::object describe_attempt(const request_attempt& attempt, core::time_point arrived,
                                     core::duration latency);

} // namespace zinniaferry::net
