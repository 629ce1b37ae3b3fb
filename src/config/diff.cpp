#include "config/diff.hpp"

#include "config/printer.hpp"

#include <spdlog/fmt/fmt.h>

#include <boost/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace zinniaferry::config
{

namespace
{

struct field
{
    const char* name;
    std::string value;
};

using fields = std::vector<field>;

/// The fields of an entry of any section, as text. Keys are separate, because they form a set.
struct entry_description
{
    std::string name;
    fields values;
    std::vector<std::string> keys;
};

std::string milliseconds_text(core::duration d)
{
    return fmt::format("{} ms", std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

// Enough digits to distinguish keys; the configuration has the whole digest.
std::string short_digest(const core::digest& key)
{
    constexpr std::size_t shown_digits = 12;
    return core::to_hex(key).substr(0, shown_digits);
}

std::string bool_text(bool value)
{
    return value ? "true" : "false";
}

entry_description describe(const configuration& config)
{
    return {.name = "", .values = {{"version", std::to_string(config.version)}}};
}

entry_description describe(const region& value)
{
    return {.name = value.name, .values = {{"weight", fmt::format("{}", value.weight)}}};
}

entry_description describe(const data_centre& value)
{
    return {.name = value.name,
            .values = {{"region", value.region}, {"state", value.in_service ? "in" : "out"}}};
}

entry_description describe(const account& value)
{
    entry_description out{.name = value.name,
                          .values = {{"rate", fmt::format("{}", value.rate)},
                                     {"burst", fmt::format("{}", value.burst)}}};
    for (const core::digest& key : value.keys)
    {
        out.keys.push_back(short_digest(key));
    }
    return out;
}

entry_description describe(const service& value)
{
    return {.name = value.name,
            .values = {{"slots", std::to_string(value.slots)},
                       {"max_connections", std::to_string(value.max_connections)},
                       {"health_path", value.health_path},
                       {"warmup", milliseconds_text(value.warmup)},
                       {"warmup_rate", fmt::format("{}", value.warmup_rate)}}};
}

std::string describe_split(const std::vector<weighted_service>& split)
{
    std::string out;
    for (const weighted_service& part : split)
    {
        out += fmt::format("{}{}:{}", out.empty() ? "" : "+", part.service, part.weight);
    }
    return out;
}

entry_description describe(const route& value)
{
    return {.name = value.host + value.prefix,
            .values = {{"host", value.host},
                       {"service", value.service},
                       {"split", describe_split(value.split)},
                       {"class", std::string(route_class_name(value.priority))},
                       {"idempotent", bool_text(value.idempotent)},
                       {"open", bool_text(value.open)},
                       {"attempts", std::to_string(value.attempts)},
                       {"timeout", milliseconds_text(value.timeout)},
                       {"objective", milliseconds_text(value.objective)}}};
}

template <class Entry>
std::vector<entry_description> describe_all(const std::vector<Entry>& entries)
{
    std::vector<entry_description> out;
    out.reserve(entries.size());
    for (const Entry& entry : entries)
    {
        out.push_back(describe(entry));
    }
    return out;
}

// Server names are unique over all services, so a server that moves to another service is reported
// as one change.
std::vector<entry_description> describe_servers(const configuration& config)
{
    std::vector<entry_description> out;
    for (const service& owner : config.services)
    {
        for (const backend_server& server : owner.servers)
        {
            out.push_back({.name = server.name,
                           .values = {{"service", owner.name},
                                      {"data_centre", server.data_centre},
                                      {"address", server.address},
                                      {"leaving", bool_text(server.leaving)}}});
        }
    }
    return out;
}

void compare_keys(const char* section, const entry_description& before,
                  const entry_description& after, std::vector<change>& out)
{
    const auto has = [](const std::vector<std::string>& list, const std::string& key)
    {
        return std::find(list.begin(), list.end(), key) != list.end();
    };
    for (const std::string& key : before.keys)
    {
        if (!has(after.keys, key))
        {
            out.push_back({.kind = change_kind::removed,
                           .section = section,
                           .name = before.name,
                           .field = "key",
                           .before = key});
        }
    }
    for (const std::string& key : after.keys)
    {
        if (!has(before.keys, key))
        {
            out.push_back({.kind = change_kind::added,
                           .section = section,
                           .name = before.name,
                           .field = "key",
                           .after = key});
        }
    }
}

void compare(const char* section, const entry_description& before, const entry_description& after,
             std::vector<change>& out)
{
    for (std::size_t i = 0; i < before.values.size(); ++i)
    {
        if (before.values[i].value != after.values[i].value)
        {
            out.push_back({.kind = change_kind::changed,
                           .section = section,
                           .name = before.name,
                           .field = before.values[i].name,
                           .before = before.values[i].value,
                           .after = after.values[i].value});
        }
    }
    compare_keys(section, before, after, out);
}

std::string summary(const entry_description& entry)
{
    std::string out;
    for (const field& entry_field : entry.values)
    {
        out += fmt::format("{}{} {}", out.empty() ? "" : ", ", entry_field.name, entry_field.value);
    }
    return out;
}

void compare(const char* section, const std::vector<entry_description>& before,
             const std::vector<entry_description>& after, std::vector<change>& out)
{
    std::unordered_map<std::string, const entry_description*> unmatched;
    for (const entry_description& entry : after)
    {
        unmatched.emplace(entry.name, &entry);
    }
    for (const entry_description& entry : before)
    {
        const auto found = unmatched.find(entry.name);
        if (found == unmatched.end())
        {
            out.push_back({.kind = change_kind::removed,
                           .section = section,
                           .name = entry.name,
                           .before = summary(entry)});
            continue;
        }
        compare(section, entry, *found->second, out);
        unmatched.erase(found);
    }
    for (const entry_description& entry : after)
    {
        if (unmatched.contains(entry.name))
        {
            out.push_back({.kind = change_kind::added,
                           .section = section,
                           .name = entry.name,
                           .after = summary(entry)});
        }
    }
}

const char* to_string(change_kind kind)
{
    switch (kind)
    {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        return "changed";
    }
    return "unknown";
}

} // namespace

std::vector<change> diff(const configuration& before, const configuration& after)
{
    std::vector<change> out;
    compare("configuration", describe(before), describe(after), out);
    compare("region", describe_all(before.regions), describe_all(after.regions), out);
    compare("data centre", describe_all(before.data_centres), describe_all(after.data_centres),
            out);
    compare("account", describe_all(before.accounts), describe_all(after.accounts), out);
    compare("service", describe_all(before.services), describe_all(after.services), out);
    compare("server", describe_servers(before), describe_servers(after), out);
    compare("route", describe_all(before.routes), describe_all(after.routes), out);
    return out;
}

std::string to_string(const change& value)
{
    const std::string subject =
        value.name.empty() ? value.section : fmt::format("{} {}", value.section, value.name);
    const std::string& text = value.kind == change_kind::added ? value.after : value.before;
    if (value.kind == change_kind::changed)
    {
        return fmt::format("{}: {} {} -> {}", subject, value.field, value.before, value.after);
    }
    if (value.field.empty())
    {
        return fmt::format("{}: {} ({})", subject, to_string(value.kind), text);
    }
    return fmt::format("{}: {} {} {}", subject, value.field, text, to_string(value.kind));
}

boost::json::array to_json(const std::vector<change>& changes)
{
    boost::json::array out;
    for (const change& item : changes)
    {
        out.push_back(boost::json::object{{"kind", to_string(item.kind)},
                                          {"section", item.section},
                                          {"name", item.name},
                                          {"field", item.field},
                                          {"before", item.before},
                                          {"after", item.after}});
    }
    return out;
}

} // namespace zinniaferry::config
