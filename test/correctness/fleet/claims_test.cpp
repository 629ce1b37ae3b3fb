#include "fleet/claims.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
const core::unix_time wall{core::unix_time(1'000'000s)};

claims make_voter(claims_options options)
{
    claims state = make_claims(std::move(options), start - 1h, wall - 1h);
    core::random_generator random(1);
    tick(state, wall, start, random);
    return state;
}

claim_request request_for(std::string_view key, std::uint64_t id, std::uint32_t attempt = 1)
{
    const claim_key hashed = make_claim_key("a", key);
    return {
        .claim_id = id, .attempt = attempt, .key_hash = hashed.first, .key_hash2 = hashed.second};
}

claim_reply vote_of(claims& voter, const core::process_id& from, const claim_request& request,
                    core::time_point now = start)
{
    return std::get<claim_reply>(handle(voter, from, request, now).at(0).body);
}

const core::process_id first{"b", 1};
const core::process_id second{"c", 2};

// Guards against a fleet of one that waits for others.
TEST(claims, single_process_claims_at_once_and_only_once)
{
    claims state = make_voter({.self = {"a", 1}, .max_vms = 1});
    const auto begun = begin_claim(state, "x", "key", {}, start + 1s, start);
    EXPECT_EQ(take_events(state).at(0).outcome, claim_outcome::claimed);
    EXPECT_TRUE(start_forwarding(state, begun.claim_id, start));
    EXPECT_FALSE(start_forwarding(state, begun.claim_id, start));
    begin_claim(state, "x", "key", {}, start + 1s, start);
    EXPECT_EQ(take_events(state).at(0).outcome, claim_outcome::taken);
}

// Guards against a process that wakes late and forwards under a claim that voters may have lost.
TEST(claims, term_is_checked_at_use)
{
    claims state = make_voter({.self = {"a", 1}, .max_vms = 1});
    const auto begun = begin_claim(state, "x", "key", {}, start + 10s, start);
    EXPECT_TRUE(may_forward(state, begun.claim_id, start + 1950ms));
    EXPECT_FALSE(may_forward(state, begun.claim_id, start + 1960ms));
    EXPECT_FALSE(start_forwarding(state, begun.claim_id, start + 2s));
}

// Guards against two holders of one key, and against a release that comes late.
TEST(claims, voter_acknowledges_the_first_claim_until_it_is_released)
{
    claims voter = make_voter({.self = {"a", 1}, .max_vms = 3});
    using verdict = claim_reply::verdict;
    EXPECT_EQ(vote_of(voter, first, request_for("k", 7)).result, verdict::acknowledged);
    EXPECT_EQ(vote_of(voter, first, request_for("k", 7)).result, verdict::acknowledged);
    EXPECT_EQ(vote_of(voter, second, request_for("k", 7)).result, verdict::taken);
    EXPECT_EQ(vote_of(voter, first, request_for("k", 8)).result, verdict::taken);
    EXPECT_EQ(vote_of(voter, first, request_for("k", 7, 2)).result, verdict::acknowledged);
    const claim_request old = request_for("k", 7, 1);
    const claim_release late{7, 1, old.key_hash, old.key_hash2};
    handle(voter, first, late, start);
    EXPECT_EQ(vote_of(voter, second, request_for("k", 7)).result, verdict::taken);
    handle(voter, first, claim_release{7, 2, old.key_hash, old.key_hash2}, start);
    EXPECT_EQ(vote_of(voter, second, request_for("k", 7)).result, verdict::acknowledged);
}

// Guards against records that end before the window or never.
TEST(claims, record_lasts_for_the_window_and_the_term)
{
    claims voter = make_voter({.self = {"a", 1}, .max_vms = 3});
    using verdict = claim_reply::verdict;
    vote_of(voter, first, request_for("k", 7));
    EXPECT_EQ(vote_of(voter, second, request_for("k", 1), start + 122s).result, verdict::taken);
    EXPECT_EQ(vote_of(voter, second, request_for("k", 1), start + 125s).result,
              verdict::acknowledged);
}

// Guards against a full store that forgets a record to make room.
TEST(claims, full_store_refuses_and_keeps_its_records)
{
    claims voter = make_voter({.self = {"a", 1}, .max_vms = 3, .max_records = 1});
    using verdict = claim_reply::verdict;
    vote_of(voter, first, request_for("k", 1));
    EXPECT_EQ(vote_of(voter, first, request_for("l", 2)).result, verdict::not_voter);
    EXPECT_EQ(vote_of(voter, second, request_for("k", 3)).result, verdict::taken);
    EXPECT_EQ(voter.refused_full, 1U);
}

