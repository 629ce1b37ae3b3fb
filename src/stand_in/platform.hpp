/// Stand-in for the product's own configuration service. It serves reads and long-polling watches,
/// counts calls, and has modes that simulate failures.
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

/// How the stand-in answers reads of the configuration; set by the control call /control/mode.
enum class platform_mode
{
    up,
    down,  ///< Reads of the configuration are answered by a connection reset.
    stale, ///< Reads return the same version even after a publication.
    slow   ///< Reads are answered after a delay.
};

struct published_configuration
{
    std::uint64_t version = 0;
    std::string text; ///< The document as published.
};

/// State of the stand-in. Not thread safe: use it on the thread of its execution context.
struct platform_state
{
    published_configuration configuration;
    published_configuration stale_configuration;                    ///< Served in the mode `stale`.
    std::map<std::uint64_t, std::string> configurations_by_version; ///< All that were published.
    platform_mode mode = platform_mode::up;
    std::chrono::milliseconds response_delay{2000};    ///< Used in the mode `slow`.
    std::set<boost::asio::steady_timer*> watch_timers; ///< Of the reads that wait for a change.
    connection_set connections;
    std::uint64_t calls = 0;        ///< Reads and watches of the configuration.
    std::uint64_t not_modified = 0; ///< Reads answered with status 304.
    std::uint64_t resets = 0;       ///< Reads answered by a connection reset.
    std::uint64_t bytes_in = 0;     ///< Received with reads; control calls are not counted.
    std::uint64_t bytes_out = 0;    ///< Sent in responses to reads.
};

/// Publishes a configuration and wakes the waiting watches. Error: document_error if the text is
/// not a JSON object with a version.
core::result<void> publish_configuration(platform_state& state, std::string text);

/// Returns the request handler of the stand-in. Precondition: `state` outlives it.
http_handler make_platform_handler(platform_state& state);

} // namespace zinniaferry::stand_in
