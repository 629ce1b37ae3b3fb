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

// Connection-specific headers of RFC 9110, section 7.6.1, which a proxy must not forward.
constexpr std::array<std::string_view, 8> hop_by_hop_headers = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Upgrade",    "Proxy-Connection"};

/// Larger stated times are reduced to this.
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
    // The Connection header may name further hop-by-hop headers.
    std::vector<std::string> connection_options;
    for (const auto& token : http::token_list(message[http::field::connection]))
    {
        connection_options.emplace_back(token);
    }
    for (const std::string& name : connection_options)
    {
        if (!boost::beast::iequals(name, "close") && !boost::beast::iequals(name, "keep-alive"))
        {
            message.erase(name);
        }
    }
    for (const std::string_view name : hop_by_hop_headers)
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

std::string_view read_caller_key(const http_request& request, const http_profile& profile)
{
    const std::string_view value = header_value(request.base(), profile.key_header);
    const std::string_view scheme = profile.key_scheme;
    const bool has_scheme =
        value.size() >= scheme.size() &&
        boost::beast::iequals(beast_view(value.substr(0, scheme.size())), beast_view(scheme));
    return has_scheme ? value.substr(scheme.size()) : std::string_view();
}

// Formats seconds with three decimals, rounded up because a caller that retries too early is
// refused again.
std::string format_retry_after(core::duration time)
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
         {std::string_view(profile.key_header), std::string_view(profile.time_left_header),
          std::string_view(profile.request_id_header), std::string_view("Host"),
          std::string_view("Content-Length"), std::string_view("Transfer-Encoding")})
    {
        if (is_repeated(request, name))
        {
            return refusal_reason::bad_request;
        }
    }
    // The parser treats a request with another transfer coding as one without a body, and would
    // parse the body as the next request.
    const std::string_view coding = header_value(request.base(), "Transfer-Encoding");
    const bool is_supported =
        coding.empty() || boost::beast::iequals(beast_view(coding), "chunked");
    // A TRACE request has no body, and a server may take one for the next request.
    const bool has_trace_body = request.method() == http::verb::trace && !request.body().empty();
    if (!is_supported || has_trace_body || !request.target().starts_with("/"))
    {
        return refusal_reason::bad_request;
    }
    request_description out;
    out.id = header_value(request.base(), profile.request_id_header);
    out.host = header_value(request.base(), "Host");
    out.path = std_view(request.target());
    out.key = read_caller_key(request, profile);
    if (const std::string_view text = header_value(request.base(), profile.time_left_header);
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

forwarded_request make_forwarded_request(const http_request& request, const http_profile& profile,
                                         const forwarding_info& info)
{
    forwarded_request out(request.base());
    out.body() = {request.body().data(), request.body().size()};
    remove_hop_by_hop(out.base());
    for (const std::string_view name :
         {std::string_view(profile.key_header), std::string_view(profile.account_header),
          std::string_view(profile.expected_server_header), std::string_view("Expect")})
    {
        out.erase(beast_view(name));
    }
    if (!info.account.empty())
    {
        out.set(beast_view(profile.account_header), beast_view(info.account));
    }
    out.set(beast_view(profile.expected_server_header), beast_view(info.server_id));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(info.time_left).count();
    out.set(beast_view(profile.time_left_header), std::to_string(std::max<std::int64_t>(left, 1)));
    out.version(11);
    out.keep_alive(true);
    out.prepare_payload();
    return out;
}

void remove_server_headers(http_response& response, const http_profile& profile)
{
    remove_hop_by_hop(response.base());
    for (const std::string* name :
         {&profile.load_header, &profile.warmup_left_header, &profile.server_id_header,
          &profile.not_run_header, &profile.leaving_header, &profile.retry_after_header})
    {
        response.erase(*name);
    }
}

bool is_final_status(unsigned status)
{
    return status >= 200 && status <= 599;
}

bool is_interim_status(unsigned status)
{
    return status >= 100 && status <= 199 && status != 101;
}

bool has_body(const http_response& response, bool is_head)
{
    return !is_head && response.result() != http::status::no_content &&
           response.result() != http::status::not_modified;
}

void ensure_framed(http_response& response, bool is_head)
{
    if (has_body(response, is_head) && !response.chunked() && !response.has_content_length())
    {
        response.content_length(response.body().size());
    }
}

http_response make_refusal_response(const request::refusal& refusal, const http_profile& profile,
                                    std::string_view request_id)
{
    http_response response(http::int_to_status(request::http_status(refusal.reason)), 11);
    response.set(http::field::content_type, "application/json");
    if (!request_id.empty())
    {
        response.set(beast_view(profile.request_id_header), beast_view(request_id));
    }
    response.keep_alive(refusal.reason != refusal_reason::bad_request);
    const bool not_run = request::promises_not_run(refusal.reason);
    if (!profile.outcome_header.empty())
    {
        response.set(profile.outcome_header, not_run ? "not-run" : "unknown");
    }
    boost::json::object body = {{"error", request::to_string(refusal.reason)},
                                {"outcome", not_run ? "not_run" : "unknown"}};
    if (refusal.retry_after > core::duration::zero())
    {
        response.set(http::field::retry_after, format_retry_after(refusal.retry_after));
    }
    response.body() = boost::json::serialize(body);
    response.prepare_payload();
    return response;
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
