#include "net/fleet_report.hpp"

#include "config/json_document.hpp"
#include "net/http_get.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace zinniaferry::net
{

namespace
{

namespace json = boost::json;

constexpr unsigned status_ok = 200;
constexpr std::string_view alive = "alive";
constexpr const char* configuration_target = "/v1/configuration";
constexpr const char* fleet_target = "/v1/fleet";
constexpr const char* metrics_target = "/metrics";

// A daemon's answer is not a document of an operator: it may have as many members as there are VMs.
core::result<json::value> parse_answer(std::string_view text, const std::string& file)
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

core::result<std::uint64_t> read_version(std::string_view text, const std::string& file)
{
    BOOST_LEAF_AUTO(document, parse_answer(text, file));
    const config::json_place place{};
    BOOST_LEAF_AUTO(object, config::as_object(document, file, place));
    const config::object_reader reader{.file = file, .place = place, .object = *object};
    std::uint64_t version = 0;
    BOOST_LEAF_CHECK(config::read_integer(
        reader, "version", config::presence::required,
        config::number_bounds<std::uint64_t>{.low = 0, .high = ~std::uint64_t{0}}, version));
    return version;
}

core::result<std::uint64_t> count_vms(std::string_view text, const std::string& file)
{
    BOOST_LEAF_AUTO(document, parse_answer(text, file));
    const config::json_place place{};
    BOOST_LEAF_AUTO(object, config::as_object(document, file, place));
    const config::object_reader reader{.file = file, .place = place, .object = *object};
    const json::value* peers = object->if_contains("peers");
    if (peers == nullptr || !peers->is_object())
    {
        return config::field_error(reader, "peers", peers ? config::shortened(*peers) : "nothing",
                                   "an object with the peers by VM");
    }
    const json::object& list = peers->get_object();
    const auto is_alive = [](const json::key_value_pair& peer)
    {
        const json::object* entry = peer.value().if_object();
        const json::value* state = entry == nullptr ? nullptr : entry->if_contains("state");
        return state != nullptr && state->is_string() &&
               std::string_view(state->get_string().data(), state->get_string().size()) == alive;
    };
    return 1 + static_cast<std::uint64_t>(std::count_if(list.begin(), list.end(), is_alive));
}

// An answer with another status becomes an error here, because its body is not what was asked for.
core::result<std::string> fetch(const std::string& address, const char* target,
                                const admin_options& options)
{
    BOOST_LEAF_AUTO(answer, http_get({.address = address,
                                      .target = target,
                                      .credential = options.credential,
                                      .timeout = options.timeout}));
    if (answer.status != status_ok)
    {
        return boost::leaf::new_error(core::document_error{.file = address + target,
                                                           .path = "status",
                                                           .value = std::to_string(answer.status),
                                                           .expected = "200"});
    }
    return std::move(answer.body);
}

core::result<vm_report> fetch_all(const std::string& address, const admin_options& options)
{
    BOOST_LEAF_AUTO(configuration, fetch(address, configuration_target, options));
    BOOST_LEAF_AUTO(fleet, fetch(address, fleet_target, options));
    BOOST_LEAF_AUTO(metrics, fetch(address, metrics_target, options));
    return read_vm_report(address,
                          {.configuration = configuration, .fleet = fleet, .metrics = metrics});
}

std::string padded_line(const std::string& address, const std::string& version,
                        const std::string& vms, const std::string& requests,
                        const std::string& refusals)
{
    return fmt::format("{:<22} {:>10} {:>9} {:>14} {:>12}\n", address, version, vms, requests,
                       refusals);
}

} // namespace

double sum_of_metric(std::string_view text, std::string_view metric)
{
    double sum = 0.0;
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const char next = line.size() > metric.size() ? line[metric.size()] : '\0';
        if (!line.starts_with(metric) || (next != ' ' && next != '{'))
        {
            continue;
        }
        // A label's value may hold spaces, so the sample starts after the closing brace.
        const std::size_t labels = next == '{' ? line.rfind('}') : metric.size() - 1;
        const std::size_t start = line.find_first_not_of(' ', labels + 1);
        double value = 0.0;
        if (labels != std::string_view::npos && start != std::string_view::npos)
        {
            std::from_chars(line.data() + start, line.data() + line.size(), value);
        }
        sum += std::isfinite(value) ? value : 0.0;
    }
    return sum;
}

core::result<vm_report> read_vm_report(const std::string& address, const vm_documents& documents)
{
    vm_report out{.address = address};
    BOOST_LEAF_ASSIGN(out.version,
                      read_version(documents.configuration, address + configuration_target));
    BOOST_LEAF_ASSIGN(out.vms_seen, count_vms(documents.fleet, address + fleet_target));
    const auto count = [&](std::string_view metric)
    {
        return static_cast<std::uint64_t>(sum_of_metric(documents.metrics, metric));
    };
    out.requests = count(requests_metric);
    out.refusals = count(refusals_metric);
    return out;
}

vm_report fetch_vm_report(const std::string& address, const admin_options& options)
{
    const auto failed = [&](std::string error)
    {
        return vm_report{.address = address, .error = std::move(error)};
    };
    return boost::leaf::try_handle_all(
        [&] { return fetch_all(address, options); },
        [&](const http_error& error) { return failed(to_string(error)); },
        [&](const core::document_error& error) { return failed(core::to_string(error)); },
        [&] { return failed("an error without a type"); });
}

bool is_uniform(const std::vector<vm_report>& reports)
{
    return std::all_of(reports.begin(), reports.end(),
                       [&](const vm_report& report)
                       { return report.error.empty() && report.version == reports[0].version; });
}

std::string to_table(const std::vector<vm_report>& reports)
{
    std::string out = padded_line("address", "version", "vms seen", "requests", "refusals");
    for (const vm_report& report : reports)
    {
        out += report.error.empty()
                   ? padded_line(report.address, std::to_string(report.version),
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
            line["version"] = report.version;
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
