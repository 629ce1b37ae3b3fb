#include "stand_in/execution_log.hpp"

#include <boost/json.hpp>

namespace zinniaferry::stand_in
{

namespace
{

namespace json = boost::json;

const char* to_string(execution_end end)
{
    switch (end)
    {
    case execution_end::cancelled:
        return "cancelled";
    case execution_end::cut:
        return "cut";
    case execution_end::completed:
        return "completed";
    }
    return "unknown";
}

} // namespace

execution::execution(backend& server, const http_request& request)
    : server(server), request(request), server_id(server.name), start(core::unix_time_now())
{
    ++server.counters.executions;
}

execution::~execution()
{
    backend_counters& counters = server.counters;
    ++(end == execution_end::completed ? counters.completed
       : end == execution_end::cut     ? counters.cut
                                       : counters.cancelled);
    if (!server.group->execution_log.is_open())
    {
        return;
    }
    const json::object line{
        {"request_id", find_value(request.headers, "x-zinnia-request-id")},
        {"idempotency_key", find_value(request.headers, "idempotency-key")},
        {"account", find_value(request.headers, "x-zinnia-account")},
        // The load generator's own id is in the query, so that records can be matched to executions
        // without relying on the request ids that a daemon assigns.
        {"caller_id", find_value(request.query, "id")},
        {"method", request.method},
        {"server", server_id},
        {"start_us", start.count()},
        {"end_us", core::unix_time_now().count()},
        {"end", to_string(end)},
        {"key_header", request.headers.contains("x-zinnia-key")}};
    // Flushed after each line, so that the log of a killed process is complete up to that moment.
    server.group->execution_log << json::serialize(line) << std::endl;
}

} // namespace zinniaferry::stand_in
