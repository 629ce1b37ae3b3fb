/// Shared by the main functions of the stand-ins, zinnia_load and check_records: option parsing,
/// error output, file reading and running until a signal.
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

/// Exit code for invalid options, documents, files or addresses.
inline constexpr int usage_exit_code = 2;

/// Returns the content of a file. Error: file_error. Thread safe.
core::result<std::string> read_file(const std::string& name);

/// Adds --help and --version, parses the command line, and calls `run` unless one of the two was
/// given. Prints errors to standard error. Returns the exit code: that of `run`, or usage_exit_code
/// after an error.
int run_program(cxxopts::Options& options, int argc, char** argv,
                const std::function<core::result<int>(const cxxopts::ParseResult&)>& run);

/// Runs the context until the process receives SIGINT or SIGTERM.
void run_until_signal(boost::asio::io_context& context);

} // namespace zinniaferry::stand_in
