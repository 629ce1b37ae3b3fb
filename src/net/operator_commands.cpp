#include "net/operator_commands.hpp"

#include "config/address.hpp"
#include "config/diff.hpp"
#include "config/findings.hpp"
#include "config/printer.hpp"
#include "config/reader.hpp"
#include "explain/printer.hpp"
#include "net/fleet_report.hpp"
#include "net/http_get.hpp"

#include <boost/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace zinniaferry::net
{

namespace
{

namespace json = boost::json;

constexpr int indent_width = 2;

command_result invalid_input(const std::string& line, json::object details,
                             const command_options& options)
{
    command_result out{.exit_code = exit_invalid_input, .error = line + "\n"};
    if (options.as_json)
    {
        out.output =
            json::serialize(json::object{{"valid", false}, {"error", std::move(details)}}) + "\n";
    }
    return out;
}

// Runs a command and converts each error to its exit code and message.
template <class Command>
command_result run(const command_options& options, Command&& command)
{
    return boost::leaf::try_handle_all(
        std::forward<Command>(command),
        [&](const core::document_error& error)
        {
            return invalid_input(core::to_string(error),
                                 {{"file", error.file},
                                  {"path", error.path},
                                  {"value", error.value},
                                  {"expected", error.expected}},
                                 options);
        },
        [&](const core::file_error& error) {
            return invalid_input(core::to_string(error), {{"file", error.file}}, options);
        },
        [&](const http_error& error)
        {
            const bool is_input = error.why == http_error::reason::bad_address;
            return command_result{.exit_code = is_input ? exit_invalid_input : exit_difference,
                                  .error = to_string(error) + "\n"};
        },
        []
        {
            return command_result{
                .exit_code = exit_invalid_input,
                .error = "internal error: the command failed with an unexpected error\n"};
        });
}

core::result<config::configuration> load(const std::string& file)
{
    BOOST_LEAF_AUTO(text, config::read_text_file(file));
    return config::read_configuration(text, file);
}

core::result<command_result> check_settings(const std::string& file, const command_options& options)
{
    BOOST_LEAF_AUTO(text, config::read_text_file(file));
    BOOST_LEAF_AUTO(settings, config::read_settings(text, file));
    if (options.as_json)
    {
        const json::object summary{{"valid", true}, {"vm", settings.vm}};
        return command_result{.output = json::serialize(summary) + "\n"};
    }
    return command_result{.output =
                              fmt::format("{}: settings of {} are valid\n", file, settings.vm)};
}

core::result<command_result> check_configuration(const std::string& file,
                                                 const command_options& options)
{
    BOOST_LEAF_AUTO(config, load(file));
    const std::string digest = core::to_hex(config::digest_of(config));
    std::size_t servers = 0;
    for (const config::service& service : config.services)
    {
        servers += service.servers.size();
    }
    const std::vector<config::finding> findings = config::find_problems(config);
    const int exit_code = findings.empty() ? exit_ok : exit_difference;
    if (options.as_json)
    {
        const json::object summary{{"valid", true},
                                   {"findings", config::to_json(findings)},
                                   {"version", config.version},
                                   {"digest", digest},
                                   {"accounts", config.accounts.size()},
                                   {"services", config.services.size()},
                                   {"servers", servers},
                                   {"routes", config.routes.size()}};
        return command_result{.exit_code = exit_code, .output = json::serialize(summary) + "\n"};
    }
    command_result out{
        .exit_code = exit_code,
        .output = fmt::format("{}: version {} is valid: {} accounts, {} services, {} servers, {} "
                              "routes, digest {}\n",
                              file, config.version, config.accounts.size(), config.services.size(),
                              servers, config.routes.size(), digest)};
    for (const config::finding& finding : findings)
    {
        out.output += config::to_string(finding) + "\n";
    }
    return out;
}

// Returns whether a value is printed on the line of its name: scalars, and empty arrays and
// objects.
bool fits_on_one_line(const json::value& value)
{
    const json::object* object = value.if_object();
    const json::array* array = value.if_array();
    return !value.is_structured() || (object != nullptr && object->empty()) ||
           (array != nullptr && array->empty());
}

// Prints a value with one member on each line, for human readers.
void print_indented(const json::value& value, int depth, std::string& out)
{
    const std::string margin(static_cast<std::size_t>(depth * indent_width), ' ');
    if (const json::object* object = value.if_object(); object != nullptr && !object->empty())
    {
        for (const json::key_value_pair& entry : *object)
        {
            const std::string_view key(entry.key().data(), entry.key().size());
            const bool is_leaf = fits_on_one_line(entry.value());
            out += fmt::format("{}{}:{}", margin, key, is_leaf ? " " : "\n");
            print_indented(entry.value(), is_leaf ? 0 : depth + 1, out);
        }
        return;
    }
    if (const json::array* array = value.if_array(); array != nullptr && !array->empty())
    {
        for (const json::value& entry : *array)
        {
            const bool is_leaf = fits_on_one_line(entry);
            out += margin + (is_leaf ? "- " : "-\n");
            print_indented(entry, is_leaf ? 0 : depth + 1, out);
        }
        return;
    }
    out += margin + json::serialize(value) + "\n";
}

core::result<command_result> show_state(const std::string& address, const command_options& options)
{
    BOOST_LEAF_AUTO(response, http_get({.address = address,
                                        .target = "/state",
                                        .credential = options.credential,
                                        .timeout = options.timeout}));
    json::error_code error;
    const json::value state = json::parse(response.body, error);
    if (response.status != status_ok || error)
    {
        const std::string why = response.status != status_ok
                                    ? fmt::format("status {}", response.status)
                                    : "the response body is not JSON";
        return command_result{.exit_code = exit_difference,
                              .error = fmt::format("{}/state: {}\n", address, why)};
    }
    command_result out;
    if (options.as_json)
    {
        out.output = json::serialize(state) + "\n";
    }
    else
    {
        print_indented(state, 0, out.output);
    }
    return out;
}

} // namespace

command_result run_check(const std::string& file, document_kind kind,
                         const command_options& options)
{
    return run(options,
               [&]
               {
                   return kind == document_kind::settings ? check_settings(file, options)
                                                          : check_configuration(file, options);
               });
}

command_result run_diff(const std::string& before, const std::string& after,
                        const command_options& options)
{
    return run(options,
               [&]() -> core::result<command_result>
               {
                   BOOST_LEAF_AUTO(from, load(before));
                   BOOST_LEAF_AUTO(to, load(after));
                   const std::vector<config::change> changes = config::diff(from, to);
                   command_result out{.exit_code = changes.empty() ? exit_ok : exit_difference};
                   if (options.as_json)
                   {
                       out.output = json::serialize(config::to_json(changes)) + "\n";
                       return out;
                   }
                   for (const config::change& change : changes)
                   {
                       out.output += config::to_string(change) + "\n";
                   }
                   return out;
               });
}

command_result run_state(const std::string& address, const command_options& options)
{
    return run(options, [&] { return show_state(address, options); });
}

command_result run_fleet(const std::vector<std::string>& addresses, const command_options& options)
{
    std::vector<vm_report> reports;
    reports.reserve(addresses.size());
    for (const std::string& address : addresses)
    {
        if (!config::parse_address(address))
        {
            const http_error error{.why = http_error::reason::bad_address, .address = address};
            return {.exit_code = exit_invalid_input, .error = to_string(error) + "\n"};
        }
    }
    for (const std::string& address : addresses)
    {
        reports.push_back(fetch_vm_report(
            address, {.credential = options.credential, .timeout = options.timeout}));
    }
    return {.exit_code = have_same_version(reports) ? exit_ok : exit_difference,
            .output =
                options.as_json ? json::serialize(to_json(reports)) + "\n" : to_table(reports)};
}

command_result run_explain(const std::string& request_id, const std::vector<std::string>& files,
                           const command_options& options)
{
    return run(options,
               [&]() -> core::result<command_result>
               {
                   BOOST_LEAF_AUTO(log, explain::read_log_files(files, request_id));
                   const explain::request_account account =
                       explain::explain_request(log, request_id);
                   return command_result{
                       .exit_code = account.requests.empty() ? exit_difference : exit_ok,
                       .output = options.as_json ? json::serialize(explain::to_json(account)) + "\n"
                                                 : explain::to_text(account)};
               });
}

} // namespace zinniaferry::net
