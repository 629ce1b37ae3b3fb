#include "fleet/replica_updates.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

// Guards against subscribers that never learn of a restored store: the hub must send them all
// values, as the revisions that they know say nothing in the new era, even when no entry has
// changed.
TEST(replica_updates, a_new_era_reaches_the_subscribers_as_a_snapshot)
{
    replica hub;
    apply_snapshot(hub, {{"a", "1", 11}, {"b", "1", 12}}, 20, {}, start, 1);
    replica subscriber;
    subscriber_position position = position_from({}, hub);
    apply_update(subscriber, make_update(hub, position, start), start, start);
    on_update_sent(position, hub);
    ASSERT_FALSE(is_behind(position, hub));
    apply_snapshot(hub, {{"a", "1", 11}, {"b", "1", 12}}, 15, {}, start, 2);
    ASSERT_TRUE(is_behind(position, hub));
    const update_message update = make_update(hub, position, start);
    EXPECT_TRUE(update.complete);
    EXPECT_EQ(update.changes.at(0), (entry_change{"a", "1", 11}));
    apply_update(subscriber, update, start, start);
    on_update_sent(position, hub);
    apply_changes(hub, {{"a", "2", 16}}, 16, 2);
    const auto changes = apply_update(subscriber, make_update(hub, position, start), start, start);
    EXPECT_EQ(changes, (std::vector<entry_change>{{"a", "2", 16}}));
    EXPECT_EQ(subscriber.revision, 16U);
}

// Guards against a subscriber that is taken for up to date because it knows the same revision of
// another era.
TEST(replica_updates, an_equal_revision_of_another_era_is_not_up_to_date)
{
    replica hub;
    apply_snapshot(hub, {{"a", "1", 11}}, 20, {}, start, 2);
    const hello_message hello = {.era = 1, .revision = 20};
    const subscriber_position position = position_from(hello, hub);
    EXPECT_TRUE(is_behind(position, hub));
    EXPECT_FALSE(make_update(hub, position, start).changes.at(0).unchanged);
    EXPECT_FALSE(is_behind(position_from({.era = 2, .revision = 20}, hub), hub));
}

// Guards against a replica that counts as current because of a hub that has not noticed the
// restoration.
TEST(replica_updates, an_update_of_an_earlier_era_does_not_make_the_replica_current)
{
    replica subscriber;
    apply_snapshot(subscriber, {{"a", "2", 5}}, 5, {}, start, 2);
    const update_message update = {.era = 1, .revision = 9, .changes = {{"a", "1", 9}}};
    EXPECT_TRUE(apply_update(subscriber, update, start + 1s, start + 1s).empty());
    EXPECT_LT(subscriber.current_as_of, start + 1s);
    EXPECT_EQ(subscriber.revision, 5U);
}

} // namespace
} // namespace zinniaferry::fleet
