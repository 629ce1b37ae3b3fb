#include "net/daemon_program.hpp"

#include "core/command_line.hpp"
#include "net/daemon.hpp"

#include <cstdio>

namespace zinniaferry::net
{

int run_daemon_program(cxxopts::Options& options, int argc, char** argv,
                       const std::function<core::result<int>(const cxxopts::ParseResult&)>& body)
{
    const auto report = [&](const std::string& text, int code)
    {
        std::fprintf(stderr, "%s: %s\n", options.program().c_str(), text.c_str());
        return code;
    };
    options.add_options()("version", "print the version")("help", "print this help");
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (core::print_help_or_version(options, parsed))
        {
            return 0;
        }
        return boost::leaf::try_handle_all(
            [&] { return body(parsed); },
            [&](const usage_error& error) { return report(error.what, exit_usage_error); },
            [&](const core::document_error& error)
            { return report(core::to_string(error), exit_usage_error); },
            [&](const core::file_error& error)
            { return report(core::to_string(error), exit_usage_error); },
            [&](const listen_error& error) { return report(to_string(error), exit_failure); },
            [&] { return report("internal error", exit_failure); });
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return report(error.what(), exit_usage_error);
    }
}

} // namespace zinniaferry::net
