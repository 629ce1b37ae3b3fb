#include "config/reader.hpp"

#include "config/json_document.hpp"
#include "config/printer.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <memory>

namespace zinniaferry::config
{

namespace
{

namespace json = boost::json;
using field_name = std::string_view;
using name_set = std::unordered_set<std::string>;

constexpr std::array<field_name, 6> top_level_fields{"version",  "regions",  "data_centres",
                                                     "accounts", "services", "routes"};
constexpr std::array<field_name, 2> region_fields{"name", "weight"};
constexpr std::array<field_name, 3> data_centre_fields{"name", "region", "state"};
constexpr std::array<field_name, 4> account_fields{"name", "keys", "rate", "burst"};
constexpr std::array<field_name, 7> service_fields{
    "name", "slots", "max_connections", "health_path", "warmup_ms", "warmup_rate", "servers"};
constexpr std::array<field_name, 4> server_fields{"name", "data_centre", "address", "leaving"};
constexpr std::array<field_name, 10> route_fields{
    "host",       "prefix", "service",  "split",      "class",
    "idempotent", "open",   "attempts", "timeout_ms", "objective_ms"};
constexpr std::array<field_name, 2> split_fields{"service", "weight"};
constexpr std::array<section_fields, 8> sections{{{"configuration", top_level_fields},
                                                  {"regions", region_fields},
                                                  {"data_centres", data_centre_fields},
                                                  {"accounts", account_fields},
                                                  {"services", service_fields},
                                                  {"servers", server_fields},
                                                  {"routes", route_fields},
                                                  {"split", split_fields}}};

constexpr std::array<field_name, 2> state_names{"in", "out"};
constexpr std::array<field_name, 3> class_names{"order", "lookup", "browse"};

// The configuration read so far, and the names, keys, addresses and prefixes that entries must not
// repeat. References to regions, data centres and services must be to names that were read.
struct reader_state
{
    const std::string& file;
    configuration config;
    name_set regions;
    name_set data_centres;
    name_set accounts;
    name_set keys;
    name_set services;
    name_set servers;
    name_set addresses;
    name_set prefixes;
};

core::result<void> read_reference(const object_reader& reader, std::string_view member,
                                  const name_set& declared, const char* expected, std::string& out)
{
    BOOST_LEAF_CHECK(read_name(reader, member, presence::required, out));
    if (!declared.contains(out))
    {
        return field_error(reader, member, out, expected);
    }
    return {};
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, region& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, region_fields));
    BOOST_LEAF_CHECK(read_name(reader, "name", presence::required, out.name));
    BOOST_LEAF_CHECK(check_unique(reader, "name", state.regions, out.name, "a unique name"));
    return read_decimal(reader, "weight", presence::optional,
                        {.low = min_weight, .high = max_weight}, out.weight);
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, data_centre& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, data_centre_fields));
    BOOST_LEAF_CHECK(read_name(reader, "name", presence::required, out.name));
    BOOST_LEAF_CHECK(check_unique(reader, "name", state.data_centres, out.name, "a unique name"));
    BOOST_LEAF_CHECK(
        read_reference(reader, "region", state.regions, "a declared region", out.region));
    std::size_t position = out.in_service ? 0 : 1;
    BOOST_LEAF_CHECK(read_choice(reader, "state", presence::optional, state_names, position));
    out.in_service = position == 0;
    return {};
}

// Errors do not show the value, because an operator may have written the key itself instead of its
// digest.
core::result<void> read_key(const object_reader& account_reader, std::size_t i,
                            const json::value& value, reader_state& state, account& out)
{
    const json_location keys{.parent = &account_reader.location, .member = "keys"};
    const json_location location{.parent = &keys, .element = i};
    const object_reader key_reader{
        .file = account_reader.file, .location = location, .object = account_reader.object};
    const json::string* text = value.if_string();
    if (text == nullptr)
    {
        return field_error(key_reader, {}, "a value that is not a string", "a SHA-256 digest");
    }
    const auto key = core::digest_from_hex(std::string_view(text->data(), text->size()));
    if (!key)
    {
        return field_error(key_reader, {}, fmt::format("a string of {} bytes", text->size()),
                           "a SHA-256 digest of 64 hexadecimal digits");
    }
    BOOST_LEAF_CHECK(check_unique(key_reader, {}, state.keys, core::to_hex(*key), "a unique key"));
    out.keys.push_back(*key);
    return {};
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, account& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, account_fields));
    BOOST_LEAF_CHECK(read_name(reader, "name", presence::required, out.name));
    BOOST_LEAF_CHECK(check_unique(reader, "name", state.accounts, out.name, "a unique name"));
    BOOST_LEAF_AUTO(keys, read_list(reader, "keys", presence::required));
    if (keys->size() > max_keys_per_account)
    {
        return field_error(reader, "keys", fmt::format("{} keys", keys->size()),
                           fmt::format("at most {} keys", max_keys_per_account));
    }
    for (std::size_t i = 0; i < keys->size(); ++i)
    {
        BOOST_LEAF_CHECK(read_key(reader, i, (*keys)[i], state, out));
    }
    BOOST_LEAF_CHECK(read_decimal(reader, "rate", presence::required,
                                  {.low = min_rate, .high = max_rate}, out.rate));
    return read_decimal(reader, "burst", presence::required, {.low = min_burst, .high = max_burst},
                        out.burst);
}

