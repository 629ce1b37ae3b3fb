/// What all programs answer on their command line.
#pragma once

namespace cxxopts
{
class Options;
class ParseResult;
} // namespace cxxopts

namespace zinniaferry::core
{

/// Prints the help or the version to standard output when --help or --version is given, and returns
/// whether it was. Precondition: the options have both. Not thread safe.
bool print_help_or_version(const cxxopts::Options& options, const cxxopts::ParseResult& parsed);

} // namespace zinniaferry::core
