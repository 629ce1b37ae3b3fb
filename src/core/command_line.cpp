#include "core/command_line.hpp"

#include <cxxopts.hpp>

#include <cstdio>

namespace zinniaferry::core
{

bool print_help_or_version(const cxxopts::Options& options, const cxxopts::ParseResult& parsed)
{
    if (parsed.count("help") > 0)
    {
        std::printf("%s\n", options.help().c_str());
        return true;
    }
    if (parsed.count("version") > 0)
    {
        std::printf("%s %s\n", options.program().c_str(), ZINNIA_VERSION);
        return true;
    }
    return false;
}

} // namespace zinniaferry::core
