/// Checks the request records of zinnia_load against the logs of the stand-in servers and reports
/// violations, such as a non-idempotent request that was executed twice, or a request to a server
/// that had said that it leaves.
#include "load/record_check.hpp"
#include "load/statement_check.hpp"
#include "stand_in/program.hpp"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <fstream>

namespace
{

using namespace zinniaferry;

// Adds the lines of all files that an option names.
template <class History>
core::result<void>
read_lines(History& history, const cxxopts::ParseResult& options, const char* option,
           core::result<void> (*add)(History&, std::string_view, const std::string&))
{
    for (const auto& name : options[option].as<std::vector<std::string>>())
    {
        std::ifstream file(name);
        if (!file)
        {
            return boost::leaf::new_error(
                core::file_error{.file = name, .error_number = errno != 0 ? errno : EIO});
        }
        std::string line;
        while (std::getline(file, line))
        {
            BOOST_LEAF_CHECK(add(history, line, name));
        }
    }
    return {};
}

// Reads "IP:PORT@US": the end of a restart or suspension of a daemon.
core::result<void> add_interruption(load::exchange_history& history, const std::string& text)
{
    const std::size_t at = text.find('@');
    const std::string_view time =
        at == std::string::npos ? "" : std::string_view(text).substr(at + 1);
    std::int64_t time_us = 0;
    const char* end = time.data() + time.size();
    const auto parsed = std::from_chars(time.data(), end, time_us);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return boost::leaf::new_error(core::document_error{.file = "options",
                                                           .path = "--interrupted",
                                                           .value = text,
                                                           .expected = "IP:PORT@MICROSECONDS"});
    }
    history.interruptions[text.substr(0, at)].emplace_back(time_us);
    return {};
}

core::result<load::check_result> check_executions(const cxxopts::ParseResult& options)
{
    load::run_history history;
    BOOST_LEAF_CHECK(read_lines(history, options, "records", load::add_record));
    BOOST_LEAF_CHECK(read_lines(history, options, "executions", load::add_execution));
    return load::check_history(history);
}

core::result<load::statement_result> check_exchanges(const cxxopts::ParseResult& options)
{
    load::exchange_history history;
    BOOST_LEAF_CHECK(read_lines(history, options, "records", load::add_caller_request));
    BOOST_LEAF_CHECK(read_lines(history, options, "exchanges", load::add_exchange));
    if (options.count("interrupted") > 0)
    {
        for (const auto& text : options["interrupted"].as<std::vector<std::string>>())
        {
            BOOST_LEAF_CHECK(add_interruption(history, text));
        }
    }
    return load::check_statements(history);
}

void print_report(const boost::json::object& report, bool as_json)
{
    if (as_json)
    {
        std::printf("%s\n", boost::json::serialize(report).c_str());
        return;
    }
    for (const auto& field : report)
    {
        if (field.value().is_number())
        {
            std::printf("%-20s %s\n", std::string(field.key()).c_str(),
                        boost::json::serialize(field.value()).c_str());
        }
    }
    for (const boost::json::value& example : report.at("examples").as_array())
    {
        std::printf("  %s\n", example.as_string().c_str());
    }
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    const bool as_json = options["json"].as<bool>();
    BOOST_LEAF_AUTO(executions, check_executions(options));
    print_report(load::to_json(executions), as_json);
    std::uint64_t violations = load::violation_count(executions);
    if (options.count("exchanges") > 0)
    {
        BOOST_LEAF_AUTO(exchanges, check_exchanges(options));
        print_report(load::to_json(exchanges), as_json);
        violations += load::violation_count(exchanges);
    }
    return violations > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("check_records",
                             "Checks request records against the logs of servers.\n"
                             "Exit code 1: violations were found; 2: invalid options or files");
    // clang-format off
    options.add_options()
        ("records", "Record files of zinnia_load, FILE,FILE,...",
            cxxopts::value<std::vector<std::string>>())
        ("executions", "Execution logs of backend_stub, FILE,FILE,...",
            cxxopts::value<std::vector<std::string>>())
        ("exchanges", "Exchange logs of backend_stub, FILE,FILE,...: checks that daemons keep to what "
            "servers say of themselves", cxxopts::value<std::vector<std::string>>())
        ("interrupted", "Ends of restarts and suspensions of daemons, which excuse them from what "
            "servers said before: IP:PORT@MICROSECONDS,... since the Unix epoch",
            cxxopts::value<std::vector<std::string>>())
        ("json", "Print the counts as JSON, one object per check", cxxopts::value<bool>()->default_value("false"));
    // clang-format on
    return stand_in::run_program(options, argc, argv, run);
}
