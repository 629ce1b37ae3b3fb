#include "support/link_fixture.hpp"

namespace zinniaferry::net::test
{
namespace
{

using peer_link_loopback = link_fixture;

// Guards against messages that are lost on a healthy link, repeated, or out of order.
TEST_F(peer_link_loopback, messages_arrive_once_and_in_order_both_ways)
{
    const auto a = make_node("a", 11);
    const auto b = make_node("b", 22);
    a->link->set_peers({{"b", b->address()}});
    b->link->set_peers({{"a", a->address()}});
    ASSERT_TRUE(
        run_until([&] { return !a->link->connected().empty() && !b->link->connected().empty(); }));
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        a->link->send(numbered("b", i));
        b->link->send(numbered("a", 1000 + i));
    }
    ASSERT_TRUE(run_until([&] { return a->received.size() >= 200 && b->received.size() >= 200; }));
    io.poll();
    ASSERT_EQ(a->received.size(), 200U);
    ASSERT_EQ(b->received.size(), 200U);
    for (std::uint64_t i = 0; i < 200; ++i)
    {
        EXPECT_EQ(number_of(b->received[i]), i);
        EXPECT_EQ(number_of(a->received[i]), 1000 + i);
    }
    EXPECT_EQ(b->received[0].from, (core::process_id{"a", 11}));
    EXPECT_EQ(a->received[0].from, (core::process_id{"b", 22}));
}

// Guards against an answer that cannot be sent because the asker is not in the list yet.
TEST_F(peer_link_loopback, unlisted_peer_can_be_answered)
{
    const auto a = make_node("a");
    const auto b = make_node("b");
    a->link->set_peers({{"b", b->address()}});
    a->link->send(numbered("b", 1)); // Waits for the connection.
    ASSERT_TRUE(run_until([&] { return !b->received.empty(); }));
    EXPECT_EQ(b->link->connected(), std::vector<std::string>{"a"});
    b->link->send(numbered("a", 2));
    ASSERT_TRUE(run_until([&] { return !a->received.empty(); }));
    EXPECT_EQ(number_of(a->received[0]), 2U);
}

// Guards against a link that stays down after its peer was restarted at the same address, and
// against messages of the former process that are taken for the new one's.
TEST_F(peer_link_loopback, reconnects_to_a_restarted_peer)
{
    const auto a = make_node("a");
    auto b = make_node("b", 1);
    a->link->set_peers({{"b", b->address()}});
    ASSERT_TRUE(run_until([&] { return !a->link->connected().empty(); }));
    b->link->close();
    ASSERT_TRUE(run_until([&] { return a->link->connected().empty(); }));
    b = make_node("b", 2);
    a->link->set_peers({{"b", b->address()}});
    ASSERT_TRUE(
        run_until([&] { return !a->link->connected().empty() && !b->link->connected().empty(); }));
    a->link->send(numbered("b", 7));
    b->link->send(numbered("a", 8));
    ASSERT_TRUE(run_until([&] { return !a->received.empty() && !b->received.empty(); }));
    EXPECT_EQ(a->received[0].from, (core::process_id{"b", 2}));
    EXPECT_EQ(a->link->counters("b").connections, 2U);
}

// Guards against a peer that cannot be reached at first and is given up.
TEST_F(peer_link_loopback, keeps_trying_until_the_peer_listens)
{
    const auto a = make_node("a");
    boost::asio::ip::tcp::acceptor reserved(io, {boost::asio::ip::address_v4::loopback(), 0});
    const std::string address = "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
    reserved.close();
    a->link->set_peers({{"b", address}});
    int refused = 0;
    run_until([&] { return ++refused > 50; });
    EXPECT_TRUE(a->link->connected().empty());
    auto received = std::vector<fleet::message>();
    peer_link b(io.get_executor(),
                {.session = {.self = {"b", 1}, .secret = "secret"}, .listen_address = address},
                [&](const fleet::message& message) { received.push_back(message); });
    ASSERT_TRUE(b.listen());
    ASSERT_TRUE(run_until([&] { return !a->link->connected().empty(); }));
    a->link->send(numbered("b", 3));
    EXPECT_TRUE(run_until([&] { return !received.empty(); }));
}

// Guards against two connections of one VM after a restart: the newer process replaces the older.
TEST_F(peer_link_loopback, newer_incarnation_replaces_the_older)
{
    const auto a = make_node("a");
    const auto old = make_node("b", 1);
    old->link->set_peers({{"a", a->address()}});
    ASSERT_TRUE(run_until([&] { return !a->link->connected().empty(); }));
    old->link->set_peers({}); // It does not connect again.
    const auto renewed = make_node("b", 2);
    renewed->link->set_peers({{"a", a->address()}});
    ASSERT_TRUE(run_until(
        [&] { return old->link->connected().empty() && !renewed->link->connected().empty(); }));
    a->link->send(numbered("b", 5));
    ASSERT_TRUE(run_until([&] { return !renewed->received.empty(); }));
    EXPECT_TRUE(old->received.empty());
}

// Guards against a queue that grows without bound towards a peer that does not read.
TEST_F(peer_link_loopback, queue_is_bounded)
{
    const auto a = make_node("a");
    const auto b = make_node("b");
    a->link->set_peers({{"b", b->address()}});
    ASSERT_TRUE(run_until([&] { return !a->link->connected().empty(); }));
    for (std::uint64_t i = 0; i < 400; ++i)
    {
        a->link->send(numbered("b", i)); // No handler runs in between.
    }
    EXPECT_EQ(a->link->counters("b").frames_dropped, 400U - 256U);
    ASSERT_TRUE(run_until([&] { return b->received.size() >= 256; }));
    EXPECT_EQ(b->received.size(), 256U);
}

// Guards against a peer that takes more than its share of this process by sending without pause:
// frames beyond the rate wait unread, and none is lost.
TEST_F(peer_link_loopback, frames_beyond_the_rate_wait)
{
    const auto a = make_node("a");
    const auto b = make_node("b", 1, "secret", {.max_frames_per_second = 50});
    a->link->set_peers({{"b", b->address()}});
    ASSERT_TRUE(
        run_until([&] { return !a->link->connected().empty() && !b->link->connected().empty(); }));
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        a->link->send(numbered("b", i));
    }
    ASSERT_TRUE(run_until([&] { return b->received.size() >= 100; }));
    // 50 pass at once, the others at 50 a second; slower is allowed on a busy machine.
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 900ms);
    EXPECT_EQ(b->received.size(), 100U);
}

// Guards against counters that miss what goes over the wire.
TEST_F(peer_link_loopback, counters_of_both_ends_agree)
{
    const auto a = make_node("a");
    const auto b = make_node("b");
    a->link->set_peers({{"b", b->address()}});
    a->link->send(numbered("b", 1));
    ASSERT_TRUE(run_until([&] { return !b->received.empty(); }));
    ASSERT_TRUE(run_until([&] { return a->link->counters("b").frames_out == 1; }));
    const link_counters sent = a->link->counters("b");
    const link_counters received = b->link->counters("a");
    EXPECT_EQ(sent.bytes_out, received.bytes_in);
    EXPECT_EQ(sent.bytes_in, received.bytes_out);
    EXPECT_EQ(received.frames_in, 1U);
    EXPECT_GT(sent.bytes_out, frame_header_size);
    EXPECT_EQ(a->link->total().bytes_out, sent.bytes_out);
}

} // namespace
} // namespace zinniaferry::net::test
