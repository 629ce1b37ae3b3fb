#include "net/message_rules.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace zinniaferry::net
{

namespace
{

using request::refusal_reason;

// Connection-specific headers of RFC 9110, section 7.6.1; they never pass a proxy.
constexpr std::array<std::string_view, 8> hop_by_hop = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Upgrade",    "Proxy-Connection"};

constexpr std::int64_t max_time_left_ms = 600'000;

boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

void remove_hop_by_hop(http::fields& message)
{
    // The Connection header may name further headers that end here.
    std::vector<std::string> named;
    for (const auto& token : http::token_list(message[http::field::connection]))
    {
        named.emplace_back(token);
    }
    for (const std::string& name : named)
    {
        if (!boost::beast::iequals(name, "close") && !boost::beast::iequals(name, "keep-alive"))
        {
            message.erase(name);
        }
    }
    for (const std::string_view name : hop_by_hop)
    {
        message.erase(beast_view(name));
    }
}

std::optional<std::int64_t> parse_milliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed != end || value < 0)
    {
        return std::nullopt;
    }
    return std::min(value, max_time_left_ms);
}

bool is_repeated(const http_request& request, std::string_view name)
{
    const auto range = request.equal_range(beast_view(name));
    return std::distance(range.first, range.second) > 1;
}

std::string_view read_key(const http_request& request, const http_profile& profile)
{
    const std::string_view value = header_value(request.base(), profile.key);
    const std::string_view scheme = profile.key_scheme;
    const bool fits =
        value.size() >= scheme.size() &&
        boost::beast::iequals(beast_view(value.substr(0, scheme.size())), beast_view(scheme));
    return fits ? value.substr(scheme.size()) : std::string_view();
}

// Seconds with three decimals, rounded up: a caller that comes back too early is refused again.
std::string print_retry_after(core::duration time)
{
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(time).count();
    std::string fraction = std::to_string(ms % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(ms / 1000) + "." + fraction;
}

} // namespace

std::string_view header_value(const http::fields& message, std::string_view name)
{
    return std_view(message[beast_view(name)]);
}

std::variant<request_description, refusal_reason> describe_request(const http_request& request,
                                                                   const http_profile& profile)
{
    for (const std::string_view name :
         {std::string_view(profile.key), std::string_view(profile.time_left_ms),
          std::string_view(profile.request_id), std::string_view("Host"),
          std::string_view("Content-Length"), std::string_view("Transfer-Encoding")})
    {
        if (is_repeated(request, name))
        {
            return refusal_reason::bad_request;
        }
    }
    // The parser reads a request with another transfer coding as one without a body, and would
    // take the body for the next request.
    const std::string_view coding = header_value(request.base(), "Transfer-Encoding");
    const bool readable = coding.empty() || boost::beast::iequals(beast_view(coding), "chunked");
    if (!readable || !request.target().starts_with("/"))
    {
        return refusal_reason::bad_request;
    }
    request_description out;
    out.id = header_value(request.base(), profile.request_id);
    out.host = header_value(request.base(), "Host");
    out.path = std_view(request.target());
    out.key = read_key(request, profile);
    if (const std::string_view text = header_value(request.base(), profile.time_left_ms);
        !text.empty())
    {
        const auto ms = parse_milliseconds(text);
        if (!ms)
        {
            return refusal_reason::bad_request;
        }
        out.time_left = std::chrono::milliseconds(*ms);
    }
    return out;
}

http_request make_forwarded(const http_request& request, const http_profile& profile,
                            const forwarding& how)
{
    http_request out = request;
    remove_hop_by_hop(out.base());
    for (const std::string_view name :
         {std::string_view(profile.key), std::string_view(profile.account),
          std::string_view(profile.expected_server), std::string_view("Expect")})
    {
        out.erase(beast_view(name));
    }
    if (!how.account.empty())
    {
        out.set(beast_view(profile.account), beast_view(how.account));
    }
    out.set(beast_view(profile.expected_server), beast_view(how.server_id));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(how.time_left).count();
    out.set(beast_view(profile.time_left_ms), std::to_string(std::max<std::int64_t>(left, 1)));
    out.version(11);
    out.keep_alive(true);
    out.prepare_payload();
    return out;
}

void remove_server_headers(http_response& answer, const http_profile& profile)
{
    remove_hop_by_hop(answer.base());
    for (const std::string* name :
         {&profile.load, &profile.warmup_left, &profile.server_id, &profile.not_run})
    {
        answer.erase(*name);
    }
}

http_response make_refusal(const request::refusal& refusal, const http_profile& profile,
                           std::string_view request_id)
{
    http_response answer(http::int_to_status(request::http_status(refusal.reason)), 11);
    answer.set(http::field::content_type, "application/json");
    if (!request_id.empty())
    {
        answer.set(beast_view(profile.request_id), beast_view(request_id));
    }
    answer.keep_alive(refusal.reason != refusal_reason::bad_request);
    const bool not_run = request::promises_not_run(refusal.reason);
    if (!profile.outcome.empty())
    {
        answer.set(profile.outcome, not_run ? "not-run" : "unknown");
    }
    boost::json::object body = {{"error", request::to_string(refusal.reason)},
                                {"outcome", not_run ? "not_run" : "unknown"}};
    if (refusal.retry_after > core::duration::zero())
    {
        answer.set(http::field::retry_after, print_retry_after(refusal.retry_after));
    }
    answer.body() = boost::json::serialize(body);
    answer.prepare_payload();
    return answer;
}

refusal_reason classify_parse_error(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
    {
        return refusal_reason::headers_too_large;
    }
    if (error == http::error::body_limit)
    {
        return refusal_reason::body_too_large;
    }
    if (error == boost::beast::error::timeout)
    {
        return refusal_reason::slow_request;
    }
    return refusal_reason::bad_request;
}

} // namespace zinniaferry::net
