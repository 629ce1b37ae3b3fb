/// Stand-in for the product's own configuration service: reads and watches, a call counter, and
/// modes in which it fails.
#pragma once

#include "stand_in/http_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace zinniaferry::stand_in
{

enum class platform_mode
{
    up,
    down,  ///< Connections that ask for the configuration are reset.
    stale, ///< Answers stay at one version.
    slow   ///< Answers come after a delay.
};

/// A published value with its version.
struct published_configuration
{
    std::uint64_t version = 0;
    std::string text;
};

/// State of the stand-in. Not thread safe: use it on the thread of its execution context.
struct platform_state
{
    published_configuration configuration;
    published_configuration stale_configuration;                ///< Answered in the mode `stale`.
    std::map<std::uint64_t, std::string> configurations_by_version; ///< Every configuration by version.
    platform_mode mode = platform_mode::up;
    std::chrono::milliseconds response_delay{2000}; ///< Used in the mode `slow`.
    std::set<boost::asio::steady_timer*> watch_timers;
    connection_set connections;
    std::uint64_t calls = 0;
    std::uint64_t not_modified = 0;
    std::uint64_t resets = 0;
    std::uint64_t bytes_in = 0;  ///< Of calls of readers, without the control calls.
    std::uint64_t bytes_out = 0; ///< Of answers to readers.
};

/// Publishes a configuration and wakes the watches. Error: document_error.
core::result<void> publish_configuration(platform_state& state, std::string text);

/// Returns the handler of the stand-in. Precondition: `state` outlives it.
http_handler make_platform_handler(platform_state& state);

} // namespace zinniaferry::stand_in
