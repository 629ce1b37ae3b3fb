/// Reads what a backend server says of itself from the headers of a response.
#pragma once

#include "net/http_profile.hpp"
#include "routing/server_notices.hpp"

#include <boost/beast/http/message.hpp>

#include <string>
#include <vector>

namespace zinniaferry::net
{

/// A header whose value is not valid.
struct ignored_header
{
    std::string name;
    std::string value; ///< Of the first header of the name, shortened for the log.
};

struct parsed_notice
{
    routing::server_notice notice;
    std::vector<ignored_header> ignored; ///< Empty if all notice headers are valid.
};

/// Returns what the response says of its server. A value that is not a finite number of seconds of
/// at least 0, or for leaving not "1", and a repeated header are ignored. Thread safe.
parsed_notice parse_notice(const boost::beast::http::response_header<>& response,
                           const http_profile& profile);

} // namespace zinniaferry::net