// Server names are unique over all services, because a server is identified by its name alone.
core::result<void> read_entry(const object_reader& reader, reader_state& state, backend_server& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, server_fields));
    BOOST_LEAF_CHECK(read_name(reader, "name", presence::required, out.name));
    BOOST_LEAF_CHECK(check_unique(reader, "name", state.servers, out.name, "a unique name"));
    BOOST_LEAF_CHECK(read_reference(reader, "data_centre", state.data_centres,
                                    "a declared data centre", out.data_centre));
    BOOST_LEAF_CHECK(read_address(reader, "address", presence::required, false, out.address));
    BOOST_LEAF_CHECK(
        check_unique(reader, "address", state.addresses, out.address, "a unique address"));
    return read_bool(reader, "leaving", presence::optional, out.leaving);
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, service& out);
core::result<void> read_entry(const object_reader& reader, reader_state& state, route& out);

template <class Entry>
core::result<void> read_entries(const object_reader& reader, std::string_view member,
                                reader_state& state, std::vector<Entry>& out)
{
    BOOST_LEAF_AUTO(list, read_list(reader, member, presence::required));
    const json_location list_location{.parent = &reader.location, .member = member};
    out.reserve(list->size());
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        const json_location location{.parent = &list_location, .element = i};
        BOOST_LEAF_AUTO(object, as_object((*list)[i], reader.file, location));
        const object_reader entry{.file = reader.file, .location = location, .object = *object};
        BOOST_LEAF_CHECK(read_entry(entry, state, out.emplace_back()));
    }
    return {};
}

core::result<void> read_path(const object_reader& reader, std::string_view member, presence needed,
                             std::string& out)
{
    const std::string expected = fmt::format("a path of at most {} printable characters that "
                                             "starts with '/' and has none of ? # \" \\",
                                             max_prefix_length);
    const json::value* value = reader.object.if_contains(member);
    if (value == nullptr && needed == presence::optional)
    {
        return {};
    }
    const json::string* text = value == nullptr ? nullptr : value->if_string();
    const auto is_path_character = [](char c)
    {
        return c > ' ' && c <= '~' && c != '?' && c != '#' && c != '"' && c != '\\';
    };
    if (text == nullptr || text->size() > max_prefix_length || !text->starts_with('/') ||
        !std::all_of(text->begin(), text->end(), is_path_character))
    {
        return field_error(reader, member, value == nullptr ? "nothing" : truncated_json(*value),
                           expected);
    }
    out.assign(text->data(), text->size());
    return {};
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, service& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, service_fields));
    BOOST_LEAF_CHECK(read_name(reader, "name", presence::required, out.name));
    BOOST_LEAF_CHECK(check_unique(reader, "name", state.services, out.name, "a unique name"));
    constexpr number_bounds<std::uint32_t> slot_bounds{.low = 1, .high = max_slots};
    BOOST_LEAF_CHECK(read_integer(reader, "slots", presence::optional, slot_bounds, out.slots));
    constexpr number_bounds<std::uint32_t> connection_bounds{.low = 1,
                                                             .high = max_connections_limit};
    BOOST_LEAF_CHECK(read_integer(reader, "max_connections", presence::optional, connection_bounds,
                                  out.max_connections));
    BOOST_LEAF_CHECK(read_path(reader, "health_path", presence::optional, out.health_path));
    BOOST_LEAF_CHECK(read_milliseconds(reader, "warmup_ms", presence::optional,
                                       {.low = core::duration(0), .high = max_warmup}, out.warmup));
    BOOST_LEAF_CHECK(read_decimal(reader, "warmup_rate", presence::optional,
                                  {.low = min_rate, .high = max_rate}, out.warmup_rate));
    return read_entries(reader, "servers", state, out.servers);
}

// The host is compared with the Host header of requests in lower case and without its port.
core::result<void> read_host(const object_reader& reader, std::string& out)
{
    const json::value* value = reader.object.if_contains("host");
    if (value == nullptr)
    {
        return {};
    }
    const json::string* text = value->if_string();
    const auto is_host_character = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    };
    if (text == nullptr || text->empty() || text->size() > max_host_length ||
        !std::all_of(text->begin(), text->end(), is_host_character))
    {
        return field_error(reader, "host", truncated_json(*value),
                           "a lower-case host name without a port");
    }
    out.assign(text->data(), text->size());
    return {};
}

core::result<void> read_entry(const object_reader& reader, reader_state& state,
                              weighted_service& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, split_fields));
    BOOST_LEAF_CHECK(
        read_reference(reader, "service", state.services, "a declared service", out.service));
    return read_decimal(reader, "weight", presence::required,
                        {.low = min_weight, .high = max_weight}, out.weight);
}

