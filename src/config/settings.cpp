#include "config/settings.hpp"

#include "config/address.hpp"
#include "config/json_document.hpp"

#include <array>

namespace zinniaferry::config
{

namespace
{

constexpr std::array<std::string_view, 12> field_names{
    "vm",       "data_centre", "region",           "listen",     "admin_listen", "peer_listen",
    "platform", "seeds",       "admin_credential", "log_format", "log_sink",     "stop_grace_ms"};

constexpr std::array<std::string_view, 2> format_names{"text", "json"};
constexpr std::array<std::string_view, 2> sink_names{"stdout", "syslog"};

template <class Enum>
core::result<void> read_enum(const object_reader& reader, std::string_view member,
                             std::span<const std::string_view> names, Enum& out)
{
    std::size_t position = static_cast<std::size_t>(out);
    BOOST_LEAF_CHECK(read_choice(reader, member, presence::optional, names, position));
    out = static_cast<Enum>(position);
    return {};
}

core::result<void> read_addresses(const object_reader& reader, settings& out)
{
    BOOST_LEAF_CHECK(read_address(reader, "listen", presence::required, true, out.listen));
    BOOST_LEAF_CHECK(
        read_address(reader, "admin_listen", presence::required, true, out.admin_listen));
    BOOST_LEAF_CHECK(
        read_address(reader, "peer_listen", presence::required, true, out.peer_listen));
    BOOST_LEAF_CHECK(read_address(reader, "platform", presence::required, false, out.platform));
    std::unordered_set<std::string> seen;
    for (const auto& [member, address] :
         {std::pair("listen", &out.listen), std::pair("admin_listen", &out.admin_listen),
          std::pair("peer_listen", &out.peer_listen)})
    {
        if (parse_address(*address)->port != 0)
        {
            BOOST_LEAF_CHECK(check_unique(reader, member, seen, *address,
                                          "an address that no other listener has"));
        }
    }
    return {};
}

core::result<void> read_seeds(const object_reader& reader, settings& out)
{
    BOOST_LEAF_AUTO(list, read_list(reader, "seeds", presence::optional));
    if (list == nullptr)
    {
        return {};
    }
    if (list->size() > max_seeds)
    {
        return field_error(reader, "seeds", std::to_string(list->size()) + " addresses",
                           "at most " + std::to_string(max_seeds) + " addresses");
    }
    for (const boost::json::value& entry : *list)
    {
        const boost::json::string* text = entry.if_string();
        const auto parsed = text == nullptr ? std::nullopt : parse_address(*text);
        if (!parsed || parsed->port == 0)
        {
            return field_error(reader, "seeds", truncated_json(entry), "an IP address and a port");
        }
        out.seeds.emplace_back(text->data(), text->size());
    }
    return {};
}

} // namespace

std::span<const std::string_view> settings_fields()
{
    return field_names;
}

core::result<settings> read_settings(std::string_view text, const std::string& file)
{
    BOOST_LEAF_AUTO(document, parse_document(text, file));
    const json_location location{};
    BOOST_LEAF_AUTO(object, as_object(document, file, location));
    const object_reader reader{.file = file, .location = location, .object = *object};
    BOOST_LEAF_CHECK(reject_unknown_members(reader, field_names));
    settings out;
    BOOST_LEAF_CHECK(read_name(reader, "vm", presence::required, out.vm));
    BOOST_LEAF_CHECK(read_name(reader, "data_centre", presence::required, out.data_centre));
    BOOST_LEAF_CHECK(read_name(reader, "region", presence::required, out.region));
    BOOST_LEAF_CHECK(read_addresses(reader, out));
    BOOST_LEAF_CHECK(read_seeds(reader, out));
    constexpr number_bounds<std::size_t> secret_length{.low = min_secret_length,
                                                       .high = max_secret_length};
    BOOST_LEAF_CHECK(read_secret(reader, "admin_credential", presence::required, secret_length,
                                 out.admin_credential));
    BOOST_LEAF_CHECK(read_enum(reader, "log_format", format_names, out.format));
    BOOST_LEAF_CHECK(read_enum(reader, "log_sink", sink_names, out.sink));
    BOOST_LEAF_CHECK(read_milliseconds(reader, "stop_grace_ms", presence::optional,
                                       {.low = core::duration(0), .high = max_stop_grace},
                                       out.stop_grace));
    return out;
}

} // namespace zinniaferry::config
