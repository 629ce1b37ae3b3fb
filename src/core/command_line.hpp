/// The --help and --version options of all programs.
#pragma once

namespace cxxopts
{
class Options;
class ParseResult;
} // namespace cxxopts

namespace zinniaferry::core
{

/// Prints the help or the version to standard output when --help or --version is given. Returns
/// whether one of them was. Precondition: the options declare both. Not thread safe.
bool print_help_or_version(const cxxopts::Options& options, const cxxopts::ParseResult& parsed);

} // namespace zinniaferry::core
