/// Blocking HTTP GET for the operators' command-line tool. Keeps Beast out of the header.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <string>

namespace zinniaferry::net
{

/// A GET without a complete response. A response with any status is not an error.
struct http_error
{
    enum class reason
    {
        bad_address, ///< The address is not an IP address and a port.
        unreachable, ///< No connection, or it ended before the response was complete.
        timeout,     ///< No complete response within the timeout.
        malformed,   ///< The response is not HTTP.
        too_large    ///< The response's headers or body exceed the limit.
    };
    reason why = reason::unreachable;
    std::string address; ///< As in http_get_options.
    std::string detail;  ///< Text of the error code; may be empty.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const http_error& error);

struct http_get_options
{
    std::string address;                              ///< IP address and port.
    std::string target;                               ///< Such as "/state".
    std::string credential;                           ///< Sent as bearer credential unless empty.
    core::duration timeout = std::chrono::seconds(5); ///< Of connect, request and response.
    std::size_t max_body_bytes = std::size_t{16} << 20U;
};

inline constexpr unsigned status_ok = 200;

struct http_get_response
{
    unsigned status = 0;
    std::string body;
};

/// Sends one GET on a new connection and waits for the complete response. Error: http_error.
/// Thread safe.
core::result<http_get_response> http_get(const http_get_options& options);

} // namespace zinniaferry::net
