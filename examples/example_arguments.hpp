/// The arguments that the example programs share.
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
    std::uint16_t base_port = 0;
    std::string servers_address;
};

/// Ports that the examples use from `--base-port` on.
inline constexpr std::uint32_t ports_per_example = 100;

/// Reads `--base-port` and `--servers-address`; ends the process with 2 when they are wrong.
inline arguments read_arguments(int argc, char** argv, const char* name, std::uint16_t base_port)
{
    constexpr int exit_invalid_input = 2;
    cxxopts::Options options(name, "Prints the configuration of a deployment.");
    options.add_options()(
        "base-port", "port of the first server",
        cxxopts::value<std::uint16_t>()->default_value(std::to_string(base_port)))(
        "servers-address", "IP number of all servers",
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
            std::fprintf(stderr, "%s: --base-port leaves no room for the servers\n", name);
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
