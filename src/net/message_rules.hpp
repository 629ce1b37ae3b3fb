/// Rules for HTTP messages that pass through the daemon: which requests are read as valid, which
/// headers are removed or added, and the daemon's own answers.
#pragma once

#include "net/http_profile.hpp"
#include "request/refusal.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace zinniaferry::net
{

namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

inline constexpr std::uint32_t max_header_bytes = 16U * 1024U;
inline constexpr std::uint64_t max_response_body_bytes = 16ULL * 1024 * 1024;

/// Returns the value of a header, empty when absent. Thread safe for a message not modified.
std::string_view header_value(const http::fields& message, std::string_view name);

/// What the daemon reads of a request. The views are valid while the message is not modified.
struct request_description
{
    std::string_view id;
    std::string_view host;
    std::string_view path;
    std::string_view key;                    ///< Empty when the caller presented none.
    std::optional<core::duration> time_left; ///< From arrival; what the caller will wait.
};

/// Describes a parsed request. A message that a backend server could read in another way (repeated
/// headers, other transfer codings) is refused. Thread safe.
std::variant<request_description, request::refusal_reason>
describe_request(const http_request& request, const http_profile& profile);

/// What a backend server is told about a request.
struct forwarding_info
{
    std::string_view server_id;
    std::string_view account; ///< Empty on an open route without a key.
    core::duration time_left{};
};

/// Returns the request as a backend server gets it: without the caller's key and without headers
/// that concern the caller's connection only. Thread safe.
http_request make_forwarded_request(const http_request& request, const http_profile& profile,
                            const forwarding_info& info);

/// Removes what belongs to the backend server's connection and its reports to the daemon. Not
/// thread safe for one message.
void remove_server_headers(http_response& response, const http_profile& profile);

/// Returns the daemon's own answer. `request_id` may be empty. Thread safe.
http_response make_refusal_response(const request::refusal& refusal, const http_profile& profile,
                           std::string_view request_id);

/// Returns the reason for a parser's error code. Thread safe.
request::refusal_reason classify_parse_error(const boost::system::error_code& error);

} // namespace zinniaferry::net
