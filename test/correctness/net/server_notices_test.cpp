#include "support/canned_server.hpp"
#include "support/front_end.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

constexpr const char* request = "GET /open HTTP/1.1\r\nHost: x\r\nX-Zinnia-Request-Id: q1\r\n"
                                "X-Zinnia-Deadline-Ms: 400\r\nConnection: close\r\n\r\n";
constexpr const char* leaving_response =
    "HTTP/1.1 200 OK\r\nX-Zinnia-Leaving: 1\r\nContent-Length: 5\r\n\r\nhello";
constexpr const char* not_run_response =
    "HTTP/1.1 503 Busy\r\nRetry-After: 30.5\r\nX-Zinnia-Outcome: not-run\r\n"
    "Content-Length: 0\r\n\r\n";

std::size_t count(const std::string& text, std::string_view part)
{
    std::size_t out = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    {
        ++out;
    }
    return out;
}

/// Returns the only server's beliefs.
routing::server_beliefs beliefs_of(front_end& daemon)
{
    routing::server_beliefs out;
    daemon.run_on_io_thread(
        [&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
        {
            const auto& by_id = sessions.gateway.backends.notices.by_id;
            out = by_id.contains("s-1") ? by_id.at("s-1") : routing::server_beliefs();
        });
    return out;
}

std::uint64_t selection_count(front_end& daemon)
{
    std::uint64_t out = 0;
    daemon.run_on_io_thread([&](caller_sessions& sessions, asio::ip::tcp::acceptor&)
                            { out = sessions.gateway.counters.selections; });
    return out;
}

// Guards against further requests to a server that leaves, and against its header at the caller.
TEST(server_notices, a_leaving_server_gets_no_further_request)
{
    raw_server server(leaving_response);
    front_end daemon(one_server_configuration(server.address()));
    const std::string first = daemon.exchange(request);
    EXPECT_THAT(first, StartsWith("HTTP/1.1 200 "));
    EXPECT_THAT(first, Not(HasSubstr("X-Zinnia-Leaving")));
    const std::string second = daemon.exchange(request);
    EXPECT_THAT(second, StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(second, HasSubstr("\r\nRetry-After: "));
    EXPECT_THAT(second, HasSubstr("no_server"));
    EXPECT_EQ(count(server.received(), "GET /open"), 1U);
    EXPECT_EQ(beliefs_of(daemon).leaving->source, routing::notice_source::request);
}

// Guards against requests that are held or sent while the only server wants nothing, and against
// telling callers an earlier time than the server's.
TEST(server_notices, a_server_that_wants_nothing_gets_no_further_request)
{
    raw_server server(not_run_response);
    front_end daemon(one_server_configuration(server.address()));
    for (int i = 0; i < 3; ++i)
    {
        const std::string response = daemon.exchange(request);
        EXPECT_THAT(response, StartsWith("HTTP/1.1 503 "));
        EXPECT_THAT(response, HasSubstr("\"outcome\":\"not_run\""));
        constexpr std::string_view name = "\r\nRetry-After: ";
        const std::size_t at = response.find(name);
        ASSERT_NE(at, std::string::npos);
        EXPECT_GT(std::stod(response.substr(at + name.size())), 20.0);
    }
    // The first request may select again after the server has refused it; the others select once.
    EXPECT_LE(selection_count(daemon), 4U);
    EXPECT_EQ(count(server.received(), "GET /open"), 1U);
}

// Guards against a promise that a request has not run, which its server did not give.
TEST(server_notices, a_request_turned_away_without_a_statement_counts_as_run)
{
    raw_server server("HTTP/1.1 503 Busy\r\nRetry-After: 30\r\nContent-Length: 4\r\n\r\nbusy");
    front_end daemon(one_server_configuration(server.address()));
    const std::string response = daemon.exchange(request);
    EXPECT_THAT(response, HasSubstr("\r\n\r\nbusy"));
    EXPECT_THAT(response, Not(HasSubstr("Retry-After")));
    EXPECT_TRUE(beliefs_of(daemon).retry_later);
}

// Guards against retries and further requests at a server that wants nothing beside one that works.
TEST(server_notices, the_other_servers_take_the_requests)
{
    raw_server paused(not_run_response);
    raw_server working("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    std::string configuration = one_server_configuration(paused.address());
    const std::string end = paused.address() + R"("})";
    configuration.replace(configuration.find(end), end.size(),
                          end + R"(, {"name": "s-2", "data_centre": "dc", "address": ")" +
                              working.address() + R"("})");
    const front_end daemon(configuration);
    for (int i = 0; i < 4; ++i)
    {
        EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 200 "));
    }
    EXPECT_LE(count(paused.received(), "GET /open"), 1U);
    EXPECT_EQ(count(working.received(), "GET /open"), 4U);
}

