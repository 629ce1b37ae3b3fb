/// What the mains of the stand-ins share: option parsing, file reading and the run until a signal.
#pragma once

#include "core/error.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace cxxopts
{
class Options;
class ParseResult;
} // namespace cxxopts

namespace zinniaferry::stand_in
{

/// Exit code for wrong options, settings or addresses.
inline constexpr int usage_exit_code = 2;

/// Returns the content of a file. Error: file_error. Thread safe.
core::result<std::string> read_file(const std::string& name);

/// Adds --help and --version, parses, and calls `body` unless one of the two was given. Prints
/// errors of known types to standard error. Returns the exit code.
int run_program(cxxopts::Options& options, int argc, char** argv,
                const std::function<core::result<int>(const cxxopts::ParseResult&)>& run);

/// Runs until SIGINT or SIGTERM.
void run_until_signal(boost::asio::io_context& context);

} // namespace zinniaferry::stand_in