// A route's requests go to one service, or are split between several.
core::result<void> read_target(const object_reader& reader, reader_state& state, route& out)
{
    if (!reader.object.contains("split"))
    {
        return read_reference(reader, "service", state.services, "a declared service", out.service);
    }
    if (reader.object.contains("service"))
    {
        return field_error(reader, "service", "both service and split", "either service or split");
    }
    BOOST_LEAF_CHECK(read_entries(reader, "split", state, out.split));
    if (out.split.empty())
    {
        return field_error(reader, "split", "an empty array", "at least one service");
    }
    return {};
}

core::result<void> read_entry(const object_reader& reader, reader_state& state, route& out)
{
    BOOST_LEAF_CHECK(reject_unknown_members(reader, route_fields));
    BOOST_LEAF_CHECK(read_host(reader, out.host));
    BOOST_LEAF_CHECK(read_path(reader, "prefix", presence::required, out.prefix));
    BOOST_LEAF_CHECK(check_unique(reader, "prefix", state.prefixes, out.host + out.prefix,
                                  "a prefix that is unique for the host"));
    BOOST_LEAF_CHECK(read_target(reader, state, out));
    std::size_t position = 0;
    BOOST_LEAF_CHECK(read_choice(reader, "class", presence::required, class_names, position));
    out.priority = static_cast<std::uint32_t>(position);
    BOOST_LEAF_CHECK(read_bool(reader, "idempotent", presence::optional, out.idempotent));
    BOOST_LEAF_CHECK(read_bool(reader, "open", presence::optional, out.open));
    BOOST_LEAF_CHECK(read_integer(reader, "attempts", presence::optional,
                                  number_bounds<std::uint32_t>{.low = 1, .high = max_attempts},
                                  out.attempts));
    BOOST_LEAF_CHECK(read_milliseconds(reader, "timeout_ms", presence::optional,
                                       {.low = min_timeout, .high = max_timeout}, out.timeout));
    return read_milliseconds(reader, "objective_ms", presence::optional,
                             {.low = min_timeout, .high = max_timeout}, out.objective);
}

core::result<void> read_version(const object_reader& reader, configuration& out)
{
    return read_integer(reader, "version", presence::required,
                        number_bounds<std::uint64_t>{.low = 1, .high = max_version}, out.version);
}

// Daemons send the canonical text to each other, so it must not exceed the limit either; it
// includes the defaults that the document omits. It is only formatted when it may be too large,
// because each daemon reads the configuration on each change.
core::result<void> check_canonical_size(const object_reader& reader, std::size_t text_size,
                                        const configuration& config)
{
    constexpr std::size_t max_entry_growth_bytes = 192; // Defaults of an entry or of the top level.
    const std::size_t entries = 2 + config.regions.size() + config.data_centres.size() +
                                config.accounts.size() + config.services.size() +
                                config.routes.size();
    // A server's entry grows by a line end only.
    std::size_t servers = 0;
    for (const service& owner : config.services)
    {
        servers += owner.servers.size();
    }
    if (text_size + servers + entries * max_entry_growth_bytes <= max_document_bytes)
    {
        return {};
    }
    const std::size_t size = canonical_text(config).size();
    if (size > max_document_bytes)
    {
        return field_error(reader, {}, fmt::format("{} bytes in canonical form", size),
                           fmt::format("at most {} bytes", max_document_bytes));
    }
    return {};
}

} // namespace

std::span<const section_fields> configuration_fields()
{
    return sections;
}

core::result<configuration> read_configuration(std::string_view text, const std::string& file)
{
    json::monotonic_resource arena;
    BOOST_LEAF_AUTO(document, parse_document(text, file, &arena));
    const json_location location{};
    BOOST_LEAF_AUTO(object, as_object(document, file, location));
    const object_reader reader{.file = file, .location = location, .object = *object};
    BOOST_LEAF_CHECK(reject_unknown_members(reader, top_level_fields));
    reader_state state{.file = file};
    constexpr std::size_t typical_server_bytes = 80; // Only a hint for the hash tables.
    state.servers.reserve(text.size() / typical_server_bytes);
    state.addresses.reserve(text.size() / typical_server_bytes);
    configuration& out = state.config;
    BOOST_LEAF_CHECK(read_version(reader, out));
    BOOST_LEAF_CHECK(read_entries(reader, "regions", state, out.regions));
    BOOST_LEAF_CHECK(read_entries(reader, "data_centres", state, out.data_centres));
    BOOST_LEAF_CHECK(read_entries(reader, "accounts", state, out.accounts));
    BOOST_LEAF_CHECK(read_entries(reader, "services", state, out.services));
    BOOST_LEAF_CHECK(read_entries(reader, "routes", state, out.routes));
    BOOST_LEAF_CHECK(check_canonical_size(reader, text.size(), out));
    return std::move(state.config);
}

} // namespace zinniaferry::config
