/// The control listener of the stand-in servers.
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

void make_cold(backend& server, std::optional<double> for_ms)
{
    const milliseconds time = for_ms ? milliseconds(*for_ms) : server.group->options.cold_time;
    server.cold_until =
        backend_clock::now() + std::chrono::duration_cast<backend_clock::duration>(time);
}

json::object counters_of(const backend_counters& counters)
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
            {"probes", counters.probes}};
}

void add(backend_counters& sum, const backend_counters& part)
{
    sum.executions += part.executions;
    sum.completed += part.completed;
    sum.cancelled += part.cancelled;
    sum.cut += part.cut;
    sum.shed += part.shed;
    sum.failed_fast += part.failed_fast;
    sum.while_draining += part.while_draining;
    sum.cold_overruns += part.cold_overruns;
    sum.key_headers += part.key_headers;
    sum.probes += part.probes;
}

http_reply answer_counters(backend_group& group)
{
    backend_counters sum;
    json::array servers;
    for (const auto& server : group.servers)
    {
        add(sum, server->counters);
        json::object entry = counters_of(server->counters);
        entry["name"] = server->name;
        entry["running"] = server->running;
        entry["waiting"] = server->waiting.size();
        servers.push_back(std::move(entry));
    }
    json::object body = counters_of(sum);
    body["servers"] = std::move(servers);
    return json_reply(200, json::serialize(body));
}

// Returns false for an unknown command.
bool apply_command(backend& server, std::string_view command, const http_request& request)
{
    static const std::map<std::string_view, behaviour> modes{{"normal", behaviour::normal},
                                                             {"slow", behaviour::slow},
                                                             {"fail_fast", behaviour::fail_fast},
                                                             {"drain", behaviour::draining},
                                                             {"late", behaviour::late}};
    if (const auto mode = modes.find(command); mode != modes.end())
    {
        server.mode = mode->second;
        server.slow_factor = find_number(request.query, "factor").value_or(10.0);
        return true;
    }
    if (command == "restart")
    {
        server.mode = behaviour::normal;
        make_cold(server, find_number(request.query, "ms"));
        reset_all(server.connections);
        return true;
    }
    if (command == "cold")
    {
        make_cold(server, find_number(request.query, "ms"));
        return true;
    }
    return false;
}

http_reply control_error(unsigned status, const char* detail)
{
    const json::object body{{"error", "bad_request"}, {"detail", detail}};
    return json_reply(status, json::serialize(body));
}

http_reply answer_control(backend_group& group, const http_request& request)
{
    constexpr std::string_view prefix = "/control/";
    if (request.method == "GET" && request.path == "/control/counters")
    {
        return answer_counters(group);
    }
    if (request.method != "POST" || !request.path.starts_with(prefix))
    {
        return control_error(404, "POST /control/COMMAND or GET /control/counters");
    }
    const std::string command = request.path.substr(prefix.size());
    const std::string name = find_value(request.query, "server");
    bool found = false;
    for (const auto& server : group.servers)
    {
        if (name.empty() || name == server->name)
        {
            found = true;
            if (!apply_command(*server, command, request))
            {
                return control_error(
                    404, "the commands are cold, slow, fail_fast, drain, restart, late, normal");
            }
        }
    }
    return found ? json_reply(200, "{}") : control_error(404, "no server of that name");
}

} // namespace

http_handler make_backend_control(backend_group& group)
{
    return [&group](http_request request) -> boost::asio::awaitable<http_reply>
    {
        co_return answer_control(group, request);
    };
}

} // namespace zinniaferry::stand_in
