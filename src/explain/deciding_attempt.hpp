/// Which attempt decided on the outcome of a request.
#pragma once

#include "explain/request_facts.hpp"

namespace zinniaferry::explain
{

/// Returns the attempt that decided: the longest one if the request ended before a response, else
/// the last that failed. Null without one. Thread safe.
const attempt_facts* deciding_attempt(const request_facts& facts);

/// Returns the attempt that decided, if the request may have run without a usable response; else
/// null. Thread safe.
const attempt_facts* lost_attempt(const request_facts& facts);

/// Returns whether another server than the listed one got the attempt. Thread safe.
bool is_misdirected(const attempt_facts& attempt);

/// Returns whether the HTTP status is a failure of the server. Thread safe.
bool is_server_error(std::uint64_t status);

} // namespace zinniaferry::explain
