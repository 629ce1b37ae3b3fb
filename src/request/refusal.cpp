#include "request/refusal.hpp"

#include <array>

namespace zinniaferry::request
{

namespace
{

/// What a refusal reason means to the caller.
struct reason_entry
{
    const char* name;
    unsigned status; ///< HTTP.
    bool not_run;    ///< Promises that the request has not run.
};

/// In the order of refusal_reason.
constexpr std::array<reason_entry, refusal_reason_count> reason_table = {{
    {"bad_request", 400, true},
    {"headers_too_large", 431, true},
    {"body_too_large", 413, true},
    {"slow_request", 408, true},
    {"memory_limit", 503, true},
    {"unknown_key", 401, true},
    {"unknown_route", 404, true},
    {"over_limit", 429, true},
    {"no_configuration", 503, true},
    {"configuration_outdated", 503, true},
    {"no_server", 503, true},
    {"overloaded", 503, true},
    {"stopping", 503, true},
    {"expired", 503, true},
    {"deadline", 504, false},
    {"server_lost", 502, false},
    {"unusable_answer", 502, false},
}};

} // namespace

const char* to_string(refusal_reason reason)
{
    return reason_table.at(static_cast<std::size_t>(reason)).name;
}

unsigned http_status(refusal_reason reason)
{
    return reason_table.at(static_cast<std::size_t>(reason)).status;
}

bool promises_not_run(refusal_reason reason)
{
    return reason_table.at(static_cast<std::size_t>(reason)).not_run;
}

} // namespace zinniaferry::request
