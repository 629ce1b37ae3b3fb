/// The JSON body of a stand-in server's response. It states the path of its request and a checksum,
/// so that clients can detect responses to other requests and truncated or altered ones.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniaferry::stand_in
{

/// Result of checking a response body.
enum class body_check
{
    whole,     ///< Complete, and the response to this path.
    crossed,   ///< Complete, but the response to another path.
    truncated, ///< Incomplete, altered or not a JSON object.
    other_json ///< A JSON object without the fields of such a body, for example an error.
};

/// Returns the response body to a request for `path`, query included, with `content_bytes` of
/// content, rounded up to a multiple of 16. Thread safe.
std::string make_response_body(std::string_view request_id, std::string_view server,
                               std::string_view path, std::size_t content_bytes);

/// Checks a response body against the requested path, query included. Thread safe.
body_check check_response_body(std::string_view body, std::string_view path);

/// Returns the server that a whole response body names, or an empty string. Thread safe.
std::string find_answering_server(std::string_view body);

} // namespace zinniaferry::stand_in
