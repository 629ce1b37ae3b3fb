#include "net/target_choice.hpp"

#include "support/canned_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

std::string health(const std::string& load)
{
    return "HTTP/1.1 200 OK\r\nX-Load: " + load + "\r\nContent-Length: 0\r\n\r\n";
}

http_profile test_profile()
{
    http_profile out;
    out.load = "X-Load";
    out.parse_load = routing::parse_positional_load;
    return out;
}

struct target_choice_test : testing::Test
{
    void add(const std::string& id, const std::string& load, const std::string& where = "near")
    {
        servers.push_back(std::make_unique<test::canned_server>(
            std::map<std::string, std::string>{{"/health", health(load)}}, 1));
        add_at(id, servers.back()->address(), where);
    }

    void add_at(const std::string& id, const std::string& address,
                const std::string& where = "near")
    {
        const routing::listed_backend listed = {
            .id = id, .service = "s", .address = address, .data_centre = where, .slots = 2};
        routing::apply_listing(shared.backends, listed, core::boot_clock_now());
    }

    std::string choose(std::span<const routing::backend_pointer> excluded = {})
    {
        const target_request wanted = {
            .service = "s", .excluded = excluded, .deadline = core::boot_clock_now() + 1s};
        std::string out = "none";
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const target_choice choice = co_await choose_target(shared, wanted);
                out = choice.chosen ? choice.chosen->server->listed.id : "none";
            },
            asio::detached);
        io.run();
        io.restart();
        return out;
    }

    asio::io_context io;
    gateway shared{
        io, test_profile(), {.vm = "vm-1", .data_centre = "near", .log = {.enabled = false}}};
    std::vector<std::unique_ptr<test::canned_server>> servers;
};

// Guards against a request at a full or slow server while others of the service are idle.
TEST_F(target_choice_test, more_candidates_are_asked_when_the_first_are_full_or_slow)
{
    add("full", "2,1,2,100");
    add("slow", "0,0,2,500");
    // The first two candidates are near.
    add("idle", "0,0,2,100", "far");
    EXPECT_EQ(choose(), "idle");
}

// Guards against a request that waits for a server that does not answer, or ends without one.
TEST_F(target_choice_test, servers_that_cannot_be_reached_are_passed_over)
{
    add_at("gone", "127.0.0.1:1");
    EXPECT_EQ(choose(), "none");
    EXPECT_EQ(shared.backends.by_id.at("gone")->state, routing::backend_state::suspect);
    add("good", "0,0,2,100");
    EXPECT_EQ(choose(), "good");
}

// Guards against a reading that counts as too old by the time that a silent candidate was waited
// for, so that the request goes to a server which has just said that its queue is full.
TEST_F(target_choice_test, a_full_server_stays_full_while_others_are_waited_for)
{
    add("full", "2,4,2,100");
    asio::ip::tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0});
    add_at("silent", "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    EXPECT_EQ(choose(), "none");
    add("far", "2,4,2,100", "far");
    EXPECT_EQ(choose(), "none");
}

} // namespace
} // namespace zinniaferry::net