// Guards against a label that vouches for a time before the process started, or for the future.
TEST(claims, new_process_acknowledges_only_later_labels)
{
    using verdict = claim_reply::verdict;
    claims voter = make_claims({.self = {"a", 1}, .max_vms = 3}, start, wall);
    const auto labelled = [&](core::unix_time label)
    {
        claim_request request = request_for(std::to_string(label.time_since_epoch().count()), 1);
        request.first_sent = label;
        return vote_of(voter, first, request, start + 5s).result;
    };
    EXPECT_EQ(labelled(core::unix_time()), verdict::not_voter);
    EXPECT_EQ(labelled(wall + 900ms), verdict::not_voter);
    EXPECT_EQ(labelled(wall + 1001ms), verdict::acknowledged);
    EXPECT_EQ(labelled(wall + 1h), verdict::not_voter);
}

// Guards against a new voter that acknowledges a key of which it copied two different claims.
TEST(claims, copies_that_differ_block_the_key)
{
    core::random_generator random(1);
    claims state = make_claims({.self = {"a", 1}, .max_vms = 3}, start, wall);
    set_peers(state, {"b", "c"});
    const auto asked = tick(state, wall, start + 3s, random);
    ASSERT_EQ(asked.size(), 2U);
    const claim_request key = request_for("k", 7);
    for (const core::process_id& source : {first, second})
    {
        records_reply page{.round = state.copy_round, .next = 1, .voter = true, .last = true};
        page.records.push_back({key.key_hash, key.key_hash2, hash_of(source), 7, 1, 1s});
        EXPECT_FALSE(is_voter(state, start + 3s));
        handle(state, source, page, start + 3s);
    }
    EXPECT_TRUE(is_voter(state, start + 3s));
    EXPECT_EQ(vote_of(state, first, key, start + 4s).result, claim_reply::verdict::taken);
    EXPECT_EQ(vote_of(state, second, key, start + 4s).result, claim_reply::verdict::taken);
}

// Guards against a copy before earlier claims have ended, and from processes that do not vote.
TEST(claims, copy_waits_out_the_claim_term_and_needs_voters)
{
    core::random_generator random(1);
    claims state = make_claims({.self = {"a", 1}, .max_vms = 3}, start, wall);
    set_peers(state, {"b", "c"});
    EXPECT_TRUE(tick(state, wall, start + 2s, random).empty());
    ASSERT_EQ(tick(state, wall, start + 2050ms, random).size(), 2U);
    for (const core::process_id& source : {first, second})
    {
        handle(state, source, records_reply{.round = state.copy_round, .last = true}, start + 3s);
    }
    EXPECT_FALSE(is_voter(state, start + 3s));
    tick(state, wall, start + 125s, random);
    EXPECT_TRUE(is_voter(state, start + 125s)) << "a whole window has passed";
}

// Guards against rounds of copying that cost more than the control budget while a whole fleet is
// young and nobody is a voter, and against a slow copy once a voter answers.
TEST(claims, copy_rounds_get_rarer_only_without_voters)
{
    core::random_generator random(1);
    claims state = make_claims({.self = {"a", 1}, .max_vms = 3}, start, wall);
    set_peers(state, {"b", "c"});
    const auto rounds_between = [&](core::duration from, core::duration to)
    {
        std::size_t rounds = 0;
        for (core::duration at = from; at < to; at += 100ms)
        {
            rounds += tick(state, wall, start + at, random).empty() ? 0 : 1;
        }
        return rounds;
    };
    EXPECT_GE(rounds_between(2s, 10s), 3U);
    EXPECT_LE(rounds_between(10s, 58s), 7U);
    // A first page from a voter: the rest is asked for every second again.
    handle(state, first, records_reply{.round = state.copy_round, .next = 5, .voter = true},
           start + 58s);
    rounds_between(58s, 66s);
    EXPECT_GE(rounds_between(66s, 76s), 9U);
}

// Guards against claims that share the hash of another account's key.
TEST(claims, key_depends_on_where_the_account_ends)
{
    EXPECT_FALSE(make_claim_key("a", "bc") == make_claim_key("ab", "c"));
}

} // namespace
} // namespace zinniaferry::fleet
