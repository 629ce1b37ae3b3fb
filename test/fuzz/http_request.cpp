// Fuzzes a caller's bytes through the parser and the rules of the front end. Guards against input
// that crashes, and against a credential or a connection header that reaches a backend server.
#include "fuzz/fuzz_target.hpp"
#include "net/message_rules.hpp"

using namespace zinniaferry;

namespace
{

void check_forwarded(const net::http_request& request)
{
    for (const std::string_view name :
         {net::key_header, net::deadline_header, net::first_sent_header, net::account_header,
          net::request_id_header, std::string_view("Connection"), std::string_view("Upgrade")})
    {
        fuzz::require(net::header_value(request.base(), name).empty(),
                      "no header of the caller's connection is forwarded");
    }
}

void check_description(const net::http_request& request)
{
    const auto described = net::describe_request(request);
    const auto* known = std::get_if<node::request_description>(&described);
    if (known == nullptr)
    {
        return;
    }
    fuzz::require(known->path.starts_with("/"), "a target is a path");
    fuzz::require(!known->time_allowed || *known->time_allowed >= core::duration::zero(),
                  "a deadline is not negative");
    net::http_request forwarded = request;
    net::remove_caller_headers(forwarded);
    check_forwarded(forwarded);
    forwarded.version(11);
    forwarded.keep_alive(true);
    forwarded.prepare_payload();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    net::http::request_parser<net::http::string_body> parser;
    parser.header_limit(net::max_header_bytes);
    parser.body_limit(net::max_request_body_bytes);
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
        const node::refusal refusal = {.error = net::classify_parse_error(error)};
        const net::http_response answer = net::make_refusal(refusal, 11, false);
        fuzz::require(answer.result_int() >= 400, "a parse error is refused");
    }
    else if (parser.is_done())
    {
        check_description(parser.get());
    }
    return 0;
}
