#include "node/actions.hpp"

namespace zinniaferry::node
{

const char* to_string(request_error error)
{
    switch (error)
    {
    case request_error::bad_request:
        return "bad_request";
    case request_error::headers_too_large:
        return "headers_too_large";
    case request_error::body_too_large:
        return "body_too_large";
    case request_error::slow_request:
        return "slow_request";
    case request_error::unknown_key:
        return "unknown_key";
    case request_error::unknown_route:
        return "unknown_route";
    case request_error::over_limit:
        return "over_limit";
    case request_error::overloaded:
        return "overloaded";
    case request_error::no_server:
        return "no_server";
    case request_error::isolated:
        return "isolated";
    case request_error::not_ready:
        return "not_ready";
    case request_error::deadline_expired:
        return "deadline_expired";
    case request_error::repeated_key:
        return "repeated_key";
    case request_error::claim_undecided:
        return "claim_undecided";
    case request_error::server_lost:
        return "server_lost";
    case request_error::incomplete_answer:
        return "incomplete_answer";
    case request_error::cancelled:
        return "cancelled";
    }
    return "unknown_error";
}

unsigned http_status(request_error error)
{
    switch (error)
    {
    case request_error::bad_request:
        return 400;
    case request_error::headers_too_large:
        return 431;
    case request_error::body_too_large:
        return 413;
    case request_error::slow_request:
        return 408;
    case request_error::unknown_key:
        return 401;
    case request_error::unknown_route:
        return 404;
    case request_error::over_limit:
        return 429;
    case request_error::repeated_key:
        return 409;
    case request_error::deadline_expired:
        return 504;
    case request_error::server_lost:
    case request_error::incomplete_answer:
        return 502;
    case request_error::overloaded:
    case request_error::no_server:
    case request_error::isolated:
    case request_error::not_ready:
    case request_error::claim_undecided:
    case request_error::cancelled:
        return 503;
    }
    return 500;
}

const char* to_string(run_state state)
{
    return state == run_state::not_run ? "not_run" : "unknown";
}

} // namespace zinniaferry::node
