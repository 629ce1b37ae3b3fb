#include "platform/store_follower.hpp"

#include "support/store_stand_in.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

namespace zinniaferry::platform
{
namespace
{

using namespace std::chrono_literals;

// Keeps the follower alive as long as its coroutine runs.
boost::asio::awaitable<void> follow(net::follow_context context, store_options options,
                                    std::uint64_t& call_count)
{
    store_follower follower(std::move(context), std::move(options), call_count);
    co_await follower.run();
}

struct store_follower_test : testing::Test
{
    explicit store_follower_test(core::duration heartbeat_interval = 700ms)
    {
        net::follow_context context = {.io = io,
                                       .replica = replica,
                                       .log = log,
                                       .on_changes = [](const std::vector<fleet::entry_change>&) {},
                                       .must_follow =
                                           []
                                       {
                                           return true;
                                       }};
        const store_options options = {.address = store.address(),
                                       .heartbeat_interval = heartbeat_interval};
        boost::asio::co_spawn(io, follow(std::move(context), options, call_count),
                              boost::asio::detached);
    }
    ~store_follower_test() override
    {
        store.stop();
        io.run_for(50ms);
    }

    /// Runs the io_context until the condition holds. Returns false when it does not within 5 s.
    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < limit)
        {
            io.run_for(1ms);
        }
        return condition();
    }

    std::string value_of(const std::string& key) const
    {
        const auto found = replica.entries.find(key);
        return found == replica.entries.end() ? "none" : found->second.value;
    }

    fleet::replica replica;
    net::event_log log{{.enabled = false}};
    std::uint64_t call_count = 0;
    boost::asio::io_context io;
    test_support::store_stand_in store{io};
};

// Guards against entries of later pages that are never read, and against missed changes.
TEST_F(store_follower_test, all_pages_are_read_and_changes_followed)
{
    store.max_items_per_page = 2;
    for (const char* key : {"a", "b", "c", "d", "e"})
    {
        store.write(key, "1");
    }
    ASSERT_TRUE(run_until([&] { return replica.complete && replica.entries.size() == 5; }));
    store.write("c", "2");
    store.remove("e");
    EXPECT_TRUE(run_until([&] { return value_of("c") == "2" && value_of("e") == "none"; }));
}

// Guards against servers that are used forever, because the store discarded the history that held
// their removal.
TEST_F(store_follower_test, entries_removed_in_discarded_history_are_removed)
{
    store.write("a", "1");
    store.write("b", "1");
    ASSERT_TRUE(run_until([&] { return replica.entries.size() == 2; }));
    store.remove("a");
    store.write("b", "2");
    store.compact();
    EXPECT_TRUE(run_until([&] { return value_of("a") == "none" && value_of("b") == "2"; }));
}

// Guards against the loss of live servers whose entries expired in the store during an outage. They
// must be kept until the servers have had time to register again.
TEST_F(store_follower_test, entries_that_expire_during_an_outage_are_kept_for_a_grace_time)
{
    store.write("a", "1");
    ASSERT_TRUE(run_until([&] { return value_of("a") == "1"; }));
    for (const unsigned status : {503U, 429U})
    {
        store.forced_status = status;
        const std::size_t before = store.call_count;
        ASSERT_TRUE(run_until([&] { return store.call_count >= before + 5; }));
        EXPECT_EQ(value_of("a"), "1") << status;
    }
    store.remove("a");
    store.write("b", "1");
    store.compact();
    store.forced_status.reset();
    ASSERT_TRUE(run_until([&] { return value_of("b") == "1"; }));
    EXPECT_EQ(value_of("a"), "1");
    EXPECT_TRUE(replica.held.contains("a"));
    store.write("a", "1");
    EXPECT_TRUE(run_until([&] { return replica.held.empty(); }));
}

struct store_follower_with_long_heartbeat_test : store_follower_test
{
    store_follower_with_long_heartbeat_test() : store_follower_test(1500ms) {}
};

// Guards against a server that is used for seconds after its entry was removed, because the store
// turned this daemon away meanwhile. The entry of a live server outlasts an outage shorter than two
// heartbeat intervals, so one that is missing after it was removed.
TEST_F(store_follower_with_long_heartbeat_test,
       an_entry_removed_in_a_short_outage_is_removed_at_once)
{
    store.write("a", "1");
    store.write("b", "1");
    ASSERT_TRUE(run_until([&] { return replica.entries.size() == 2; }));
    store.forced_status = 503;
    const auto age = [&]
    {
        return core::boot_clock_now() - replica.current_as_of;
    };
    ASSERT_TRUE(run_until([&] { return age() > 2s; }));
    store.remove("a");
    store.forced_status.reset();
    ASSERT_TRUE(run_until([&] { return age() < 1s; }));
    EXPECT_EQ(value_of("a"), "none");
    EXPECT_EQ(value_of("b"), "1");
}

// Guards against a configuration that stays in force although a restored store has a later one: the
// store assigns lower revisions than the daemon knows again, so that a change there looks outdated.
// Also guards against a daemon that calls such a store as fast as it answers.
TEST_F(store_follower_test, a_store_restored_from_a_backup_is_followed)
{
    store.write("config", "r10");
    ASSERT_TRUE(run_until([&] { return value_of("config") == "r10"; }));
    const auto backup = store.back_up();
    for (const char* key : {"a", "b", "c", "d"})
    {
        store.write(key, "1");
    }
    store.write("config", "r11");
    ASSERT_TRUE(run_until([&] { return value_of("config") == "r11"; }));
    const std::uint64_t known = replica.revision;
    const std::size_t calls_before = store.call_count;
    store.restore(backup);
    ASSERT_TRUE(run_until([&] { return replica.revision < known; }));
    EXPECT_EQ(value_of("config"), "r11") << "the backup is older";
    store.write("config", "r12");
    ASSERT_LT(store.revision(), known);
    EXPECT_TRUE(run_until([&] { return value_of("config") == "r12"; }));
    EXPECT_LE(store.call_count - calls_before, 10U);
}

// Guards against changes that are missed because the restored store has reached the revision that
// the daemon knows when its watch arrives, and so answers it.
TEST_F(store_follower_test, a_restored_store_that_has_reached_the_known_revision_is_read_again)
{
    store.write("config", "r10");
    const auto backup = store.back_up();
    store.write("config", "r11");
    ASSERT_TRUE(run_until([&] { return value_of("config") == "r11"; }));
    const std::uint64_t known = replica.revision;
    store.restore(backup);
    store.write("config", "r12");
    store.write("a", "1");
    ASSERT_GT(store.revision(), known);
    EXPECT_TRUE(run_until([&] { return value_of("config") == "r12" && value_of("a") == "1"; }));
}

// Guards against one call for each change of a burst, since every call to the store has a cost. The
// follower delays the next watch after a change, so that one call returns several.
TEST_F(store_follower_test, changes_in_quick_succession_share_calls)
{
    ASSERT_TRUE(run_until([&] { return replica.complete; }));
    const std::size_t before = store.call_count;
    for (int i = 0; i < 50; ++i)
    {
        store.write("a", std::to_string(i));
        io.run_for(10ms);
    }
    EXPECT_TRUE(run_until([&] { return value_of("a") == "49"; }));
    EXPECT_LE(store.call_count - before, 8U);
}

} // namespace
} // namespace zinniaferry::platform
