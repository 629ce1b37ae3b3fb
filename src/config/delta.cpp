#include "config/delta.hpp"

#include "config/json_document.hpp"
#include "core/digest.hpp"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

namespace zinniaferry::config
{

namespace
{

namespace json = boost::json;
using reason = delta_error::reason;

constexpr std::array<std::string_view, 5> section_names{"regions", "data_centres", "accounts",
                                                        "services", "routes"};
constexpr std::string_view label = "delta"; ///< Stands for a file name in messages.

struct entry
{
    std::string_view name; ///< The name, or the prefix of a route.
    std::string_view text;
};

using entries = std::vector<entry>;

/// A canonical text cut into its parts. All views point into the text.
struct parts
{
    std::string_view head; ///< The lines before the first section.
    std::array<entries, section_names.size()> sections;
};

boost::leaf::error_id fail(reason why, std::string_view detail)
{
    constexpr std::size_t max_detail = 60;
    return boost::leaf::new_error(
        delta_error{.why = why, .detail = std::string(detail.substr(0, max_detail))});
}

/// Walks over the lines of a canonical text.
struct line_cursor
{
    std::string_view text;
    std::size_t at = 0;
};

std::string_view peek_line(const line_cursor& cursor)
{
    const std::size_t end = cursor.text.find('\n', cursor.at);
    return cursor.text.substr(cursor.at, end == std::string_view::npos ? end : end - cursor.at);
}

std::string_view next_line(line_cursor& cursor)
{
    const std::string_view line = peek_line(cursor);
    cursor.at = std::min(cursor.text.size(), cursor.at + line.size() + 1);
    return line;
}

// An entry starts with its name. The reader admits no character in a name that JSON escapes.
std::string_view name_of(std::string_view text)
{
    for (const std::string_view start : {R"({"name":")", R"({"prefix":")"})
    {
        if (text.starts_with(start))
        {
            const std::size_t end = text.find('"', start.size());
            return end == std::string_view::npos ? std::string_view()
                                                 : text.substr(start.size(), end - start.size());
        }
    }
    return {};
}

// An entry is one line, or a service with the lines of its servers.
std::string_view next_entry(line_cursor& cursor)
{
    const std::size_t start = cursor.at;
    std::string_view line = next_line(cursor);
    if (line.ends_with('['))
    {
        while (!line.empty() && !line.starts_with(']'))
        {
            line = next_line(cursor);
        }
    }
    std::string_view text = cursor.text.substr(start, cursor.at - start);
    for (const char closing : {'\n', ','})
    {
        if (text.ends_with(closing))
        {
            text.remove_suffix(1);
        }
    }
    return text;
}

core::result<void> split_section(line_cursor& cursor, std::string_view name, entries& out)
{
    const std::string_view opening = next_line(cursor);
    const std::string start = fmt::format("\"{}\":[", name);
    if (!opening.starts_with(start))
    {
        return fail(reason::not_canonical, opening);
    }
    if (opening.size() > start.size())
    {
        return {}; // An empty section is one line.
    }
    while (!peek_line(cursor).starts_with(']'))
    {
        const std::string_view text = next_entry(cursor);
        const std::string_view entry_name = name_of(text);
        if (entry_name.empty())
        {
            return fail(reason::not_canonical, text);
        }
        out.push_back({.name = entry_name, .text = text});
    }
    next_line(cursor);
    return {};
}

void append_section(std::string& out, std::string_view name, const entries& list)
{
    out += fmt::format("\"{}\":[", name);
    const char* separator = "\n";
    for (const entry& one : list)
    {
        out += separator;
        out += one.text;
        separator = ",\n";
    }
    out += list.empty() ? "]" : "\n]";
}

std::string join(const parts& value)
{
    std::string out(value.head);
    for (std::size_t i = 0; i < section_names.size(); ++i)
    {
        append_section(out, section_names[i], value.sections[i]);
        out += i + 1 < section_names.size() ? ",\n" : "\n}\n";
    }
    return out;
}

core::result<parts> split(std::string_view text)
{
    parts out;
    const std::size_t head = text.find("\n\"regions\":");
    if (head == std::string_view::npos)
    {
        return fail(reason::not_canonical, text);
    }
    out.head = text.substr(0, head + 1);
    line_cursor cursor{.text = text, .at = head + 1};
    for (std::size_t i = 0; i < section_names.size(); ++i)
    {
        BOOST_LEAF_CHECK(split_section(cursor, section_names[i], out.sections[i]));
    }
    if (next_line(cursor) != "}" || cursor.at != text.size())
    {
        return fail(reason::not_canonical, "text after the last section");
    }
    return out;
}

std::string_view version_line(std::string_view head)
{
    line_cursor cursor{.text = head};
    next_line(cursor);
    return next_line(cursor);
}

using by_name = std::unordered_map<std::string_view, std::string_view>;

by_name index_of(const entries& list)
{
    by_name out;
    out.reserve(list.size());
    for (const entry& one : list)
    {
        out.emplace(one.name, one.text);
    }
    return out;
}

/// The changes of one section. The views point into the delta or into the two texts.
struct section_delta
{
    by_name changed;                                    ///< Text by name.
    std::unordered_map<std::string_view, entry> added;  ///< By the name of the entry before.
    std::unordered_map<std::string_view, bool> removed; ///< By name; true once it was found.
    std::vector<std::string_view> order;                ///< Empty when it follows from the rest.
};

entries merge(const entries& base, section_delta& delta)
{
    entries out;
    out.reserve(base.size() + delta.added.size());
    const auto add_after = [&](std::string_view name)
    {
        for (auto next = delta.added.find(name); next != delta.added.end();
             next = delta.added.find(out.back().name))
        {
            out.push_back(next->second);
            delta.added.erase(next);
        }
    };
    add_after({});
    for (const entry& one : base)
    {
        if (const auto removed = delta.removed.find(one.name); removed != delta.removed.end())
        {
            removed->second = true;
            continue;
        }
        const auto changed = delta.changed.find(one.name);
        out.push_back({.name = one.name,
                       .text = changed == delta.changed.end() ? one.text : changed->second});
        add_after(one.name);
    }
    return out;
}

bool has_order(const entries& list, const entries& other)
{
    return std::equal(list.begin(), list.end(), other.begin(), other.end(),
                      [](const entry& a, const entry& b) { return a.name == b.name; });
}

json::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

json::object describe(const entries& base, const entries& target)
{
    const by_name old_texts = index_of(base);
    const by_name new_texts = index_of(target);
    section_delta delta;
    json::array put;
    json::array removed;
    json::array order;
    std::string_view before;
    for (const entry& one : target)
    {
        const auto old = old_texts.find(one.name);
        if (old == old_texts.end())
        {
            delta.added.emplace(before, one);
            put.push_back(json::object{{"after", view(before)}, {"entry", view(one.text)}});
        }
        else if (old->second != one.text)
        {
            put.push_back(json::object{{"entry", view(one.text)}});
        }
        before = one.name;
    }
    for (const entry& one : base)
    {
        if (!new_texts.contains(one.name))
        {
            delta.removed.emplace(one.name, false);
            removed.push_back(json::value(view(one.name)));
        }
    }
    if (!has_order(merge(base, delta), target))
    {
        for (const entry& one : target)
        {
            order.push_back(json::value(view(one.name)));
        }
    }
    json::object out;
    for (const auto& [name, list] :
         {std::pair("put", &put), std::pair("remove", &removed), std::pair("order", &order)})
    {
        if (!list->empty())
        {
            out[name] = std::move(*list);
        }
    }
    return out;
}

std::optional<std::string_view> text_of(const json::value* value)
{
    const json::string* text = value == nullptr ? nullptr : value->if_string();
    if (text == nullptr)
    {
        return std::nullopt;
    }
    return std::string_view(text->data(), text->size());
}

// Adds one element of "put", "remove" or "order"; false when it is malformed or there twice.
bool read_element(std::string_view list, const json::value& element, section_delta& out)
{
    if (list != "put")
    {
        const auto name = text_of(&element);
        if (name && list == "order")
        {
            out.order.push_back(*name);
        }
        return name && (list == "order" || out.removed.emplace(*name, false).second);
    }
    const json::object* object = element.if_object();
    const auto text = object == nullptr ? std::nullopt : text_of(object->if_contains("entry"));
    if (!text || name_of(*text).empty())
    {
        return false;
    }
    const auto after = text_of(object->if_contains("after"));
    return after ? out.added.emplace(*after, entry{.name = name_of(*text), .text = *text}).second
                 : out.changed.emplace(name_of(*text), *text).second;
}

core::result<section_delta> read_section(const json::value& value)
{
    section_delta out;
    const json::object* object = value.if_object();
    if (object == nullptr)
    {
        return fail(reason::malformed, shortened(value));
    }
    for (const std::string_view list : {"put", "remove", "order"})
    {
        const json::value* elements = object->if_contains(view(list));
        if (elements == nullptr)
        {
            continue;
        }
        if (!elements->is_array())
        {
            return fail(reason::malformed, list);
        }
        for (const json::value& element : elements->get_array())
        {
            if (!read_element(list, element, out))
            {
                return fail(reason::malformed, shortened(element));
            }
        }
    }
    return out;
}

core::result<void> put_in_order(const std::vector<std::string_view>& order, entries& list)
{
    by_name texts = index_of(list);
    if (texts.size() != order.size() || list.size() != order.size())
    {
        return fail(reason::malformed, "an order that does not name every entry once");
    }
    list.clear();
    for (const std::string_view name : order)
    {
        const auto found = texts.find(name);
        if (found == texts.end())
        {
            return fail(reason::unknown_entry, name);
        }
        list.push_back({.name = found->first, .text = found->second});
        texts.erase(found);
    }
    return {};
}

core::result<void> apply_section(const json::value& value, entries& list)
{
    BOOST_LEAF_AUTO(delta, read_section(value));
    const by_name known = index_of(list);
    for (const auto& [name, text] : delta.changed)
    {
        if (!known.contains(name))
        {
            return fail(reason::unknown_entry, name);
        }
    }
    list = merge(list, delta);
    for (const auto& [name, found] : delta.removed)
    {
        if (!found)
        {
            return fail(reason::unknown_entry, name);
        }
    }
    if (!delta.added.empty())
    {
        return fail(reason::unknown_entry, delta.added.begin()->first);
    }
    return delta.order.empty() ? core::result<void>() : put_in_order(delta.order, list);
}

} // namespace

std::string to_string(const delta_error& error)
{
    static constexpr const char* names[] = {
        "text is not canonical", "delta is malformed", "delta starts from another version",
        "delta names an unknown entry", "result is not the text that the delta was made for"};
    return fmt::format("{}: {}", names[static_cast<int>(error.why)], error.detail);
}

core::result<std::string> make_delta(std::string_view base, std::string_view target)
{
    BOOST_LEAF_AUTO(from, split(base));
    BOOST_LEAF_AUTO(to, split(target));
    json::object out;
    out["base"] = view(version_line(from.head));
    out["digest"] = core::to_hex(core::sha256(target));
    if (from.head != to.head)
    {
        out["head"] = view(to.head);
    }
    for (std::size_t i = 0; i < section_names.size(); ++i)
    {
        json::object changes = describe(from.sections[i], to.sections[i]);
        if (!changes.empty())
        {
            out[view(section_names[i])] = std::move(changes);
        }
    }
    return json::serialize(out);
}

core::result<std::string> apply_delta(std::string_view base, std::string_view delta)
{
    const std::string file(label);
    BOOST_LEAF_AUTO(document, parse_document(delta, file));
    const json::object* object = document.if_object();
    const auto version = object == nullptr ? std::nullopt : text_of(object->if_contains("base"));
    const auto digest = object == nullptr ? std::nullopt : text_of(object->if_contains("digest"));
    if (!version || !digest)
    {
        return fail(reason::malformed, "no base or no digest");
    }
    BOOST_LEAF_AUTO(result, split(base));
    if (version_line(result.head) != *version)
    {
        return fail(reason::wrong_base, *version);
    }
    if (const auto head = text_of(object->if_contains("head")))
    {
        result.head = *head;
    }
    for (std::size_t i = 0; i < section_names.size(); ++i)
    {
        if (const json::value* section = object->if_contains(view(section_names[i])))
        {
            BOOST_LEAF_CHECK(apply_section(*section, result.sections[i]));
        }
    }
    std::string text = join(result);
    if (core::to_hex(core::sha256(text)) != *digest)
    {
        return fail(reason::wrong_digest, *digest);
    }
    return text;
}

} // namespace zinniaferry::config
