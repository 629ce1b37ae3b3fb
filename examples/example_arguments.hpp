/// Command-line arguments that the example programs share.
#pragma once

#include <cxxopts.hpp>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace zinniaferry::examples
{

struct arguments
{
    std::uint16_t base_port = 0; ///< Port of the first server.
    std::string servers_address; ///< IP address of all servers.
};

/// Number of consecutive ports, from `--base-port` on, that are reserved for the servers of an
/// example. The error text below names the highest base port that follows from it.
inline constexpr std::uint32_t ports_per_example = 100;

/// Parses `--base-port` (default `base_port`) and `--servers-address`. Exits with code 2 if they
/// are invalid, and with 0 after printing the help text. `name` is the program's name.
inline arguments read_arguments(int argc, char** argv, const char* name, std::uint16_t base_port)
{
    constexpr int exit_invalid_input = 2;
    cxxopts::Options options(name, "Prints the configuration of a deployment.");
    options.add_options()(
        "base-port", "port of the first server",
        cxxopts::value<std::uint16_t>()->default_value(std::to_string(base_port)))(
        "servers-address", "IP address of all servers",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))("help", "print this text");
    try
    {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::printf("%s\n", options.help().c_str());
            std::exit(0);
        }
        const arguments out{.base_port = parsed["base-port"].as<std::uint16_t>(),
                            .servers_address = parsed["servers-address"].as<std::string>()};
        if (out.base_port == 0 || out.base_port + ports_per_example > 65535)
        {
            std::fprintf(stderr, "%s: --base-port must be from 1 to 65435\n", name);
            std::exit(exit_invalid_input);
        }
        return out;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::fprintf(stderr, "%s: %s\n", name, error.what());
        std::exit(exit_invalid_input);
    }
}

} // namespace zinniaferry::examples
