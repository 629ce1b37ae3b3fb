#include "net/backend_selection.hpp"

#include "support/canned_server.hpp"
#include "support/front_end.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

std::string health_response(const std::string& load)
{
    return "HTTP/1.1 200 OK\r\nX-Load: " + load + "\r\nContent-Length: 0\r\n\r\n";
}

http_profile test_profile()
{
    http_profile out;
    out.load_header = "X-Load";
    out.parse_load = routing::parse_positional_load;
    return out;
}

struct backend_selection_test : testing::Test
{
    void add_server(const std::string& id, const std::string& load,
                    const std::string& data_centre = "near")
    {
        servers.push_back(std::make_unique<test::canned_server>(
            std::map<std::string, std::string>{{"/health", health_response(load)}}, 1));
        add_server_at(id, servers.back()->address(), data_centre);
    }

    void add_server_at(const std::string& id, const std::string& address,
                       const std::string& data_centre = "near")
    {
        const routing::listed_backend listed = {
            .id = id, .service = "s", .address = address, .data_centre = data_centre, .slots = 2};
        apply_server_listing(test_gateway, listed, core::boot_clock_now());
    }

    std::string select_server(std::span<const routing::backend_pointer> excluded = {})
    {
        const selection_criteria criteria = {
            .service = "s", .excluded = excluded, .deadline = core::boot_clock_now() + 1s};
        std::string out = "none";
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const backend_selection selection = co_await select_backend(test_gateway, criteria);
                out = selection.selected ? selection.selected->server->listed.id : "none";
            },
            asio::detached);
        io.run();
        io.restart();
        return out;
    }

    // Selects a server and keeps the connection, as a request does. Does not wait for the timers of
    // idle connections. Returns whether a server was selected.
    bool use_server()
    {
        const selection_criteria criteria = {.service = "s",
                                             .deadline = core::boot_clock_now() + 1s};
        std::optional<backend_selection> selection;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            { selection = co_await select_backend(test_gateway, criteria); },
            asio::detached);
        while (!selection)
        {
            io.run_one();
        }
        if (!selection->selected)
        {
            return false;
        }
        const connected_backend& selected = *selection->selected;
        test_gateway.backend_connections.put_back(*selected.server, selected.connection);
        return true;
    }

    asio::io_context io;
    gateway test_gateway{
        io, test_profile(), {.vm = "vm-1", .data_centre = "near", .log = {.enabled = false}}};
    std::vector<std::unique_ptr<test::canned_server>> servers;
};

// Guards against sending a request to a full or slow server while other servers of the service are
// idle.
TEST_F(backend_selection_test, more_candidates_are_probed_when_the_first_are_full_or_slow)
{
    add_server("full", "2,1,2,100");
    add_server("slow", "0,0,2,500");
    // The first two candidates are in the daemon's own data centre.
    add_server("idle", "0,0,2,100", "far");
    EXPECT_EQ(select_server(), "idle");
}

// Guards against waiting for an unreachable server, and against a request without a server while
// another one is reachable.
TEST_F(backend_selection_test, unreachable_servers_are_skipped)
{
    add_server_at("gone", "127.0.0.1:1");
    EXPECT_EQ(select_server(), "none");
    EXPECT_EQ(test_gateway.backends.by_id.at("gone")->state, routing::backend_state::suspect);
    add_server("good", "0,0,2,100");
    EXPECT_EQ(select_server(), "good");
}

// Guards against sending a request to a server that has just reported a full queue. It could happen
// when its load reading became too old while the selection waited for a silent candidate.
TEST_F(backend_selection_test, a_full_server_stays_full_while_a_silent_one_is_waited_for)
{
    add_server("full", "2,4,2,100");
    asio::ip::tcp::acceptor silent(io, {asio::ip::make_address("127.0.0.1"), 0});
    add_server_at("silent", "127.0.0.1:" + std::to_string(silent.local_endpoint().port()));
    EXPECT_EQ(select_server(), "none");
    add_server("far", "2,4,2,100", "far");
    EXPECT_EQ(select_server(), "none");
}

// Guards against probes and connections of which a calm service has no use: each selection probed
// four servers.
TEST_F(backend_selection_test, calm_services_get_two_probes_a_selection_on_idle_connections)
{
    constexpr std::uint64_t requests = 40;
    constexpr std::uint64_t server_count = 6;
    std::vector<std::unique_ptr<test_support::raw_server>> calm_servers;
    for (std::uint64_t i = 0; i < server_count; ++i)
    {
        calm_servers.push_back(std::make_unique<test_support::raw_server>(""));
        add_server_at(std::to_string(i), calm_servers.back()->address());
    }
    for (std::uint64_t i = 0; i < requests; ++i)
    {
        test_gateway.backends.service_states["s"].load = {.busy_fraction = 0.0,
                                                          .updated_at = core::boot_clock_now()};
        EXPECT_TRUE(use_server());
    }
    const auto& counters = test_gateway.backend_connections.counters;
    EXPECT_LE(counters.probes.at(static_cast<std::size_t>(probe_purpose::selection)), 2 * requests);
    EXPECT_LE(counters.connections, 2 * server_count);
    EXPECT_GT(counters.reused, 0U);
}

// Guards against probes that follow the requests without a bound: in a burst, each server got more
// probes than the operators allow.
TEST_F(backend_selection_test, a_burst_of_requests_sends_no_more_probes_than_the_budget)
{
    constexpr double rate = 5.0;
    test_gateway.probe_budget.options.rate_per_server = rate;
    test_support::raw_server first("");
    test_support::raw_server second("");
    add_server_at("first", first.address());
    add_server_at("second", second.address());
    const core::time_point started = core::boot_clock_now();
    constexpr int requests = 200;
    int selected = 0;
    for (int i = 0; i < requests; ++i)
    {
        selected += select_server() == "none" ? 0 : 1;
    }
    // A daemon starts with the probes of one second, and a selection may exceed what is left.
    const double seconds = core::to_seconds(core::boot_clock_now() - started) + 1.0;
    const auto& probes = test_gateway.backend_connections.counters.probes;
    EXPECT_LE(probes.at(static_cast<std::size_t>(probe_purpose::selection)),
              rate * 2.0 * seconds + 4.0);
    EXPECT_GT(test_gateway.counters.unprobed_selections, 0U);
    EXPECT_EQ(selected, requests);
}

} // namespace
} // namespace zinniaferry::net