// Guards against ignoring a notice on a response to an earlier request.
TEST(server_notices, a_late_response_counts)
{
    raw_server server("HTTP/1.1 200 OK\r\nX-Zinnia-Request-Id: q0\r\nX-Zinnia-Leaving: 1\r\n"
                      "Content-Length: 0\r\n\r\n"
                      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    front_end daemon(one_server_configuration(server.address()));
    EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 200 "));
    EXPECT_EQ(beliefs_of(daemon).leaving->source, routing::notice_source::late_response);
}

// Guards against ignoring a notice on a response that is not complete when its caller gives up.
TEST(server_notices, a_response_that_nobody_waits_for_counts)
{
    raw_server server("HTTP/1.1 200 OK\r\nX-Zinnia-Leaving: 1\r\nContent-Length: 9\r\n\r\nhello");
    front_end daemon(one_server_configuration(server.address()));
    EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 504 "));
    EXPECT_EQ(beliefs_of(daemon).leaving->source, routing::notice_source::late_response);
}

// Guards against ignoring a notice on the response to a load probe.
TEST(server_notices, a_load_probe_counts)
{
    test::canned_server server({{"/health", "HTTP/1.1 503 Busy\r\nRetry-After: 30\r\n"
                                            "Content-Length: 0\r\n\r\n"}},
                               4);
    front_end daemon(one_server_configuration(server.address()));
    EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 503 "));
    EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 503 "));
    EXPECT_EQ(beliefs_of(daemon).retry_later->source, routing::notice_source::load_probe);
    EXPECT_EQ(count(server.requests(), "GET "), 1U);
}

// Guards against ignoring a notice on the response to a trial probe, and against beliefs whose
// start, end or unusable header is not in the log.
TEST(server_notices, a_trial_probe_counts_and_is_logged)
{
    test::canned_server server({{"/health", "HTTP/1.1 503 Busy\r\nX-Zinnia-Leaving: yes\r\n"
                                            "Retry-After: 2\r\nContent-Length: 0\r\n\r\n"}},
                               4);
    testing::internal::CaptureStdout();
    {
        asio::io_context io;
        gateway daemon(io, {}, {.vm = "vm-1"});
        const core::time_point now = core::boot_clock_now();
        apply_server_listing(
            daemon, {.id = "a", .service = "s", .address = server.address(), .incarnation = 7},
            now);
        routing::on_sent(*daemon.backends.by_id.at("a"));
        routing::on_failed(*daemon.backends.by_id.at("a"), routing::failure_kind::unreachable, now);
        maintain(daemon, now + 1s);
        io.run();
        maintain(daemon, now + 60s);
    }
    const std::string log = testing::internal::GetCapturedStdout();
    const std::string belief =
        R"("server":"a","incarnation":7,"notice":"retry_later","source":"trial_probe")";
    EXPECT_THAT(log, HasSubstr(R"("notice_ignored","server":"a","incarnation":7)"));
    EXPECT_THAT(log, HasSubstr(R"("kind":"notice_began",)" + belief));
    EXPECT_THAT(log, HasSubstr(R"("kind":"notice_ended",)" + belief));
    EXPECT_THAT(log, testing::ContainsRegex(R"("age_ms":2E3,"why":"time_passed")"));
}

// Guards against a trial probe of a server whose notice arrives while the probe connects.
TEST(server_notices, a_notice_while_a_trial_probe_connects_counts)
{
    test::canned_server server({{"/health", leaving_response}}, 1);
    asio::io_context io;
    gateway daemon(io, {}, {.vm = "vm-1", .log = {.enabled = false}});
    const core::time_point now = core::boot_clock_now();
    apply_server_listing(daemon, {.id = "a", .service = "s", .address = server.address()}, now);
    routing::on_sent(*daemon.backends.by_id.at("a"));
    routing::on_failed(*daemon.backends.by_id.at("a"), routing::failure_kind::unreachable, now);
    maintain(daemon, now + 1s);
    record_server_notice(daemon, {"a", 0}, {.notice = {.leaving = true}},
                         routing::notice_source::late_response);
    io.run();
    EXPECT_EQ(daemon.backend_connections.counters.connections, 1U);
    EXPECT_EQ(server.requests(), "");
}

// Guards against sending a request to a server that says during its selection that it leaves.
TEST(server_notices, a_notice_during_a_selection_counts)
{
    raw_server server(leaving_response);
    front_end daemon(one_server_configuration(server.address()));
    server.on_health_check(
        [&]
        {
            daemon.run_on_io_thread(
                [](caller_sessions& sessions, asio::ip::tcp::acceptor&)
                {
                    record_server_notice(sessions.gateway, {"s-1", 0},
                                         {.notice = {.leaving = true}},
                                         routing::notice_source::late_response);
                });
        });
    EXPECT_THAT(daemon.exchange(request), StartsWith("HTTP/1.1 503 "));
    EXPECT_EQ(server.received(), "");
}

// Guards against a request to a replaced server on a connection that was opened to it: the new one
// has the same id, at the same or another address.
TEST(server_notices, an_idle_connection_is_not_used_for_a_later_lifetime)
{
    raw_server server("");
    asio::io_context io;
    const http_profile profile;
    backend_connection_pool pool(io, profile);
    routing::backend first{.listed = {.id = "a", .address = server.address(), .incarnation = 1},
                           .state = routing::backend_state::serving};
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void>
        {
            for (int i = 0; i < 2; ++i)
            {
                backend_connection_pointer connection = co_await pool.connect(first);
                connection->reusable = true;
                connection->keep_alive_timeout = 60s;
                connection->last_response_at = core::boot_clock_now();
                pool.put_back(first, connection);
            }
        },
        asio::detached);
    io.run();
    ASSERT_EQ(pool.idle_count(), 2U);
    EXPECT_NE(pool.take_idle(first, {}), nullptr);
    routing::backend second = first;
    second.listed.incarnation = 2;
    EXPECT_EQ(pool.take_idle(second, {}), nullptr);
}

} // namespace
} // namespace zinniaferry::net
