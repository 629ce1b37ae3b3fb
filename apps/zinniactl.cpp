// Command-line tool for operators: checks and compares configurations, reads the state of daemons,
// and explains the outcome of a request by their logs.
#include "net/operator_commands.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <cstdlib>
#include <optional>

using namespace zinniaferry;

namespace
{

constexpr const char* usage = "check [--settings] FILE | diff OLD NEW | state ADDRESS | "
                              "fleet ADDRESS... | explain --id ID FILE...";
constexpr const char* credential_environment_variable = "ZINNIA_ADMIN_CREDENTIAL";

cxxopts::Options make_options()
{
    cxxopts::Options options("zinniactl",
                             "Checks configurations, reads the state of daemons and explains the "
                             "outcome of a request by their logs.\n"
                             "Exit codes: 0 for success; 1 for a difference, a configuration with "
                             "entries that cannot be meant, a daemon that does not answer or a "
                             "request that is not in the logs; 2 for invalid "
                             "input.\n");
    options.positional_help(usage);
    options.add_options()("json", "print JSON")(
        "settings", "check the settings of a daemon instead of a configuration")(
        "id", "id of the request to explain", cxxopts::value<std::string>()->default_value(""))(
        "credential",
        std::string("credential of the admin listeners; better set in ") +
            credential_environment_variable +
            ", because other users of the machine can read command lines",
        cxxopts::value<std::string>()->default_value(""))(
        "timeout-ms", "time to wait for each daemon, ms",
        cxxopts::value<std::uint32_t>()->default_value("5000"))("help", "print this text")(
        "words", "the command and its arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

net::command_options read_options(const cxxopts::ParseResult& parsed)
{
    net::command_options out{
        .as_json = parsed.count("json") > 0,
        .credential = parsed["credential"].as<std::string>(),
        .timeout = std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>())};
    if (const char* credential = std::getenv(credential_environment_variable);
        out.credential.empty() && credential != nullptr)
    {
        out.credential = credential;
    }
    return out;
}

// Runs the command. Returns nothing if the arguments are not a command with its operands.
std::optional<net::command_result> run(const std::vector<std::string>& arguments,
                                       const std::string& request_id, net::document_kind kind,
                                       const net::command_options& options)
{
    const std::string command = arguments.empty() ? std::string() : arguments.front();
    if (command == "check" && arguments.size() == 2)
    {
        return net::run_check(arguments[1], kind, options);
    }
    if (command == "diff" && arguments.size() == 3)
    {
        return net::run_diff(arguments[1], arguments[2], options);
    }
    if (command == "state" && arguments.size() == 2)
    {
        return net::run_state(arguments[1], options);
    }
    if (command == "fleet" && arguments.size() >= 2)
    {
        return net::run_fleet({arguments.begin() + 1, arguments.end()}, options);
    }
    if (command == "explain" && arguments.size() >= 2 && !request_id.empty())
    {
        return net::run_explain(request_id, {arguments.begin() + 1, arguments.end()}, options);
    }
    return std::nullopt;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options = make_options();
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::fputs(options.help().c_str(), stdout);
            return net::exit_ok;
        }
        const auto arguments = parsed.count("words") > 0
                                   ? parsed["words"].as<std::vector<std::string>>()
                                   : std::vector<std::string>();
        const auto kind = parsed.count("settings") > 0 ? net::document_kind::settings
                                                       : net::document_kind::configuration;
        const auto result =
            run(arguments, parsed["id"].as<std::string>(), kind, read_options(parsed));
        if (!result)
        {
            std::fprintf(stderr, "zinniactl: expected %s\n", usage);
            return net::exit_invalid_input;
        }
        std::fputs(result->output.c_str(), stdout);
        std::fputs(result->error.c_str(), stderr);
        return result->exit_code;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::fprintf(stderr, "zinniactl: %s\n", error.what());
        return net::exit_invalid_input;
    }
}
