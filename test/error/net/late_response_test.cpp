/// Guards against taking a response that belongs to no open request for the response to one.
#include "platform/http_profile.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;
using test_support::front_end;
using test_support::one_server_configuration;
using test_support::raw_server;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

/// A load reading is younger than this when the next request needs no probe.
constexpr auto reading_lifetime = 40ms;

std::string request(const http_profile& profile, const std::string& id)
{
    return "POST /keyed HTTP/1.1\r\nHost: x\r\n" + profile.request_id_header + ": " + id + "\r\n" +
           profile.time_left_header + ": 900\r\n" + profile.key_header + ": " + profile.key_scheme +
           "secret-key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the id that a forwarded request states.
std::string id_of(const std::string& request, const http_profile& profile)
{
    const std::string name = profile.request_id_header + ": ";
    const std::size_t start = request.find(name) + name.size();
    return request.substr(start, request.find('\r', start) - start);
}

/// A complete response with the request's id as its body.
std::string echo(const std::string& request, const http_profile& profile)
{
    const std::string id = id_of(request, profile);
    const std::string signature =
        profile.signature_header.empty() ? "" : profile.signature_header + ": 1.2\r\n";
    return "HTTP/1.1 200 OK\r\n" + profile.request_id_header + ": " + id + "\r\n" + signature +
           "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

struct late_response_test : testing::TestWithParam<bool>
{
    http_profile profile = GetParam() ? platform::make_http_profile() : http_profile();
};

// Guards against a copy of an earlier response that arrives when a load probe waits for its own:
// the probe's response was then handed to the next caller as its own, or its request was lost.
TEST_P(late_response_test, a_copy_that_a_probe_receives_belongs_to_no_later_request)
{
    raw_server server([&](const std::string& message) { return echo(message, profile); });
    server.send_late_copies();
    const front_end daemon(one_server_configuration(server.address()), profile);
    for (const std::string id : {"q1", "q2", "q3"})
    {
        const std::string response = daemon.exchange(request(profile, id));
        EXPECT_THAT(response, StartsWith("HTTP/1.1 200 ")) << id;
        EXPECT_THAT(response, HasSubstr("\r\n\r\n" + id));
        std::this_thread::sleep_for(reading_lifetime);
    }
}

INSTANTIATE_TEST_SUITE_P(profiles, late_response_test, testing::Bool(),
                         [](const auto& info) { return info.param ? "platform" : "own"; });

/// A response that states no request id, as a copy of one to a caller without an id does.
struct response_without_id
{
    const char* name;
    const char* head;
};

class platform_response_without_id : public testing::TestWithParam<response_without_id>
{
};

// Guards against telling a caller that its request has not run, or sending the request again,
// because of a response that does not say to which request it belongs.
TEST_P(platform_response_without_id, does_not_decide_a_request)
{
    const http_profile profile = platform::make_http_profile();
    raw_server server("HTTP/1.1 " + std::string(GetParam().head) +
                      "\r\nContent-Length: 3\r\n\r\nold");
    const front_end daemon(one_server_configuration(server.address()), profile);
    const std::string response = daemon.exchange(request(profile, "q1"));
    EXPECT_THAT(response, StartsWith("HTTP/1.1 502 "));
    EXPECT_THAT(response, Not(HasSubstr("old")));
    EXPECT_EQ(server.received().find("POST"), server.received().rfind("POST"));
}

INSTANTIATE_TEST_SUITE_P(
    statuses, platform_response_without_id,
    testing::Values(response_without_id{"not_run", "503 Busy\r\nX-Zinniaferry-Not-Executed: 1"},
                    response_without_id{"wrong_server", "421 Misdirected Request"},
                    response_without_id{"failure", "500 Internal Server Error"}),
    [](const auto& info) { return std::string(info.param.name); });

} // namespace
} // namespace zinniaferry::net
