#include "load/mix.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

// Reads the fields of one JSON object and reports fields whose names are not known.
struct object_reader
{
    const std::string& file;
    std::string path; // JSON path of the object.
    const json::object& object;
    std::vector<std::string_view> known_keys;

    boost::leaf::error_id fail(const std::string& where, const json::value* value,
                               const char* expected) const
    {
        return boost::leaf::new_error(
            core::document_error{.file = file,
                                 .path = where,
                                 .value = value != nullptr ? json::serialize(*value) : "nothing",
                                 .expected = expected});
    }

    core::result<void> read(const char* key, std::string& out)
    {
        known_keys.emplace_back(key);
        const json::value* value = object.if_contains(key);
        if (value != nullptr && !value->is_string())
        {
            return fail(path + "." + key, value, "a string");
        }
        if (value != nullptr)
        {
            out = std::string(value->get_string());
        }
        return {};
    }

    core::result<void> read(const char* key, bool& out)
    {
        known_keys.emplace_back(key);
        const json::value* value = object.if_contains(key);
        if (value != nullptr && !value->is_bool())
        {
            return fail(path + "." + key, value, "true or false");
        }
        out = value != nullptr ? value->get_bool() : out;
        return {};
    }

    core::result<void> read(const char* key, double& out)
    {
        known_keys.emplace_back(key);
        const json::value* value = object.if_contains(key);
        if (value == nullptr)
        {
            return {};
        }
        json::error_code error;
        const double number = value->to_number<double>(error);
        if (error || !std::isfinite(number) || number < 0.0 || number > 1e9)
        {
            return fail(path + "." + key, value, "a number from 0 to 1e9");
        }
        out = number;
        return {};
    }

    core::result<void> reject_unknown_fields() const
    {
        for (const auto& field : object)
        {
            const std::string_view key(field.key().data(), field.key().size());
            if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end())
            {
                return fail(path + "." + std::string(key), &field.value(), "a known field");
            }
        }
        return {};
    }
};

core::result<account_load> read_account(object_reader reader)
{
    account_load account;
    double surge_start_s = 0.0;
    double surge_end_s = 0.0;
    BOOST_LEAF_CHECK(reader.read("name", account.name));
    BOOST_LEAF_CHECK(reader.read("key", account.account_key));
    BOOST_LEAF_CHECK(reader.read("rate", account.rate));
    BOOST_LEAF_CHECK(reader.read("surge_factor", account.surge_factor));
    BOOST_LEAF_CHECK(reader.read("surge_from_s", surge_start_s));
    BOOST_LEAF_CHECK(reader.read("surge_to_s", surge_end_s));
    BOOST_LEAF_CHECK(reader.reject_unknown_fields());
    account.surge_start = seconds(surge_start_s);
    account.surge_end = seconds(surge_end_s);
    return account;
}

core::result<route_load> read_route(object_reader reader)
{
    route_load route;
    double deadline_ms = -1.0;
    double timeout_ms = route.timeout.count();
    double body_bytes = 0.0;
    BOOST_LEAF_CHECK(reader.read("name", route.name));
    BOOST_LEAF_CHECK(reader.read("method", route.method));
    BOOST_LEAF_CHECK(reader.read("path", route.path));
    BOOST_LEAF_CHECK(reader.read("weight", route.weight));
    BOOST_LEAF_CHECK(reader.read("idempotent", route.idempotent));
    BOOST_LEAF_CHECK(reader.read("idempotency_key", route.send_idempotency_key));
    BOOST_LEAF_CHECK(reader.read("open", route.anonymous));
    BOOST_LEAF_CHECK(reader.read("deadline_ms", deadline_ms));
    BOOST_LEAF_CHECK(reader.read("timeout_ms", timeout_ms));
    BOOST_LEAF_CHECK(reader.read("body_bytes", body_bytes));
    BOOST_LEAF_CHECK(reader.reject_unknown_fields());
    if (!route.path.starts_with('/') || route.path.find('?') != std::string::npos)
    {
        return reader.fail(reader.path + ".path", reader.object.if_contains("path"),
                           "a path that starts with / and has no query");
    }
    if (deadline_ms >= 0.0)
    {
        route.deadline = milliseconds(deadline_ms);
    }
    route.timeout = milliseconds(timeout_ms);
    route.body_bytes = static_cast<std::size_t>(body_bytes);
    route.name = route.name.empty() ? route.path : route.name;
    return route;
}

template <class Entry, class Read>
core::result<std::vector<Entry>> read_list(object_reader& reader, const char* key, Read read)
{
    reader.known_keys.emplace_back(key);
    const std::string path = std::string("$.") + key;
    const json::value* list = reader.object.if_contains(key);
    if (list == nullptr || !list->is_array() || list->get_array().empty())
    {
        return reader.fail(path, list, "an array with at least one entry");
    }
    std::vector<Entry> entries;
    for (const json::value& value : list->get_array())
    {
        const std::string where = path + "[" + std::to_string(entries.size()) + "]";
        if (!value.is_object())
        {
            return reader.fail(where, &value, "an object");
        }
        BOOST_LEAF_AUTO(entry, read(object_reader{reader.file, where, value.get_object(), {}}));
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace

core::result<traffic_mix> read_mix(std::string_view text, const std::string& file)
{
    json::error_code error;
    const json::value document =
        json::parse(json::string_view(text.data(), text.size()), error, {},
                    {.allow_comments = true, .allow_trailing_commas = true});
    if (error || !document.is_object())
    {
        return boost::leaf::new_error(
            core::document_error{.file = file,
                                 .path = "$",
                                 .value = error ? error.message() : json::serialize(document),
                                 .expected = "a JSON object with accounts and routes"});
    }
    object_reader reader{file, "$", document.get_object(), {}};
    traffic_mix mix;
    BOOST_LEAF_ASSIGN(mix.accounts, read_list<account_load>(reader, "accounts", read_account));
    BOOST_LEAF_ASSIGN(mix.routes, read_list<route_load>(reader, "routes", read_route));
    BOOST_LEAF_CHECK(reader.reject_unknown_fields());
    const auto sends_requests = [](const account_load& entry)
    {
        return entry.rate > 0.0;
    };
    if (std::none_of(mix.accounts.begin(), mix.accounts.end(), sends_requests))
    {
        return reader.fail("$.accounts", nullptr, "at least one account with a rate above 0");
    }
    const auto can_be_selected = [](const route_load& entry)
    {
        return entry.weight > 0.0;
    };
    if (std::none_of(mix.routes.begin(), mix.routes.end(), can_be_selected))
    {
        return reader.fail("$.routes", nullptr, "at least one route with a weight above 0");
    }
    return mix;
}

void scale_rates(traffic_mix& mix, double total_rate)
{
    double sum = 0.0;
    for (const account_load& entry : mix.accounts)
    {
        sum += entry.rate;
    }
    for (account_load& entry : mix.accounts)
    {
        entry.rate *= total_rate / sum;
    }
}

} // namespace zinniaferry::load
