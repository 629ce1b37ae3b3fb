#include "load/mix.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace zinniaferry::load
{

namespace
{

namespace json = boost::json;

// Reads the fields of one object and reports those that nobody asked for.
struct object_reader
{
    const std::string& file;
    std::string path;
    const json::object& object;
    std::vector<std::string_view> known;

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
        known.emplace_back(key);
        const json::value* value = object.if_contains(key);
        if (value != nullptr && !value->is_string())
        {
            return fail(path + "." + key, value, "a text");
        }
        if (value != nullptr)
        {
            out = std::string(value->get_string());
        }
        return {};
    }

    core::result<void> read(const char* key, bool& out)
    {
        known.emplace_back(key);
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
        known.emplace_back(key);
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

    core::result<void> refuse_unknown() const
    {
        for (const auto& field : object)
        {
            const std::string_view key(field.key().data(), field.key().size());
            if (std::find(known.begin(), known.end(), key) == known.end())
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
    double from = 0.0;
    double to = 0.0;
    BOOST_LEAF_CHECK(reader.read("name", account.name));
    BOOST_LEAF_CHECK(reader.read("key", account.key));
    BOOST_LEAF_CHECK(reader.read("rate", account.rate));
    BOOST_LEAF_CHECK(reader.read("surge_factor", account.surge_factor));
    BOOST_LEAF_CHECK(reader.read("surge_from_s", from));
    BOOST_LEAF_CHECK(reader.read("surge_to_s", to));
    BOOST_LEAF_CHECK(reader.refuse_unknown());
    account.surge_from = seconds(from);
    account.surge_to = seconds(to);
    return account;
}

core::result<route_load> read_route(object_reader reader)
{
    route_load route;
    double deadline = -1.0;
    double timeout = route.timeout.count();
    double body_bytes = 0.0;
    BOOST_LEAF_CHECK(reader.read("name", route.name));
    BOOST_LEAF_CHECK(reader.read("method", route.method));
    BOOST_LEAF_CHECK(reader.read("path", route.path));
    BOOST_LEAF_CHECK(reader.read("weight", route.weight));
    BOOST_LEAF_CHECK(reader.read("idempotent", route.idempotent));
    BOOST_LEAF_CHECK(reader.read("idempotency_key", route.idempotency_key));
    BOOST_LEAF_CHECK(reader.read("open", route.open));
    BOOST_LEAF_CHECK(reader.read("deadline_ms", deadline));
    BOOST_LEAF_CHECK(reader.read("timeout_ms", timeout));
    BOOST_LEAF_CHECK(reader.read("body_bytes", body_bytes));
    BOOST_LEAF_CHECK(reader.refuse_unknown());
    if (!route.path.starts_with('/') || route.path.find('?') != std::string::npos)
    {
        return reader.fail(reader.path + ".path", reader.object.if_contains("path"),
                           "a path that starts with / and has no query");
    }
    if (deadline >= 0.0)
    {
        route.deadline = milliseconds(deadline);
    }
    route.timeout = milliseconds(timeout);
    route.body_bytes = static_cast<std::size_t>(body_bytes);
    route.name = route.name.empty() ? route.path : route.name;
    return route;
}

template <class Entry, class Read>
core::result<std::vector<Entry>> read_list(object_reader& reader, const char* key, Read read)
{
    reader.known.emplace_back(key);
    const std::string path = std::string("$.") + key;
    const json::value* list = reader.object.if_contains(key);
    if (list == nullptr || !list->is_array() || list->get_array().empty())
    {
        return reader.fail(path, list, "a list with at least one entry");
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

core::result<mix> read_mix(std::string_view text, const std::string& file)
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
    mix loads;
    BOOST_LEAF_ASSIGN(loads.accounts, read_list<account_load>(reader, "accounts", read_account));
    BOOST_LEAF_ASSIGN(loads.routes, read_list<route_load>(reader, "routes", read_route));
    BOOST_LEAF_CHECK(reader.refuse_unknown());
    const auto has_rate = [](const account_load& entry)
    {
        return entry.rate > 0.0;
    };
    if (std::none_of(loads.accounts.begin(), loads.accounts.end(), has_rate))
    {
        return reader.fail("$.accounts", nullptr, "an account with a rate above 0");
    }
    const auto has_weight = [](const route_load& entry)
    {
        return entry.weight > 0.0;
    };
    if (std::none_of(loads.routes.begin(), loads.routes.end(), has_weight))
    {
        return reader.fail("$.routes", nullptr, "a route with a weight above 0");
    }
    return loads;
}

void scale_rates(mix& loads, double total)
{
    double sum = 0.0;
    for (const account_load& entry : loads.accounts)
    {
        sum += entry.rate;
    }
    for (account_load& entry : loads.accounts)
    {
        entry.rate *= total / sum;
    }
}

} // namespace zinniaferry::load
