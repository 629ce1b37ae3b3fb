#include "chart/chart.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>

namespace zinniaferry::chart
{

namespace
{

namespace json = boost::json;

/// Reads parts of a chart; `file` is named in the errors.
struct chart_reader
{
    const std::string& file;

    boost::leaf::error_id fail(std::string path, std::string value, std::string expected) const
    {
        return boost::leaf::new_error(core::document_error{.file = file,
                                                           .path = std::move(path),
                                                           .value = std::move(value),
                                                           .expected = std::move(expected)});
    }

    core::result<std::vector<std::string>> read_names(const json::object& object,
                                                      const char* key) const
    {
        const json::value* list = object.if_contains(key);
        if (list == nullptr || !list->is_array())
        {
            return fail(std::string("$.") + key, list ? json::serialize(*list) : "nothing",
                        "an array of names");
        }
        std::vector<std::string> out;
        for (const json::value& entry : list->get_array())
        {
            const bool valid = entry.is_string() && !entry.get_string().empty();
            if (!valid || std::count(out.begin(), out.end(), entry.get_string().c_str()) > 0)
            {
                return fail(std::string("$.") + key, json::serialize(entry), "a unique name");
            }
            out.emplace_back(entry.get_string());
        }
        return out;
    }

    core::result<index> find_index(const std::vector<std::string>& list, const json::object& object,
                                   const char* key, const std::string& path) const
    {
        const json::value* name = object.if_contains(key);
        const auto found = name != nullptr && name->is_string()
                               ? std::find(list.begin(), list.end(), name->get_string().c_str())
                               : list.end();
        if (found == list.end())
        {
            return fail(path + "." + key, name ? json::serialize(*name) : "nothing",
                        "a name declared in the chart");
        }
        return static_cast<index>(found - list.begin());
    }
};

core::result<void> read_transition(const chart_reader& reader, state_chart& chart,
                                   const json::value& entry, const std::string& path)
{
    if (!entry.is_object())
    {
        return reader.fail(path, json::serialize(entry), "an object with from, on and to");
    }
    const json::object& object = entry.get_object();
    BOOST_LEAF_AUTO(from, reader.find_index(chart.states, object, "from", path));
    BOOST_LEAF_AUTO(on, reader.find_index(chart.events, object, "on", path));
    BOOST_LEAF_AUTO(to, reader.find_index(chart.states, object, "to", path));
    const std::size_t cell = from * chart.events.size() + on;
    if (chart.next[cell] != no_index)
    {
        return reader.fail(path, json::serialize(entry), "one transition per state and event");
    }
    chart.next[cell] = to;
    if (object.contains("do"))
    {
        BOOST_LEAF_AUTO(action, reader.find_index(chart.actions, object, "do", path));
        chart.action[cell] = action;
    }
    return {};
}

index find_index_or_abort(const std::vector<std::string>& list, std::string_view name,
                          const state_chart& chart)
{
    const auto found = std::find(list.begin(), list.end(), name);
    if (found == list.end())
    {
        std::fprintf(stderr,
                     "internal error: state chart %s declares no state, event or action %s\n",
                     chart.name.c_str(), std::string(name).c_str());
        std::abort();
    }
    return static_cast<index>(found - list.begin());
}

state_chart load_embedded(std::string_view name)
{
    for (const embedded_chart& entry : embedded_charts())
    {
        if (name == entry.name)
        {
            return boost::leaf::try_handle_all(
                [&] { return read_chart(entry.text, entry.name); },
                [](const core::document_error& error) -> state_chart
                {
                    std::fprintf(stderr, "internal error: embedded state chart is invalid: %s\n",
                                 core::to_string(error).c_str());
                    std::abort();
                },
                []() -> state_chart { std::abort(); });
        }
    }
    std::fprintf(stderr, "internal error: no embedded state chart %s\n", std::string(name).c_str());
    std::abort();
}

} // namespace

core::result<state_chart> read_chart(std::string_view text, const std::string& file)
{
    json::error_code error;
    const json::value document =
        json::parse(json::string_view(text.data(), text.size()), error, {},
                    {.allow_comments = true, .allow_trailing_commas = true});
    const chart_reader reader{file};
    if (error || !document.is_object())
    {
        return reader.fail("$", error ? error.message() : json::serialize(document),
                           "a JSON object");
    }
    const json::object& object = document.get_object();
    state_chart chart;
    chart.name = file;
    BOOST_LEAF_ASSIGN(chart.states, reader.read_names(object, "states"));
    BOOST_LEAF_ASSIGN(chart.events, reader.read_names(object, "events"));
    if (object.contains("actions"))
    {
        BOOST_LEAF_ASSIGN(chart.actions, reader.read_names(object, "actions"));
    }
    BOOST_LEAF_ASSIGN(chart.initial, reader.find_index(chart.states, object, "initial", "$"));
    chart.next.assign(chart.states.size() * chart.events.size(), no_index);
    chart.action.assign(chart.next.size(), no_index);
    const json::value* transitions = object.if_contains("transitions");
    if (transitions == nullptr || !transitions->is_array())
    {
        return reader.fail("$.transitions", "nothing", "an array of transitions");
    }
    std::size_t i = 0;
    for (const json::value& entry : transitions->get_array())
    {
        const std::string path = "$.transitions[" + std::to_string(i++) + "]";
        BOOST_LEAF_CHECK(read_transition(reader, chart, entry, path));
    }
    return chart;
}

const state_chart& get_chart(std::string_view name)
{
    static std::mutex mutex;
    static std::map<std::string, state_chart, std::less<>> charts;
    const std::lock_guard lock(mutex);
    auto found = charts.find(name);
    if (found == charts.end())
    {
        found = charts.emplace(std::string(name), load_embedded(name)).first;
    }
    return found->second;
}

step_result step(const state_chart& chart, index state, index event)
{
    const std::size_t cell = state * chart.events.size() + event;
    if (chart.next[cell] == no_index)
    {
        return {.state = state};
    }
    return {.state = chart.next[cell], .accepted = true, .action = chart.action[cell]};
}

index state_index(const state_chart& chart, std::string_view name)
{
    return find_index_or_abort(chart.states, name, chart);
}

index event_index(const state_chart& chart, std::string_view name)
{
    return find_index_or_abort(chart.events, name, chart);
}

index action_index(const state_chart& chart, std::string_view name)
{
    return find_index_or_abort(chart.actions, name, chart);
}

chart_binding bind_chart(std::string_view name, std::span<const char* const> states,
                         std::span<const char* const> events)
{
    chart_binding out;
    out.chart = &get_chart(name);
    for (const char* state : states)
    {
        out.state_indices.push_back(state_index(*out.chart, state));
    }
    for (const char* event : events)
    {
        out.event_indices.push_back(event_index(*out.chart, event));
    }
    return out;
}

std::optional<std::size_t> step(const chart_binding& binding, std::size_t state, std::size_t event)
{
    const step_result next =
        step(*binding.chart, binding.state_indices.at(state), binding.event_indices.at(event));
    const auto found =
        std::find(binding.state_indices.begin(), binding.state_indices.end(), next.state);
    if (!next.accepted || found == binding.state_indices.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - binding.state_indices.begin());
}

} // namespace zinniaferry::chart
