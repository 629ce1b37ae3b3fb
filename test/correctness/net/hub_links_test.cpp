#include "net/hub_links.hpp"

#include "support/loopback.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <gtest/gtest.h>

#include <algorithm>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

/// A hub that grants three requests for each ask_message, after a delay.
class slow_hub
{
public:
    slow_hub(asio::io_context& io, core::duration delay)
        : io_(io), delay_(delay), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io_, serve(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    int asked = 0; ///< Requests for grants so far.

private:
    asio::awaitable<void> serve()
    {
        asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        while (true)
        {
            std::array<unsigned char, fleet::frame_length_bytes> length{};
            co_await asio::async_read(socket, asio::buffer(length), asio::use_awaitable);
            std::string body(boost::endian::load_big_u32(length.data()), '\0');
            co_await asio::async_read(socket, asio::buffer(body), asio::use_awaitable);
            const fleet::hub_message message = fleet::decode_hub_message(body).value();
            if (const auto* ask = std::get_if<fleet::ask_message>(&message))
            {
                ++asked;
                asio::steady_timer timer(io_, delay_);
                co_await timer.async_wait(asio::use_awaitable);
                co_await answer(socket, ask->number);
            }
        }
    }

    static asio::awaitable<void> answer(asio::ip::tcp::socket& socket, std::uint64_t number)
    {
        const std::string frame =
            fleet::encode_frame(fleet::grant_message{.number = number, .requests = 3});
        co_await asio::async_write(socket, asio::buffer(frame), asio::use_awaitable);
    }

    asio::io_context& io_;
    core::duration delay_;
    asio::ip::tcp::acceptor acceptor_;
};

/// A daemon that subscribes to a hub and records what the hub sends.
class subscriber
{
public:
    subscriber(asio::io_context& io, asio::ip::tcp::endpoint hub, std::uint64_t revision)
        : socket_(io)
    {
        asio::co_spawn(io, run(hub, revision), asio::detached);
    }

    fleet::replica replica;     ///< Brought up to date from the hub's updates.
    std::size_t bytes = 0;      ///< Received so far, without the lengths of the frames.
    std::size_t heartbeats = 0; ///< Updates without changes.

private:
    asio::awaitable<void> run(asio::ip::tcp::endpoint hub, std::uint64_t revision)
    {
        co_await socket_.async_connect(hub, asio::use_awaitable);
        const std::string hello =
            fleet::encode_frame(fleet::hello_message{.self = {"vm-2", "127.0.0.1:2"},
                                                     .incarnation = 2,
                                                     .revision = revision,
                                                     .accepts_compressed = true});
        co_await asio::async_write(socket_, asio::buffer(hello), asio::use_awaitable);
        while (true)
        {
            std::array<unsigned char, fleet::frame_length_bytes> length{};
            co_await asio::async_read(socket_, asio::buffer(length), asio::use_awaitable);
            std::string body(boost::endian::load_big_u32(length.data()), '\0');
            co_await asio::async_read(socket_, asio::buffer(body), asio::use_awaitable);
            bytes += body.size();
            apply(fleet::decode_hub_message(body).value());
        }
    }

    void apply(const fleet::hub_message& message)
    {
        const auto* update = std::get_if<fleet::update_message>(&message);
        if (update == nullptr)
        {
            return;
        }
        heartbeats += update->changes.empty() ? 1 : 0;
        if (update->complete)
        {
            fleet::apply_snapshot(replica, update->changes, update->revision, {}, {});
        }
        else
        {
            fleet::apply_changes(replica, update->changes, update->revision);
        }
    }

    asio::ip::tcp::socket socket_;
};

/// Text of a configuration with so many routes.
std::string large_value(std::size_t routes)
{
    std::string out;
    core::random_generator random(1);
    for (std::size_t i = 0; i < routes; ++i)
    {
        out +=
            R"({"host":"a.example","prefix":"/)" + std::to_string(random()) +
            R"(/","service":"patterns","kind":"safe","attempts":2,"timeout-s":1.5,"slo-s":0.6},)";
    }
    return out;
}

/// A hub that only sends an update with a snapshot, late.
class late_hub
{
public:
    late_hub(asio::io_context& io, core::duration delay)
        : delay_(delay), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}), timer_(io)
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::awaitable<void> serve()
    {
        asio::ip::tcp::socket socket = co_await acceptor_.async_accept(asio::use_awaitable);
        timer_.expires_after(delay_);
        co_await timer_.async_wait(asio::use_awaitable);
        const std::string frame = fleet::encode_frame(
            fleet::update_message{.revision = 1, .complete = true, .changes = {{"a", "1", 1}}});
        co_await asio::async_write(socket, asio::buffer(frame), asio::use_awaitable);
        timer_.expires_after(1h);
        co_await timer_.async_wait(asio::use_awaitable);
    }

    core::duration delay_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
};

