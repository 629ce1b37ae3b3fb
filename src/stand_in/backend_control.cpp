/// Control listener of the stand-in servers: commands that set their mode, and their counters.
#include "stand_in/backend.hpp"

#include <boost/json.hpp>

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

// Applies a control command to one server. Returns false if the command is unknown.
bool apply_command(backend& server, std::string_view command, const http_request& request)
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
        return true;
    }
    if (command == "restart")
    {
        server.mode = backend_mode::normal;
        start_cold_period(server, find_number(request.query, "ms"));
        reset_connections(server.connections);
        return true;
    }
    if (command == "cold")
    {
        start_cold_period(server, find_number(request.query, "ms"));
        return true;
    }
    return false;
}

http_response control_error(unsigned status, const char* detail)
{
    const json::object body{{"error", "bad_request"}, {"detail", detail}};
    return json_response(status, json::serialize(body));
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
    const std::string server_name = find_value(request.query, "server");
    bool found = false;
    for (const auto& server : group.servers)
    {
        if (server_name.empty() || server_name == server->name)
        {
            found = true;
            if (!apply_command(*server, command, request))
            {
                return control_error(404, "unknown command; expected cold, slow, fail_fast, drain, "
                                          "restart, late or normal");
            }
        }
    }
    return found ? json_response(200, "{}") : control_error(404, "unknown server name");
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
