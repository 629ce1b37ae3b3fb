#include "fleet/spread_model.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};
const core::process_id peer{"vm1", 1};

config_spread with_version_4()
{
    config_spread state = make_config_spread(modelled_spread_options({"vm0", 1}), start);
    service_replied(state, "4\nx\n", start);
    return state;
}

refusal_reason last_reason(const config_spread& state)
{
    return state.refusals.empty() ? refusal_reason::none : state.refusals.back().reason;
}

// Guards against a refusal without a reason, or one that touches the version in force.
TEST(config_refusal, each_refusal_has_a_reason_and_keeps_the_version)
{
    config_spread state = with_version_4();
    const auto reason_of = [&](std::string_view text)
    {
        return service_replied(state, text, start).reason;
    };
    EXPECT_EQ(reason_of("3\nx\n"), refusal_reason::older);
    EXPECT_EQ(reason_of("4\ny\n"), refusal_reason::conflict);
    EXPECT_EQ(reason_of("no number\n"), refusal_reason::invalid);
    EXPECT_EQ(reason_of("0\n"), refusal_reason::invalid);
    EXPECT_EQ(reason_of("5\n" + std::string(1U << 20U, 'x')), refusal_reason::too_large);
    EXPECT_EQ(service_replied(state, "4\nx\n", start).outcome, offer_outcome::unchanged);
    EXPECT_EQ(in_force(state)->text, "4\nx\n");
    EXPECT_EQ(dump(state, start).at("refusals").as_array().size(), 5U);
    EXPECT_NE(state.refusals[2].detail.find("a version number"), std::string::npos);
}

// Guards against a peer's body that differs from the digest and version that it stated.
TEST(config_refusal, peer_document_must_match_what_was_stated)
{
    config_spread state = with_version_4();
    config_reply reply{.version = 5, .digest = core::sha256("5\ny\n"), .body = "5\nz\n"};
    handle(state, peer, reply, start);
    EXPECT_EQ(last_reason(state), refusal_reason::wrong_digest);
    reply.body = "5\ny\n";
    reply.version = 6;
    handle(state, peer, reply, start);
    EXPECT_EQ(last_reason(state), refusal_reason::wrong_version);
    handle(state, peer, config_reply{.version = 5, .base_version = 3, .body = "0 5\n"}, start);
    EXPECT_EQ(last_reason(state), refusal_reason::no_base);
    handle(state, peer, config_reply{.version = 5, .base_version = 4, .body = "junk"}, start);
    EXPECT_EQ(last_reason(state), refusal_reason::no_base);
    EXPECT_EQ(in_force(state)->version, 4U);
    EXPECT_TRUE(state.pull_whole) << "after a failed delta the whole document is asked for";
}

// Guards against a conflict between two documents of one version that nobody is told of.
TEST(config_refusal, other_digest_in_a_heartbeat_is_reported_once)
{
    config_spread state = with_version_4();
    const heartbeat beat{.config_version = 4, .config_digest = core::sha256("other")};
    handle(state, peer, beat, start);
    handle(state, peer, beat, start + 1s);
    EXPECT_EQ(last_reason(state), refusal_reason::conflict);
    EXPECT_EQ(state.counters.refused, 1U);
}

// Guards against pulling a refused version again and again.
TEST(config_refusal, refused_version_is_not_pulled_again)
{
    core::random_generator random(1);
    config_spread state = with_version_4();
    const core::digest digest = core::sha256("bad");
    handle(state, peer, heartbeat{.config_version = 5, .config_digest = digest}, start);
    ASSERT_EQ(tick(state, start, random).size(), 1U);
    handle(state, peer, config_reply{.version = 5, .digest = digest, .body = "bad"}, start);
    EXPECT_EQ(last_reason(state), refusal_reason::invalid);
    EXPECT_TRUE(tick(state, start + 1s, random).empty());
    handle(state, peer, heartbeat{.config_version = 5, .config_digest = digest}, start + 60s);
    EXPECT_EQ(tick(state, start + 61s, random).size(), 1U);
}

} // namespace
} // namespace zinniaferry::fleet