struct hub_links_test : testing::Test
{
    hub_links_test()
    {
        callbacks.on_changes = [](const std::vector<fleet::entry_change>&) {
        };
        callbacks.on_fleet_view = [this](const fleet::fleet_view& view)
        {
            latest_view = view;
        };
        callbacks.on_primary_time = [](core::duration) {
        };
        callbacks.on_late_grant = [this](const late_grant& late)
        {
            late_account = late.account;
            late_requests += late.granted.requests;
        };
        callbacks.loads_to_state = [this]
        {
            return own_loads;
        };
        callbacks.on_fleet_load = [this](const admission::fleet_load& load)
        {
            fleet_load = load;
        };
        callbacks.selection_count = []
        {
            return std::uint64_t(0);
        };
    }

    /// Connects to the hubs and returns whether a primary hub was found.
    bool start(const std::vector<std::string>& hubs)
    {
        links = std::make_unique<hub_links>(io, fleet::member{"vm-1", "127.0.0.1:1"}, 1, replica,
                                            log, callbacks);
        links->set_seeds(hubs);
        asio::co_spawn(io, links->run(), asio::detached);
        return test::run_until(io, [&] { return latest_view.hub_reachable; });
    }

    /// Serves subscribers from `replica`, which gets the large value at revision 5.
    void serve(const std::string& large)
    {
        fleet::apply_changes(replica, {{"config", large, 5}}, 5);
        replica.complete = true;
        replica.current_as_of = core::boot_clock_now();
        links = std::make_unique<hub_links>(io, fleet::member{"vm-1", "127.0.0.1:1"}, 1, replica,
                                            log, callbacks);
        asio::co_spawn(io, links->serve(acceptor), asio::detached);
    }

    /// Asks for one grant and returns whether it came in time.
    bool ask()
    {
        std::optional<bool> granted;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void>
            {
                const auto grant = co_await links->request_grant("school");
                granted = grant.has_value();
            },
            asio::detached);
        test::run_until(io, [&] { return granted.has_value(); });
        return granted.value_or(false);
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor{io, {asio::ip::make_address("127.0.0.1"), 0}};
    fleet::replica replica;
    event_log log{{.enabled = false}};
    hub_link_callbacks callbacks;
    fleet::fleet_view latest_view;
    std::vector<fleet::stated_load> own_loads;
    admission::fleet_load fleet_load;
    std::string late_account;
    std::uint32_t late_requests = 0;
    std::unique_ptr<hub_links> links;
};

// Guards against grants that the hub has taken from the account's pool and nobody uses: a hub that
// answers late emptied the pools and the fleet refused requests within the rate.
TEST_F(hub_links_test, a_late_grant_is_used_for_later_requests)
{
    slow_hub hub(io, 60ms);
    ASSERT_TRUE(start({hub.address()}));
    EXPECT_FALSE(ask());
    EXPECT_TRUE(test::run_until(io, [&] { return late_requests == 3; }));
    EXPECT_EQ(late_account, "school");
}

// Guards against a fleet that goes on asking a hub that is too slow to answer in time.
TEST_F(hub_links_test, a_hub_that_answers_late_is_replaced_by_the_next)
{
    slow_hub slow(io, 60ms);
    slow_hub quick(io, 0ms);
    ASSERT_TRUE(start({slow.address(), quick.address()}));
    bool granted = false;
    for (int i = 0; i < 50 && !granted; ++i)
    {
        granted = ask();
    }
    EXPECT_TRUE(granted);
    EXPECT_GE(slow.asked, 1);
    EXPECT_EQ(quick.asked, 1);
}

// Guards against a storm of snapshots: subscribers that changed hubs got every entry again, the
// configuration included, although they lacked a single change.
TEST_F(hub_links_test, a_subscriber_that_lacks_one_change_does_not_get_the_configuration_again)
{
    const std::string large = large_value(1400);
    serve(large);
    fleet::apply_changes(replica, {{"server", "ready", 6}, {"gone", "ready", 4}}, 6);
    subscriber behind(io, acceptor.local_endpoint(), 5);
    fleet::apply_changes(behind.replica, {{"config", large, 5}, {"gone", "ready", 4}}, 5);
    fleet::apply_changes(replica, {{"gone", std::nullopt, 7}}, 7);
    ASSERT_TRUE(test::run_until(io, [&] { return behind.heartbeats >= 1; }));
    EXPECT_EQ(behind.replica.revision, 7U);
    EXPECT_EQ(behind.replica.entries.at("server").value, "ready");
    EXPECT_EQ(behind.replica.entries.at("config").value, large);
    EXPECT_FALSE(behind.replica.entries.contains("gone"));
    EXPECT_LT(behind.bytes, large.size() / 20);
}

