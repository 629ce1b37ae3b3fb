#include "config/findings.hpp"

#include <boost/json/object.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace zinniaferry::config
{

namespace
{

/// A burst that takes longer to save up than this is no burst of the rate.
constexpr core::duration max_refill_time = std::chrono::minutes(10);

/// The findings, and what several sections are checked against.
struct problem_search
{
    const configuration& config;
    std::unordered_map<std::string, const service*> services;
    std::unordered_set<std::string> out_of_service; ///< Names of data centres.
    bool lists_servers = false;                     ///< The document has servers.
    std::vector<finding> found = {};
};

const char* to_string(finding_kind kind)
{
    return kind == finding_kind::unused ? "unused" : "contradiction";
}

void add(problem_search& search, finding_kind kind, std::string section, std::string name,
         std::string problem)
{
    search.found.push_back({.kind = kind,
                            .section = std::move(section),
                            .name = std::move(name),
                            .problem = std::move(problem)});
}

// Names of the services that a route sends requests to.
std::vector<std::string> targets_of(const route& route)
{
    if (route.split.empty())
    {
        return {route.service};
    }
    std::vector<std::string> out;
    for (const weighted_service& part : route.split)
    {
        out.push_back(part.service);
    }
    return out;
}

// Servers that may get requests.
std::size_t usable_servers(const problem_search& search, const service& service)
{
    const auto is_usable = [&](const backend_server& server)
    {
        return !server.leaving && !search.out_of_service.contains(server.data_centre);
    };
    return static_cast<std::size_t>(
        std::count_if(service.servers.begin(), service.servers.end(), is_usable));
}

void check_data_centres(problem_search& search)
{
    std::unordered_set<std::string> used;
    for (const service& service : search.config.services)
    {
        for (const backend_server& server : service.servers)
        {
            used.insert(server.data_centre);
        }
    }
    for (const data_centre& entry : search.config.data_centres)
    {
        if (search.lists_servers && !used.contains(entry.name))
        {
            add(search, finding_kind::unused, "data centre", entry.name, "no server is in it");
        }
    }
}

void check_regions(problem_search& search)
{
    for (const region& entry : search.config.regions)
    {
        const bool used =
            std::any_of(search.config.data_centres.begin(), search.config.data_centres.end(),
                        [&](const data_centre& centre) { return centre.region == entry.name; });
        if (!used)
        {
            add(search, finding_kind::unused, "region", entry.name,
                "no data centre is in it, and its weight takes a share of the accounts' rates");
        }
    }
}

void check_accounts(problem_search& search)
{
    for (const account& entry : search.config.accounts)
    {
        if (entry.keys.empty())
        {
            add(search, finding_kind::unused, "account", entry.name, "it has no key");
        }
        const double refill_seconds = entry.rate > 0.0 ? entry.burst / entry.rate : 0.0;
        if (refill_seconds > core::to_seconds(max_refill_time))
        {
            add(search, finding_kind::contradiction, "account", entry.name,
                fmt::format("a burst of {} takes {:.0f} s to save up at a rate of {}", entry.burst,
                            refill_seconds, entry.rate));
        }
    }
}

void check_services(problem_search& search)
{
    std::unordered_set<std::string> used;
    for (const route& route : search.config.routes)
    {
        for (const std::string& name : targets_of(route))
        {
            used.insert(name);
        }
    }
    for (const service& entry : search.config.services)
    {
        if (!used.contains(entry.name))
        {
            add(search, finding_kind::unused, "service", entry.name, "no route leads to it");
        }
        if (entry.max_connections < entry.slots)
        {
            add(search, finding_kind::contradiction, "service", entry.name,
                fmt::format("{} connections cannot fill {} slots", entry.max_connections,
                            entry.slots));
        }
        if (search.lists_servers && used.contains(entry.name) && usable_servers(search, entry) == 0)
        {
            add(search, finding_kind::contradiction, "service", entry.name,
                "routes lead to it, but none of its servers may get requests");
        }
    }
}

void check_split(problem_search& search, const route& route, const std::string& name)
{
    std::unordered_set<std::string> seen;
    for (const weighted_service& part : route.split)
    {
        if (!seen.insert(part.service).second)
        {
            add(search, finding_kind::contradiction, "route", name,
                fmt::format("its split names service {} twice", part.service));
        }
    }
}

void check_attempts(problem_search& search, const route& route, const std::string& name)
{
    for (const std::string& target : targets_of(route))
    {
        const auto found = search.services.find(target);
        const std::size_t servers =
            found == search.services.end() ? 0 : found->second->servers.size();
        if (servers > 0 && route.attempts > servers)
        {
            add(search, finding_kind::contradiction, "route", name,
                fmt::format("{} attempts exceed the {} servers of service {}", route.attempts,
                            servers, target));
        }
    }
}

void check_routes(problem_search& search)
{
    for (const route& entry : search.config.routes)
    {
        const std::string name = entry.host + entry.prefix;
        if (entry.objective > entry.timeout)
        {
            add(search, finding_kind::contradiction, "route", name,
                fmt::format("objective {:.0f} ms exceeds timeout {:.0f} ms",
                            core::to_milliseconds(entry.objective),
                            core::to_milliseconds(entry.timeout)));
        }
        check_split(search, entry, name);
        check_attempts(search, entry, name);
    }
}

} // namespace

std::vector<finding> find_problems(const configuration& config)
{
    problem_search search{.config = config};
    for (const service& entry : config.services)
    {
        search.services[entry.name] = &entry;
        search.lists_servers = search.lists_servers || !entry.servers.empty();
    }
    for (const data_centre& entry : config.data_centres)
    {
        if (!entry.in_service)
        {
            search.out_of_service.insert(entry.name);
        }
    }
    check_regions(search);
    check_data_centres(search);
    check_accounts(search);
    check_services(search);
    check_routes(search);
    return std::move(search.found);
}

std::string to_string(const finding& value)
{
    return fmt::format("{} {}: {}: {}", value.section, value.name, to_string(value.kind),
                       value.problem);
}

boost::json::array to_json(const std::vector<finding>& findings)
{
    boost::json::array out;
    for (const finding& value : findings)
    {
        out.push_back({{"kind", to_string(value.kind)},
                       {"section", value.section},
                       {"name", value.name},
                       {"problem", value.problem}});
    }
    return out;
}

} // namespace zinniaferry::config
