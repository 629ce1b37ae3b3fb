/// The log line of a request that has ended.
#pragma once

#include "admission/priority_admission.hpp"
#include "limits/account_pools.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace zinniaferry::net
{

/// How a request ended, and what decided on it. The views must be valid during describe_outcome.
struct request_outcome
{
    std::string_view request_id; ///< Empty if the caller stated none.
    std::string_view outcome;    ///< "answered", "caller_gone" or the name of a refusal reason.
    unsigned status = 0;         ///< HTTP; 0 if no response was written.
    std::string_view host;       ///< Of a request for which no route was found; else empty.
    std::string_view path;       ///< As `host`.
    std::uint64_t version = 0;   ///< Of the configuration that decided; 0 for none.
    core::duration configuration_age{}; ///< All older versions were known, see configuration_age.
    std::string_view account;           ///< Empty if none was determined.
    std::optional<limits::grant_source> grant_source; ///< What decided on the account's rate.
    std::string_view service;                         ///< Empty if none was selected.
    std::uint32_t priority = 0;                       ///< 0 is the most urgent.
    /// How the service admitted it; nothing if none was selected.
    std::optional<admission::admission_decision> admission;
    /// Of the caller, at the request's arrival; zero if this seems to be the first one.
    core::duration since_first_attempt{};
    core::duration duration{};   ///< Since the request arrived.
    boost::json::array attempts; ///< From describe_attempt.
};

/// Returns the fields of the log line. Thread safe.
boost::json::object describe_outcome(request_outcome outcome);

} // namespace zinniaferry::net