// Guards against full links: each new version of a large configuration was sent to every subscriber
// as it is, so that the links of hubs were full for seconds and cut them off.
TEST_F(hub_links_test, a_large_configuration_takes_a_fraction_of_its_size_on_the_link)
{
    const std::string large = large_value(1400);
    serve(large);
    subscriber fresh(io, acceptor.local_endpoint(), 0);
    ASSERT_TRUE(test::run_until(io, [&] { return fresh.heartbeats >= 1; }));
    EXPECT_EQ(fresh.replica.entries.at("config").value, large);
    EXPECT_LT(fresh.bytes, large.size() / 4);
}

// Guards against taking an update for current that waited in a full link: the daemon then neither
// asked the platform nor another hub.
TEST_F(hub_links_test, an_update_that_was_on_its_way_for_long_does_not_make_a_hub_current)
{
    late_hub hub(io, 2500ms);
    ASSERT_TRUE(start({hub.address()}));
    ASSERT_TRUE(test::run_until(io, [&] { return links->has_received_update(); }));
    EXPECT_TRUE(links->must_follow_platform());
    EXPECT_LT(replica.current_as_of, core::boot_clock_now() - 1s);
}

// Guards against an update that is encoded for each subscriber, because they subscribed at
// different revisions, although all lack the same change.
TEST_F(hub_links_test, subscribers_that_joined_at_different_revisions_share_later_updates)
{
    serve("small");
    std::vector<std::unique_ptr<subscriber>> joined;
    for (std::uint64_t revision = 0; revision < 4; ++revision)
    {
        joined.push_back(std::make_unique<subscriber>(io, acceptor.local_endpoint(), revision));
    }
    ASSERT_TRUE(test::run_until(io,
                                [&]
                                {
                                    return std::all_of(joined.begin(), joined.end(),
                                                       [](const auto& entry)
                                                       { return entry->heartbeats >= 1; });
                                }));
    const std::uint64_t before = links->counters().updates_encoded;
    fleet::apply_changes(replica, {{"config", large_value(50), 6}}, 6);
    links->notify_subscribers();
    ASSERT_TRUE(test::run_until(io,
                                [&]
                                {
                                    return std::all_of(joined.begin(), joined.end(),
                                                       [](const auto& entry)
                                                       { return entry->replica.revision == 6; });
                                }));
    EXPECT_EQ(links->counters().updates_encoded, before + 1);
}

// Guards against loads that are lost between two daemons, and against sums that a daemon takes from
// a hub that does not know of it.
TEST_F(hub_links_test, daemons_learn_the_load_of_the_fleet_from_their_primary_hub)
{
    own_loads = {{"sheets", {.running = 2.0}}};
    const std::string hub_address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    fleet::replica hub_replica{.complete = true, .current_as_of = core::boot_clock_now()};
    hub_link_callbacks hub_callbacks = callbacks;
    admission::fleet_load seen_by_hub;
    hub_callbacks.loads_to_state = []
    {
        return std::vector<fleet::stated_load>{{"sheets", {.running = 5.0}}};
    };
    hub_callbacks.on_fleet_load = [&](const admission::fleet_load& load)
    {
        seen_by_hub = load;
    };
    hub_links hub(io, {"hub", hub_address}, 2, hub_replica, log, hub_callbacks);
    hub.set_seeds({hub_address});
    asio::co_spawn(io, hub.serve(acceptor), asio::detached);
    asio::co_spawn(io, hub.run(), asio::detached);
    ASSERT_TRUE(start({hub_address}));
    const auto sum = [](const admission::fleet_load& load)
    {
        const auto found = load.by_service.find("sheets");
        return found == load.by_service.end() ? 0.0 : found->second.running;
    };
    EXPECT_TRUE(
        test::run_until(io, [&] { return sum(fleet_load) == 7.0 && sum(seen_by_hub) == 7.0; }));
    EXPECT_LE(fleet_load.as_of, core::boot_clock_now());
}

} // namespace
} // namespace zinniaferry::net
