/// Rules for the HTTP messages that the daemon proxies: validation of requests, removed and added
/// headers, and the daemon's own responses.
#pragma once

#include "net/http_profile.hpp"
#include "request/refusal.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace zinniaferry::net
{

namespace http = boost::beast::http;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
/// A request to a backend server. It refers to the body of the caller's request, as a copy for each
/// attempt would multiply the memory that the request takes.
using forwarded_request = http::request<http::span_body<const char>>;

/// Limit for the headers of backend servers' responses and of status requests, and for the bodies
/// of probe responses and of status requests.
inline constexpr std::uint32_t max_header_bytes = 16U * 1024U;
/// Limit for the bytes that a connection has read and not parsed. The parser limits headers and
/// bodies, but not the extensions and the trailer of a chunked body, which may have no end. Above
/// max_header_bytes, so that the parser reports headers that are too large.
inline constexpr std::size_t max_unparsed_bytes = 64UL * 1024UL;
/// Limit for the bodies of backend servers' responses.
inline constexpr std::uint64_t max_response_body_bytes = 16ULL * 1024 * 1024;

/// Returns the value of a header, empty if absent. The view is valid while the message is not
/// modified. Thread safe while no thread modifies the message.
std::string_view header_value(const http::fields& message, std::string_view name);

/// The parts of a request that the daemon uses. The views are valid while the message is not
/// modified.
struct request_description
{
    std::string_view id;   ///< Of the request; empty if the caller stated none.
    std::string_view host; ///< May include a port.
    std::string_view path; ///< Request target, with the query.
    std::string_view key;  ///< Key of a client account; empty if the caller presented none.
    std::optional<core::duration> time_left; ///< Time that the caller waits, from the arrival.
};

/// Validates a parsed request and extracts its description. Refuses a message that a backend server
/// could interpret differently (repeated headers, unsupported transfer codings, TRACE with a body).
/// Thread safe.
std::variant<request_description, request::refusal_reason>
describe_request(const http_request& request, const http_profile& profile);

/// Values of the headers that the daemon adds to a forwarded request.
struct forwarding_info
{
    std::string_view server_id; ///< Of the intended backend server.
    std::string_view account;   ///< Empty on an open route without a key.
    core::duration time_left{}; ///< Until the deadline of the response.
};

/// Returns the request as it is sent to a backend server: without the caller's key and hop-by-hop
/// headers, and with the headers of `info`. Precondition: `request` outlives the result. Thread
/// safe.
forwarded_request make_forwarded_request(const http_request& request, const http_profile& profile,
                                         const forwarding_info& info);

/// Removes the hop-by-hop headers and those that a backend server sends to the daemon only, such as
/// its load and how long it wants nothing. Not thread safe.
void remove_server_headers(http_response& response, const http_profile& profile);

/// Returns whether a response with the status may be the final one to a request. 101 is none, as no
/// request asks for another protocol, and statuses beyond the defined classes have no meaning that
/// a caller could rely on. Thread safe.
bool is_final_status(unsigned status);

/// Returns whether another response follows one with the status. Thread safe.
bool is_interim_status(unsigned status);

/// Returns whether a response has a body, whatever length or coding its header states. `is_head` is
/// whether it responds to a HEAD request. Thread safe.
bool has_body(const http_response& response, bool is_head);

/// States the length of a response that would otherwise end with its connection, as the caller
/// could not tell a response that is cut off when the daemon ends from a complete one. `is_head` is
/// whether it responds to a HEAD request. Precondition: the body is complete. Not thread safe.
void ensure_framed(http_response& response, bool is_head);

/// Returns the response to a refused request. `request_id` may be empty. Thread safe.
http_response make_refusal_response(const request::refusal& refusal, const http_profile& profile,
                                    std::string_view request_id);

/// Returns the refusal reason for an error code of the HTTP parser. Thread safe.
request::refusal_reason classify_parse_error(const boost::system::error_code& error);

} // namespace zinniaferry::net
