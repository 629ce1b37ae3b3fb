#include "net/notice_headers.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <optional>
#include <string_view>

namespace zinniaferry::net
{

namespace
{

namespace http = boost::beast::http;

constexpr std::string_view leaving_value = "1";
/// Longer values are read as this; the decision logic has a lower bound.
constexpr double max_seconds = 1e6;
/// Bytes of a value that is not valid in the log.
constexpr std::size_t max_logged_value_bytes = 64;

std::optional<core::duration> parse_seconds(std::string_view text)
{
    double seconds = 0.0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, seconds);
    if (error != std::errc() || parsed != end || !std::isfinite(seconds) || seconds < 0.0)
    {
        return std::nullopt;
    }
    return core::from_seconds(std::min(seconds, max_seconds));
}

// Calls `accept` with the value of the header, if there is one. Records the header as ignored if it
// is repeated or `accept` returns false.
template <class Accept>
void read_header(const http::fields& headers, const std::string& name, parsed_notice& out,
                 const Accept& accept)
{
    const auto [begin, end] = headers.equal_range(name);
    if (begin == end)
    {
        return;
    }
    const std::string_view value(begin->value().data(), begin->value().size());
    if (std::next(begin) != end || !accept(value))
    {
        out.ignored.push_back({name, std::string(value.substr(0, max_logged_value_bytes))});
    }
}

} // namespace

parsed_notice parse_notice(const http::response_header<>& response, const http_profile& profile)
{
    parsed_notice out;
    read_header(response, profile.leaving_header, out,
                [&](std::string_view value)
                {
                    out.notice.leaving = value == leaving_value;
                    return out.notice.leaving;
                });
    if (response.result() == http::status::service_unavailable)
    {
        read_header(response, profile.retry_after_header, out,
                    [&](std::string_view value)
                    {
                        out.notice.retry_after = parse_seconds(value);
                        return out.notice.retry_after.has_value();
                    });
    }
    return out;
}

} // namespace zinniaferry::net
