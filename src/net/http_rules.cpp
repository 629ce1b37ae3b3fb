#include "net/http_rules.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace zinniaferry::net
{

namespace
{

// Connection-specific headers of RFC 9110, section 7.6.1; they never pass a proxy.
constexpr std::array<std::string_view, 8> hop_by_hop = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Upgrade",    "Proxy-Connection"};

constexpr std::int64_t max_deadline_ms = 600'000;

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template <class Message>
void remove_hop_by_hop(Message& message)
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
        message.erase(boost::beast::string_view(name.data(), name.size()));
    }
}

// Returns nothing for text that is not a whole number in [0, limit].
std::optional<std::int64_t> parse_number(std::string_view text, std::int64_t limit)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > limit)
    {
        return std::nullopt;
    }
    return value;
}

std::size_t count_header(const http_request& request, std::string_view name)
{
    const auto range = request.equal_range(boost::beast::string_view(name.data(), name.size()));
    return static_cast<std::size_t>(std::distance(range.first, range.second));
}

} // namespace

std::string_view header_value(const http_request::header_type& message, std::string_view name)
{
    return view(message[boost::beast::string_view(name.data(), name.size())]);
}

std::string_view header_value(const http_response::header_type& message, std::string_view name)
{
    return view(message[boost::beast::string_view(name.data(), name.size())]);
}

std::variant<node::request_description, node::request_error>
describe_request(const http_request& request)
{
    // A repeated header would let the daemon and a backend server read different values.
    for (const std::string_view name :
         {key_header, deadline_header, idempotency_header, first_sent_header,
          std::string_view("Host"), std::string_view("Content-Length"),
          std::string_view("Transfer-Encoding")})
    {
        if (count_header(request, name) > 1)
        {
            return node::request_error::bad_request;
        }
    }
    // The parser reads a request with another transfer coding as one without a body, and would
    // take the body for the next request.
    const std::string_view coding = header_value(request, "Transfer-Encoding");
    const bool readable = coding.empty() || boost::beast::iequals(coding, "chunked");
    if (!readable || !request.target().starts_with("/"))
    {
        return node::request_error::bad_request;
    }
    node::request_description out;
    out.path = view(request.target());
    out.presented_key = header_value(request, key_header);
    out.idempotency_key = header_value(request, idempotency_header);
    if (const std::string_view text = header_value(request, deadline_header); !text.empty())
    {
        const auto ms = parse_number(text, max_deadline_ms);
        if (!ms)
        {
            return node::request_error::bad_request;
        }
        out.time_allowed = std::chrono::milliseconds(*ms);
    }
    if (const std::string_view text = header_value(request, first_sent_header); !text.empty())
    {
        const auto ms = parse_number(text, std::numeric_limits<std::int64_t>::max());
        if (!ms)
        {
            return node::request_error::bad_request;
        }
        out.first_sent = core::unix_time(std::chrono::milliseconds(*ms));
    }
    return out;
}

void remove_caller_headers(http_request& request)
{
    remove_hop_by_hop(request);
    for (const std::string_view name :
         {key_header, deadline_header, first_sent_header, account_header, request_id_header})
    {
        request.erase(boost::beast::string_view(name.data(), name.size()));
    }
    request.erase(http::field::expect);
}

void remove_server_headers(http_response& answer)
{
    remove_hop_by_hop(answer);
    answer.erase(boost::beast::string_view(load_header.data(), load_header.size()));
}

http_response make_refusal(const node::refusal& refusal, unsigned http_version, bool keep_alive)
{
    http_response answer(http::int_to_status(node::http_status(refusal.error)), http_version);
    answer.keep_alive(keep_alive);
    answer.set(http::field::content_type, "application/json");
    answer.set("X-Zinnia-Outcome", refusal.ran == node::run_state::not_run ? "not-run" : "unknown");
    if (refusal.retry_after > core::duration::zero())
    {
        // Retry-After counts whole seconds; rounding down would invite a caller too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
        answer.set(http::field::retry_after, std::to_string(seconds.count()));
    }
    boost::json::object body = {{"error", node::to_string(refusal.error)},
                                {"outcome", node::to_string(refusal.ran)}};
    if (refusal.retry_after > core::duration::zero())
    {
        body["retry_after_ms"] =
            std::chrono::ceil<std::chrono::milliseconds>(refusal.retry_after).count();
    }
    answer.body() = boost::json::serialize(body);
    answer.prepare_payload();
    return answer;
}

node::request_error classify_parse_error(const boost::system::error_code& error)
{
    if (error == http::error::header_limit)
    {
        return node::request_error::headers_too_large;
    }
    if (error == http::error::body_limit)
    {
        return node::request_error::body_too_large;
    }
    if (error == boost::beast::error::timeout)
    {
        return node::request_error::slow_request;
    }
    return node::request_error::bad_request;
}

} // namespace zinniaferry::net
