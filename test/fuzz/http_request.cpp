// Fuzzes the parsing and forwarding of callers' requests. Guards against input that crashes the
// daemon, and against a caller's key, account or hop-by-hop header that reaches a backend server.
#include "fuzz/fuzz_target.hpp"
#include "net/message_rules.hpp"

using namespace zinniaferry;

namespace
{

const net::http_profile profile;

void check_description(const net::http_request& request)
{
    const auto described = net::describe_request(request, profile);
    const auto* known = std::get_if<net::request_description>(&described);
    if (known == nullptr)
    {
        return;
    }
    fuzz::require(known->path.starts_with("/"), "the target of a valid request must be a path");
    fuzz::require(!known->time_left || *known->time_left >= core::duration::zero(),
                  "the remaining time must not be negative");
    const net::forwarded_request forwarded = net::make_forwarded_request(
        request, profile, {.server_id = "s-1", .time_left = std::chrono::seconds(1)});
    for (const std::string& name :
         {profile.key_header, profile.account_header, std::string("Connection"),
          std::string("Upgrade"), std::string("Expect")})
    {
        fuzz::require(net::header_value(forwarded.base(), name).empty(),
                      "the caller's key, account and hop-by-hop headers must not be forwarded");
    }
    const std::string_view body(forwarded.body().data(), forwarded.body().size());
    fuzz::require(body == request.body(), "the body must be forwarded unchanged");
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    net::http::request_parser<net::http::string_body> parser;
    parser.header_limit(net::max_header_bytes);
    parser.body_limit(net::max_response_body_bytes);
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!error && !parser.is_done() && used < size)
    {
        const std::size_t step = parser.put(boost::asio::buffer(data + used, size - used), error);
        used += step;
        if (step == 0)
        {
            break;
        }
    }
    if (error && error != net::http::error::need_more)
    {
        const request::refusal refusal = {.reason = net::classify_parse_error(error)};
        const net::http_response response = net::make_refusal_response(refusal, profile, {});
        fuzz::require(response.result_int() >= 400,
                      "a parse error must be refused with a 4xx or 5xx status");
    }
    else if (parser.is_done())
    {
        check_description(parser.get());
    }
    return 0;
}
