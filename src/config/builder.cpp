#include "config/builder.hpp"

#include "config/printer.hpp"
#include "config/reader.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace zinniaferry::config
{

namespace
{

constexpr const char* deployment_label = "deployment"; ///< Replaces the file name in errors.
constexpr int exit_ok = 0;
constexpr int exit_invalid_input = 2;

boost::leaf::error_id deployment_error(std::string path, std::string value, std::string expected)
{
    return boost::leaf::new_error(core::document_error{.file = deployment_label,
                                                       .path = std::move(path),
                                                       .value = std::move(value),
                                                       .expected = std::move(expected)});
}

bool is_valid_key(const std::string& key)
{
    return key.size() >= min_key_length && key.size() <= max_key_length &&
           std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// JSON has no infinity or NaN, so the reader could not report the path of such a number.
core::result<void> check_finite(const std::string& path, double value)
{
    if (!std::isfinite(value))
    {
        return deployment_error(path, fmt::format("{}", value), "a finite number");
    }
    return {};
}

core::result<account> make_account(const account_options& options, std::size_t index)
{
    const std::string path = fmt::format("$.accounts[{}]", index);
    account out{.name = options.name, .rate = options.rate, .burst = options.burst};
    BOOST_LEAF_CHECK(check_finite(path + ".rate", out.rate));
    BOOST_LEAF_CHECK(check_finite(path + ".burst", out.burst));
    for (std::size_t i = 0; i < options.keys.size(); ++i)
    {
        if (!is_valid_key(options.keys[i]))
        {
            return deployment_error(fmt::format("{}.keys[{}]", path, i),
                                    fmt::format("a string of {} bytes", options.keys[i].size()),
                                    fmt::format("a key of {} to {} printable ASCII characters",
                                                min_key_length, max_key_length));
        }
        out.keys.push_back(core::sha256(options.keys[i]));
    }
    return out;
}

} // namespace

std::vector<backend_server> make_servers(const server_group_options& options)
{
    std::vector<backend_server> out;
    out.reserve(options.count);
    for (std::size_t i = 0; i < options.count; ++i)
    {
        out.push_back({.name = fmt::format("{}-{}", options.name, i + 1),
                       .data_centre = options.data_centres[i % options.data_centres.size()],
                       .address = fmt::format("{}:{}", options.ip, options.first_port + i)});
    }
    return out;
}

core::result<configuration> build(const deployment& options)
{
    configuration out{.version = options.version,
                      .regions = options.regions,
                      .data_centres = options.data_centres,
                      .services = options.services,
                      .routes = options.routes};
    for (std::size_t i = 0; i < out.regions.size(); ++i)
    {
        BOOST_LEAF_CHECK(
            check_finite(fmt::format("$.regions[{}].weight", i), out.regions[i].weight));
    }
    for (std::size_t i = 0; i < options.accounts.size(); ++i)
    {
        BOOST_LEAF_AUTO(built_account, make_account(options.accounts[i], i));
        out.accounts.push_back(std::move(built_account));
    }
    // Reading the canonical text back applies exactly the checks of the daemons.
    BOOST_LEAF_AUTO(checked, read_configuration(canonical_text(out), deployment_label));
    if (checked != out)
    {
        return deployment_error("$", "a duration with a fraction of a millisecond",
                                "whole milliseconds");
    }
    return checked;
}

int print_deployment(const deployment& options)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<int>
        {
            BOOST_LEAF_AUTO(config, build(options));
            const std::string text = canonical_text(config);
            std::fwrite(text.data(), 1, text.size(), stdout);
            return exit_ok;
        },
        [](const core::document_error& error)
        {
            std::fprintf(stderr, "%s\n", core::to_string(error).c_str());
            return exit_invalid_input;
        },
        []
        {
            std::fprintf(stderr,
                         "internal error: the builder failed with an error of unknown type\n");
            return exit_invalid_input;
        });
}

} // namespace zinniaferry::config
