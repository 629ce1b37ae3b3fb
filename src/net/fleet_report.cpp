#include "net/fleet_report.hpp"

#include "config/json_document.hpp"
#include "net/http_get.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <limits>

namespace zinniaferry::net
{

namespace
{

namespace json = boost::json;

constexpr const char* state_target = "/state";

// Parses without the size limits of an operator's documents, as a state dump grows with the number
// of VMs.
core::result<json::value> parse_state(std::string_view text, const std::string& file)
{
    json::error_code error;
    json::value out = json::parse(json::string_view(text.data(), text.size()), error);
    if (error)
    {
        return boost::leaf::new_error(core::document_error{
            .file = file, .path = "$", .value = error.message(), .expected = "a JSON value"});
    }
    return out;
}

core::result<void> read_count(const config::object_reader& reader, std::string_view member,
                              std::uint64_t& out)
{
    constexpr config::number_bounds<std::uint64_t> any{
        .low = 0, .high = std::numeric_limits<std::uint64_t>::max()};
    return config::read_integer(reader, member, config::presence::required, any, out);
}

// Fails for any status but 200, because the body is then not a state dump.
core::result<vm_report> fetch_state(const std::string& address, const admin_options& options)
{
    BOOST_LEAF_AUTO(response, http_get({.address = address,
                                        .target = state_target,
                                        .credential = options.credential,
                                        .timeout = options.timeout}));
    if (response.status != status_ok)
    {
        return boost::leaf::new_error(core::document_error{.file = address + state_target,
                                                           .path = "status",
                                                           .value = std::to_string(response.status),
                                                           .expected = "200"});
    }
    return parse_vm_report(address, response.body);
}

std::string table_line(const std::string& address, const std::string& version,
                       const std::string& vms, const std::string& requests,
                       const std::string& refusals)
{
    return fmt::format("{:<22} {:>10} {:>9} {:>14} {:>12}\n", address, version, vms, requests,
                       refusals);
}

} // namespace

core::result<vm_report> parse_vm_report(const std::string& address, std::string_view body)
{
    const std::string file = address + state_target;
    BOOST_LEAF_AUTO(document, parse_state(body, file));
    const config::json_location location{};
    BOOST_LEAF_AUTO(object, config::as_object(document, file, location));
    const config::object_reader reader{.file = file, .location = location, .object = *object};
    vm_report out{.address = address};
    BOOST_LEAF_CHECK(read_count(reader, "configuration_version", out.configuration_version));
    BOOST_LEAF_CHECK(read_count(reader, "members", out.vms_seen));
    BOOST_LEAF_CHECK(read_count(reader, "requests", out.requests));
    BOOST_LEAF_CHECK(read_count(reader, "refused", out.refusals));
    return out;
}

vm_report fetch_vm_report(const std::string& address, const admin_options& options)
{
    const auto failed = [&](std::string error)
    {
        return vm_report{.address = address, .error = std::move(error)};
    };
    return boost::leaf::try_handle_all(
        [&] { return fetch_state(address, options); },
        [&](const http_error& error) { return failed(to_string(error)); },
        [&](const core::document_error& error) { return failed(core::to_string(error)); },
        [&] { return failed("internal error: unexpected error while reading the report"); });
}

bool have_same_version(const std::vector<vm_report>& reports)
{
    return std::all_of(reports.begin(), reports.end(),
                       [&](const vm_report& report)
                       {
                           return report.error.empty() &&
                                  report.configuration_version == reports[0].configuration_version;
                       });
}

std::string to_table(const std::vector<vm_report>& reports)
{
    std::string out = table_line("address", "version", "vms seen", "requests", "refusals");
    for (const vm_report& report : reports)
    {
        out += report.error.empty()
                   ? table_line(report.address, std::to_string(report.configuration_version),
                                std::to_string(report.vms_seen), std::to_string(report.requests),
                                std::to_string(report.refusals))
                   : fmt::format("{:<22} {}\n", report.address, report.error);
    }
    return out;
}

json::array to_json(const std::vector<vm_report>& reports)
{
    json::array out;
    for (const vm_report& report : reports)
    {
        json::object line{{"address", report.address}};
        if (report.error.empty())
        {
            line["version"] = report.configuration_version;
            line["vms_seen"] = report.vms_seen;
            line["requests"] = report.requests;
            line["refusals"] = report.refusals;
        }
        else
        {
            line["error"] = report.error;
        }
        out.push_back(std::move(line));
    }
    return out;
}

} // namespace zinniaferry::net
