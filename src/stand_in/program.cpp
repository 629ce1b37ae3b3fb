#include "stand_in/program.hpp"

#include "core/command_line.hpp"
#include "stand_in/http_server.hpp"

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>

namespace zinniaferry::stand_in
{

namespace
{

int print_error(const std::string& text)
{
    std::fprintf(stderr, "error: %s\n", text.c_str());
    return usage_exit_code;
}

} // namespace

core::result<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file)
    {
        return boost::leaf::new_error(
            core::file_error{.file = name, .error_number = errno != 0 ? errno : EIO});
    }
    return text;
}

int run_program(cxxopts::Options& options, int argc, char** argv,
                const std::function<core::result<int>(const cxxopts::ParseResult&)>& run)
{
    options.add_options()("help", "Print this help")("version", "Print the version");
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (core::print_help_or_version(options, parsed))
        {
            return 0;
        }
        if (!parsed.unmatched().empty())
        {
            return print_error("unexpected argument " + parsed.unmatched().front());
        }
        return boost::leaf::try_handle_all(
            [&] { return run(parsed); },
            [](const core::document_error& error) { return print_error(core::to_string(error)); },
            [](const core::file_error& error) { return print_error(core::to_string(error)); },
            [](const address_error& error) { return print_error(to_string(error)); },
            [](const cxxopts::exceptions::exception& error) { return print_error(error.what()); },
            [] { return print_error("unknown failure"); });
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return print_error(error.what());
    }
}

void run_until_signal(boost::asio::io_context& context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&](const boost::system::error_code& error, int)
        {
            if (!error)
            {
                context.stop();
            }
        });
    context.run();
}

} // namespace zinniaferry::stand_in
