/// Control listener of the stand-in servers: commands that set their mode, and their counters.
#include "stand_in/backend.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string_view>

namespace zinniaferry::stand_in
{

namespace
{

namespace json = boost::json;

void start_cold_period(backend& server, std::optional<double> duration_ms)
{
    const milliseconds cold_duration =
        duration_ms ? milliseconds(*duration_ms) : server.group->options.cold_time;
    server.cold_until =
        backend_clock::now() + std::chrono::duration_cast<backend_clock::duration>(cold_duration);
}

json::object counters_to_json(const backend_counters& counters)
{
    return {{"executions", counters.executions},
            {"completed", counters.completed},
            {"cancelled", counters.cancelled},
            {"cut", counters.cut},
            {"shed", counters.shed},
            {"failed_fast", counters.failed_fast},
            {"while_draining", counters.while_draining},
            {"while_pausing", counters.while_pausing},
            {"cold_overruns", counters.cold_overruns},
            {"key_headers", counters.key_headers},
            {"probes", counters.probes},
            {"misdirected", counters.misdirected}};
}

void add_counters(backend_counters& sum, const backend_counters& counters)
{
    sum.executions += counters.executions;
    sum.completed += counters.completed;
    sum.cancelled += counters.cancelled;
    sum.cut += counters.cut;
    sum.shed += counters.shed;
    sum.failed_fast += counters.failed_fast;
    sum.while_draining += counters.while_draining;
    sum.while_pausing += counters.while_pausing;
    sum.cold_overruns += counters.cold_overruns;
    sum.key_headers += counters.key_headers;
    sum.probes += counters.probes;
    sum.misdirected += counters.misdirected;
}

http_response counters_response(backend_group& group)
{
    backend_counters sum;
    json::array servers;
    for (const auto& server : group.servers)
    {
        add_counters(sum, server->counters);
        json::object entry = counters_to_json(server->counters);
        entry["name"] = server->name;
        entry["running"] = server->running;
        entry["waiting"] = server->waiting.size();
        servers.push_back(std::move(entry));
    }
    json::object body = counters_to_json(sum);
    body["servers"] = std::move(servers);
    return json_response(200, json::serialize(body));
}

http_response control_error(unsigned status, const char* detail)
{
    const json::object body{{"error", "bad_request"}, {"detail", detail}};
    return json_response(status, json::serialize(body));
}

// Ends the server's lifetime and starts the next one, under a new id if one is given.
void restart(backend& server, const http_request& request)
{
    server.mode = backend_mode::normal;
    server.leaving = false;
    ++server.lifetime;
    if (const std::string id = find_value(request.query, "id"); !id.empty())
    {
        server.name = id;
    }
    start_cold_period(server, find_number(request.query, "ms"));
    reset_connections(server.connections);
}

// Makes the server reject requests for the time `ms`, or until another command changes its mode.
http_response pause(backend& server, const http_request& request)
{
    const auto retry_after_s = find_number(request.query, "retry_after");
    if (!retry_after_s)
    {
        return control_error(400, "pause expects retry_after=SECONDS");
    }
    const auto duration_ms = find_number(request.query, "ms");
    server.mode = backend_mode::pausing;
    server.retry_after = core::from_seconds(*retry_after_s);
    server.pausing_until =
        duration_ms
            ? backend_clock::now() +
                  std::chrono::duration_cast<backend_clock::duration>(milliseconds(*duration_ms))
            : backend_clock::time_point::max();
    return json_response(200, "{}");
}

// Applies a control command to one server. Returns the response, an error if the command is not
// valid.
http_response apply_command(backend& server, std::string_view command, const http_request& request)
{
    static const std::map<std::string_view, backend_mode> mode_commands{
        {"normal", backend_mode::normal},
        {"slow", backend_mode::slow},
        {"fail_fast", backend_mode::fail_fast},
        {"drain", backend_mode::draining},
        {"late", backend_mode::late}};
    if (const auto mode = mode_commands.find(command); mode != mode_commands.end())
    {
        server.mode = mode->second;
        server.slow_factor = find_number(request.query, "factor").value_or(10.0);
        server.slow_by = milliseconds(find_number(request.query, "add_ms").value_or(0.0));
    }
    else if (command == "pause")
    {
        return pause(server, request);
    }
    else if (command == "leave")
    {
        server.leaving = true;
    }
    else if (command == "restart")
    {
        restart(server, request);
    }
    else if (command == "cold")
    {
        start_cold_period(server, find_number(request.query, "ms"));
    }
    else
    {
        return control_error(404, "unknown command; expected cold, slow, fail_fast, drain, leave, "
                                  "pause, restart, late or normal");
    }
    return json_response(200, "{}");
}

bool has_server(const backend_group& group, std::string_view id)
{
    return std::any_of(group.servers.begin(), group.servers.end(),
                       [&](const auto& server) { return server->name == id; });
}

http_response handle_control(backend_group& group, const http_request& request)
{
    constexpr std::string_view command_prefix = "/control/";
    if (request.method == "GET" && request.path == "/control/counters")
    {
        return counters_response(group);
    }
    if (request.method != "POST" || !request.path.starts_with(command_prefix))
    {
        return control_error(404,
                             "not found; expected POST /control/COMMAND or GET /control/counters");
    }
    const std::string command = request.path.substr(command_prefix.size());
    const std::string server_id = find_value(request.query, "server");
    const std::string new_id = find_value(request.query, "id");
    if (!new_id.empty() &&
        (server_id.empty() || (new_id != server_id && has_server(group, new_id))))
    {
        return control_error(400, "id must be new and is for one server");
    }
    http_response response = control_error(404, "unknown server name");
    for (const auto& server : group.servers)
    {
        if (server_id.empty() || server_id == server->name)
        {
            response = apply_command(*server, command, request);
        }
    }
    return response;
}

} // namespace

http_handler make_backend_control(backend_group& group)
{
    return [&group](http_request request) -> boost::asio::awaitable<http_response>
    {
        co_return handle_control(group, request);
    };
}

} // namespace zinniaferry::stand_in
