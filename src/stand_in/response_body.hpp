/// The body of a stand-in server's answer: it names its request, so that callers can tell crossed
/// and truncated answers.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace zinniaferry::stand_in
{

enum class body_check
{
    whole,     ///< Complete, and the answer to this path.
    crossed,   ///< Complete, but the answer to another path.
    truncated, ///< Not complete, or changed on the way.
    other_json    ///< A JSON object without the fields of an answer, such as an error.
};

/// Returns the body of an answer with about `padding_bytes` of content. Thread safe.
std::string make_response_body(std::string_view request_id, std::string_view server, std::string_view path,
                        std::size_t content_bytes);

/// Checks a body against the path that was asked for. Thread safe.
body_check check_response_body(std::string_view body, std::string_view path);

} // namespace zinniaferry::stand_in
