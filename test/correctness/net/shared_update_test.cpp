#include "net/shared_update.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::net
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

struct shared_update_test : testing::Test
{
    shared_update_test()
    {
        fleet::apply_changes(replica, {{"config", std::string(9000, 'c'), 1}}, 1);
        replica.complete = true;
        replica.current_as_of = start;
    }

    fleet::update_message update(const subscriber_position& position, core::time_point now)
    {
        const encoded_update encoded = update_for(shared, replica, position, now);
        const auto body = encoded.frame->substr(fleet::frame_length_bytes);
        return std::get<fleet::update_message>(fleet::decode_hub_message(body).value());
    }

    fleet::replica replica;
    shared_update shared;
    const subscriber_position fresh = {.compression = fleet::compression::allowed};
};

// Guards against a hub that encodes a large update for every subscriber, and holds a copy for each.
TEST_F(shared_update_test, subscribers_that_lack_the_same_changes_share_a_frame)
{
    const frame_pointer first = update_for(shared, replica, fresh, start).frame;
    EXPECT_EQ(update_for(shared, replica, fresh, start + 50ms).frame, first);
}

// Guards against a shared update that states a smaller age than the replica has when it is used.
TEST_F(shared_update_test, a_shared_update_states_an_age_that_holds_while_it_is_shared)
{
    EXPECT_GE(update(fresh, start + 1s).age, 1s);
    EXPECT_GE(update(fresh, start + 1s + 99ms).age, 1099ms);
    EXPECT_GE(update(fresh, start + 3s).age, 3s) << "too old to be shared";
}

// Guards against an update for another subscriber: one that lacks more, or reads no compressed
// messages.
TEST_F(shared_update_test, a_subscriber_at_another_position_gets_an_update_of_its_own)
{
    const frame_pointer first = update_for(shared, replica, fresh, start).frame;
    EXPECT_NE(update_for(shared, replica, {}, start).frame, first);
    const subscriber_position behind = {.known_revision = 1,
                                        .compression = fleet::compression::allowed};
    EXPECT_TRUE(update(behind, start).changes.at(0).unchanged);
    fleet::apply_changes(replica, {{"server", "ready", 2}}, 2);
    EXPECT_EQ(update(fresh, start).changes.size(), 2U) << "the replica has changed";
}

} // namespace
} // namespace zinniaferry::net
