#include "fleet/membership.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
const core::process_id peer{"b", 7};

membership make(std::uint32_t max_vms)
{
    return make_membership({.self = {"a", 1}, .max_vms = max_vms}, start);
}

// Drives the clock in the steps of the daemon, so that no pause is assumed.
void pass(membership& state, core::time_point from, core::time_point to)
{
    core::random_generator random(1);
    for (core::time_point now = from; now <= to; now += 100ms)
    {
        tick(state, {.ready = true}, now, random);
    }
}

// Guards against peers that are asked long after they were lost, or given up too early.
TEST(membership, unheard_peer_becomes_suspect_and_gone)
{
    membership state = make(20);
    handle(state, peer, {}, start);
    EXPECT_EQ(state_of(state, "b", start + 5s), peer_state::alive);
    EXPECT_EQ(state_of(state, "b", start + 5001ms), peer_state::suspect);
    EXPECT_EQ(state_of(state, "b", start + 15001ms), peer_state::gone);
    EXPECT_EQ(alive(state, start), std::vector<std::string>{"b"});
    EXPECT_FALSE(state_of(state, "c", start));
}

// Guards R4: a VM that hears neither the service nor a majority serves keyed requests after 4 s.
TEST(membership, is_isolated_without_service_and_majority)
{
    membership state = make(3);
    EXPECT_TRUE(is_isolated(state, start));
    note_service_contact(state, start);
    EXPECT_FALSE(is_isolated(state, start + 4s));
    EXPECT_TRUE(is_isolated(state, start + 4001ms));
    handle(state, peer, {}, start + 100ms);
    EXPECT_FALSE(is_isolated(state, start + 4100ms));
    EXPECT_TRUE(is_isolated(state, start + 4101ms));
}

// Guards against a lone VM that refuses its callers although nobody else could know more.
TEST(membership, single_vm_is_its_own_majority)
{
    EXPECT_FALSE(is_isolated(make(1), start));
}

// Guards against evidence that loses its age on the way, so that it never ends.
TEST(membership, ages_add_up_through_peers)
{
    membership state = make(5);
    handle(state, peer, {.service_age = 3s, .heard = {{99, 1500ms}, {98, 0ms}}}, start);
    EXPECT_EQ(service_age(state, start + 1s), 4s);
    EXPECT_EQ(count_heard(state, 4s, start + 2500ms), 4U);
    EXPECT_EQ(count_heard(state, 4s, start + 2501ms), 3U);
    const auto reply = handle(state, {"c", 1}, {.wants_reply = true}, start + 100ms);
    const auto& sent = std::get<heartbeat>(reply.at(0).body);
    EXPECT_EQ(sent.service_age, 3100ms);
    EXPECT_FALSE(sent.wants_reply);
    ASSERT_EQ(sent.heard.size(), 4U);
    for (const heard_process& entry : sent.heard)
    {
        EXPECT_TRUE(entry.process_hash != 99 || entry.age == 1600ms);
    }
}

// Guards against the own identity that comes back through peers and counts twice.
TEST(membership, own_identity_counts_once)
{
    membership state = make(3);
    handle(state, peer, {.heard = {{hash_of({"a", 1}), 0ms}, {hash_of(peer), 0ms}}}, start);
    EXPECT_EQ(count_heard(state, 4s, start), 2U);
}

// Guards against messages that waited in a socket while the process was paused: their ages were
// stated long before they are read.
TEST(membership, messages_read_after_a_pause_prove_nothing)
{
    membership state = make(3);
    pass(state, start, start + 1s);
    handle(state, peer, {.service_age = 0s}, start + 11s);
    EXPECT_TRUE(is_isolated(state, start + 11s));
    handle(state, peer, {.service_age = 0s}, start + 11300ms);
    EXPECT_FALSE(is_isolated(state, start + 11300ms));
}

// Guards R4: an answer of the service that waited during a pause lets keyed requests through with
// keys that were withdrawn meanwhile.
TEST(membership, service_answer_read_after_a_pause_proves_nothing)
{
    membership state = make(3);
    pass(state, start, start + 1s);
    note_service_contact(state, start + 11s);
    EXPECT_TRUE(is_isolated(state, start + 11s));
    note_service_contact(state, start + 11300ms);
    EXPECT_FALSE(is_isolated(state, start + 11300ms));
}

// Guards against a new version that waits for the next interval, and extra heartbeats for it.
TEST(membership, newer_version_is_told_at_once)
{
    membership state = make(20);
    core::random_generator random(1);
    apply_vm_list(state, {{"b"}, {"c"}, {"d"}, {"e"}}, start);
    note_service_contact(state, start);
    EXPECT_EQ(tick(state, {.config_version = 1, .ready = true}, start, random).size(), 4U)
        << "each new peer is greeted once";
    EXPECT_TRUE(tick(state, {.config_version = 1}, start + 10ms, random).empty());
    EXPECT_EQ(tick(state, {.config_version = 2}, start + 20ms, random).size(), 3U);
    EXPECT_TRUE(tick(state, {.config_version = 2}, start + 30ms, random).empty());
}

// Guards against a peer that keeps an old version because it happens to be told nothing.
TEST(membership, lower_version_is_answered)
{
    membership state = make(20);
    core::random_generator random(1);
    tick(state, {.config_version = 5, .ready = true}, start, random);
    EXPECT_EQ(handle(state, peer, {.config_version = 4}, start).size(), 1U);
    EXPECT_TRUE(handle(state, peer, {.config_version = 5}, start).empty());
}

// Guards against a list that lags: it must not hide a VM that is heard, or keep one that is gone.
TEST(membership, list_is_only_a_hint)
{
    membership state = make(20);
    handle(state, peer, {}, start);
    apply_vm_list(state, {{"c", true}}, start);
    EXPECT_EQ(known_peers(state, start), (std::vector<std::string>{"b", "c"}));
    EXPECT_EQ(known_peers(state, start + 16s), std::vector<std::string>{"c"});
    pass(state, start, start + 17s);
    EXPECT_FALSE(state.peers.contains("b"));
}

} // namespace
} // namespace zinniaferry::fleet
