#include "stand_in/exchange_log.hpp"

#include <boost/json.hpp>

namespace zinniaferry::stand_in
{

namespace
{

namespace json = boost::json;

const char* to_string(request_kind kind)
{
    return kind == request_kind::work ? "work" : "health_check";
}

} // namespace

exchange::exchange(backend& server, const http_request& request, request_kind kind)
    : server(server), request(request), kind(kind), server_id(server.name),
      lifetime(server.lifetime), received(core::unix_time_now())
{
}

exchange::~exchange()
{
    if (!server.group->exchange_log.is_open())
    {
        return;
    }
    const json::object line{
        {"caller_id", find_value(request.query, "id")},
        {"kind", to_string(kind)},
        {"server", server_id},
        {"lifetime", lifetime},
        {"received_us", received.count()},
        {"ended_us", core::unix_time_now().count()},
        {"status", status},
        {"leaving", leaving},
        {"retry_after_s", retry_after ? json::value(core::to_seconds(*retry_after)) : nullptr}};
    // Flushed after each line, so that the log of a killed process is complete up to that moment.
    server.group->exchange_log << json::serialize(line) << std::endl;
}

} // namespace zinniaferry::stand_in
