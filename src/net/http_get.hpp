/// One blocking HTTP GET for the operator's command. Beast stays inside the source file.
#pragma once

#include "core/error.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <string>

namespace zinniaferry::net
{

/// A GET that brought no whole answer. An answer with any status is not an error.
struct http_error
{
    enum class reason
    {
        bad_address, ///< The address is not an IP number and a port.
        unreachable, ///< No connection, or it broke before the answer was whole.
        timeout,     ///< No whole answer within the time.
        malformed,   ///< The answer is not HTTP.
        too_large    ///< The answer is larger than the bound.
    };
    reason why = reason::unreachable;
    std::string address;
    std::string detail;
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const http_error& error);

struct http_get_options
{
    std::string address;                              ///< IP number and port.
    std::string target;                               ///< Such as "/state".
    std::string credential;                           ///< Sent as bearer credential unless empty.
    core::duration timeout = std::chrono::seconds(5); ///< For connect, request and answer together.
    std::size_t max_body_bytes = std::size_t{16} << 20U;    ///< Bytes.
};

inline constexpr unsigned status_ok = 200;

struct http_get_response
{
    unsigned status = 0;
    std::string body;
};

/// Sends one GET on a new connection and waits for the whole answer. Error: http_error.
/// Thread safe.
core::result<http_get_response> http_get(const http_get_options& options);

} // namespace zinniaferry::net
