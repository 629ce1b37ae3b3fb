/// Checks the request records of zinnia_load against the execution logs of the stand-in servers and
/// reports violations, such as a non-idempotent request that was executed twice.
#include "load/record_check.hpp"
#include "stand_in/program.hpp"

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <cerrno>
#include <cstdio>
#include <fstream>

namespace
{

using namespace zinniaferry;

using line_reader = core::result<void> (*)(load::run_history&, std::string_view,
                                           const std::string&);

core::result<void> read_file_lines(load::run_history& history, const std::string& name,
                                   line_reader add)
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
    return {};
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    load::run_history history;
    for (const auto& name : options["records"].as<std::vector<std::string>>())
    {
        BOOST_LEAF_CHECK(read_file_lines(history, name, load::add_record));
    }
    for (const auto& name : options["executions"].as<std::vector<std::string>>())
    {
        BOOST_LEAF_CHECK(read_file_lines(history, name, load::add_execution));
    }
    const load::check_result result = load::check_history(history);
    const boost::json::object report = load::to_json(result);
    if (options["json"].as<bool>())
    {
        std::printf("%s\n", boost::json::serialize(report).c_str());
    }
    else
    {
        for (const auto& field : report)
        {
            if (field.value().is_number())
            {
                std::printf("%-20s %s\n", std::string(field.key()).c_str(),
                            boost::json::serialize(field.value()).c_str());
            }
        }
        for (const std::string& example : result.examples)
        {
            std::printf("  %s\n", example.c_str());
        }
    }
    return load::violation_count(result) > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("check_records",
                             "Checks request records against the execution logs of servers.\n"
                             "Exit code 1: violations were found; 2: invalid options or files");
    // clang-format off
    options.add_options()
        ("records", "Record files of zinnia_load, FILE,FILE,...",
            cxxopts::value<std::vector<std::string>>())
        ("executions", "Execution logs of backend_stub, FILE,FILE,...",
            cxxopts::value<std::vector<std::string>>())
        ("json", "Print the counts as JSON", cxxopts::value<bool>()->default_value("false"));
    // clang-format on
    return stand_in::run_program(options, argc, argv, run);
}
