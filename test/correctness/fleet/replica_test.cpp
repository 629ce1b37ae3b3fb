#include "fleet/replica.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{1000s};

entry_change written(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return {key, value, revision};
}

entry_change removed(const std::string& key, std::uint64_t revision)
{
    return {key, std::nullopt, revision};
}

// Guards against an entry that returns to an older revision when two hubs deliver changes in
// different orders.
TEST(replica, older_revisions_are_ignored)
{
    replica copy;
    EXPECT_EQ(apply_changes(copy, {written("a", "2", 5)}, 5).size(), 1U);
    EXPECT_TRUE(apply_changes(copy, {written("a", "1", 4)}, 4).empty());
    EXPECT_TRUE(apply_changes(copy, {removed("a", 4)}, 4).empty());
    EXPECT_EQ(copy.entries.at("a").value, "2");
    EXPECT_EQ(copy.revision, 5U);
    EXPECT_EQ(apply_changes(copy, {removed("a", 7)}, 7).size(), 1U);
    EXPECT_TRUE(apply_changes(copy, {written("a", "2", 5)}, 5).empty())
        << "removed at a later revision";
    EXPECT_TRUE(copy.entries.empty());
}

// Guards against servers that stay in use although their entries are missing from a snapshot.
TEST(replica, entries_missing_from_a_snapshot_are_removed)
{
    replica copy;
    apply_changes(copy, {written("a", "1", 1), written("b", "1", 2), written("c", "1", 9)}, 9);
    const auto changes = apply_snapshot(copy, {written("b", "1", 2)}, 5, {}, start);
    EXPECT_EQ(changes, (std::vector<entry_change>{removed("a", 5)}));
    EXPECT_TRUE(copy.entries.contains("c")) << "written after the snapshot was taken";
    EXPECT_TRUE(copy.complete);
}

// Guards against entries that expired during an outage and are removed before their servers could
// write them again, and against entries of servers that never return and are kept.
TEST(replica, after_an_outage_missing_entries_get_a_grace_period)
{
    replica copy;
    apply_changes(copy, {written("a", "1", 1), written("b", "1", 2)}, 2);
    EXPECT_TRUE(apply_snapshot(copy, {}, 10, 2s, start).empty());
    EXPECT_TRUE(apply_held_changes(copy, start + 1s).empty());
    apply_changes(copy, {written("a", "1", 11)}, 11);
    const auto expired = apply_held_changes(copy, start + 2s);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].key, "b");
    EXPECT_TRUE(copy.entries.contains("a"));
}

// Guards against subscribers that miss a change: a removal at the end of a grace period has no
// store revision of its own, so changes are tracked by local sequence.
TEST(replica, changes_are_forwarded_in_the_order_of_their_arrival)
{
    replica copy;
    apply_changes(copy, {written("a", "1", 1), written("b", "1", 2)}, 2);
    const std::uint64_t seen = copy.sequence;
    EXPECT_TRUE(changes_after(copy, seen)->empty());
    apply_snapshot(copy, {written("b", "1", 2)}, 2, 1s, start);
    apply_held_changes(copy, start + 1s);
    const auto changes = changes_after(copy, seen);
    ASSERT_TRUE(changes);
    ASSERT_EQ(changes->size(), 1U);
    EXPECT_EQ(changes->front().key, "a");
    EXPECT_FALSE(changes->front().value);
    EXPECT_EQ(make_snapshot(copy, 0).size(), 1U);
}

// Guards against a subscriber that keeps removed entries because their tombstones were discarded.
TEST(replica, a_subscriber_far_behind_gets_a_snapshot)
{
    replica copy;
    std::uint64_t revision = 0;
    for (int i = 0; i < 2000; ++i)
    {
        const std::string key = "k" + std::to_string(i);
        apply_changes(copy, {written(key, "1", revision + 1), removed(key, revision + 2)},
                      revision + 2);
        revision += 2;
    }
    EXPECT_FALSE(changes_after(copy, 1));
    EXPECT_TRUE(changes_after(copy, copy.sequence - 2));
}

// Guards against a snapshot for a replica that is nearly up to date that removes what it leaves
// out, or leaves out what the replica lacks.
TEST(replica, a_snapshot_leaves_out_only_the_values_that_the_receiver_knows)
{
    replica hub;
    apply_changes(hub, {written("a", "1", 1), written("b", "1", 2), written("c", "1", 3)}, 3);
    replica copy;
    apply_snapshot(copy, make_snapshot(hub, 0), 3, {}, start);
    apply_changes(hub, {written("b", "2", 4), removed("c", 5), written("d", "1", 6)}, 6);
    const auto snapshot = make_snapshot(hub, copy.revision);
    EXPECT_EQ(snapshot.at(0), (entry_change{.key = "a", .revision = 1, .unchanged = true}));
    apply_snapshot(copy, snapshot, 6, {}, start);
    EXPECT_EQ(make_snapshot(copy, 0), make_snapshot(hub, 0));
}

// Guards against a replica that ignores what is written to a store that was restored from a backup,
// because the revisions there begin again at that of the backup.
TEST(replica, in_a_new_era_lower_revisions_are_applied)
{
    replica copy;
    apply_snapshot(copy, {written("config", "r10", 20)}, 20, {}, start, 1);
    apply_changes(copy, {written("config", "r11", 30)}, 30, 1);
    apply_snapshot(copy, {written("config", "r10", 20)}, 20, {}, start, 2);
    EXPECT_EQ(copy.revision, 20U);
    EXPECT_EQ(copy.entries.at("config").value, "r11") << "the backup is older";
    EXPECT_EQ(apply_changes(copy, {written("config", "r12", 21)}, 21, 2).size(), 1U);
    EXPECT_EQ(copy.entries.at("config").value, "r12");
    EXPECT_TRUE(apply_held_changes(copy, start + 1h).empty());
}

// Guards against a server that gets requests again although it was listed as leaving, or removed,
// because a store restored from a backup lists it as before.
TEST(replica, a_restored_store_does_not_bring_back_what_has_changed_since_the_backup)
{
    replica copy;
    apply_snapshot(copy, {written("leaving", "ready", 11), written("left", "ready", 12)}, 20, {},
                   start, 1);
    apply_changes(copy, {written("leaving", "draining", 21), removed("left", 22)}, 22, 1);
    const auto backup = {written("leaving", "ready", 11), written("left", "ready", 12)};
    for (int reads = 0; reads < 2; ++reads)
    {
        EXPECT_TRUE(apply_snapshot(copy, backup, 20, {}, start, 2).empty()) << reads;
    }
    EXPECT_EQ(copy.entries.at("leaving").value, "draining");
    EXPECT_FALSE(copy.entries.contains("left"));
    EXPECT_EQ(apply_changes(copy, {removed("left", 21)}, 21, 2).size(), 1U);
    EXPECT_EQ(apply_changes(copy, {written("leaving", "draining", 22)}, 22, 2).size(), 1U);
    EXPECT_TRUE(apply_held_changes(copy, start + 1h).empty());
}

// Guards against a server that is never used again because it changed before its store was restored
// from a backup, and not since.
TEST(replica, a_restored_entry_that_is_not_written_again_is_applied)
{
    replica copy;
    apply_snapshot(copy, {written("a", "1", 11), written("b", "1", 12)}, 20, {}, start, 1);
    apply_changes(copy, {written("a", "2", 21), removed("b", 22)}, 22, 1);
    apply_snapshot(copy, {written("a", "1", 11), written("b", "1", 12)}, 20, {}, start, 2);
    EXPECT_TRUE(apply_held_changes(copy, start + 2s).empty());
    EXPECT_EQ(apply_held_changes(copy, start + rewrite_time),
              (std::vector<entry_change>{written("a", "1", 11)}));
    EXPECT_EQ(apply_held_changes(copy, start + rewrite_time + copy.entry_lifetime),
              (std::vector<entry_change>{written("b", "1", 12)}));
}

// Guards against the loss of servers and data centres out of service that were listed after the
// backup, before they can be written again.
TEST(replica, entries_that_a_restored_store_lacks_get_a_grace_period)
{
    replica copy;
    apply_snapshot(copy, {written("a", "1", 11)}, 20, {}, start, 1);
    apply_changes(copy, {written("b", "1", 21), written("c", "1", 22)}, 22, 1);
    EXPECT_TRUE(apply_snapshot(copy, {written("a", "1", 11)}, 20, {}, start, 2).empty());
    EXPECT_TRUE(apply_snapshot(copy, {written("a", "1", 11)}, 20, {}, start + 1s, 2).empty());
    EXPECT_EQ(copy.entries.size(), 3U);
    apply_changes(copy, {written("b", "1", 21)}, 21, 2);
    EXPECT_EQ(apply_held_changes(copy, start + rewrite_time),
              (std::vector<entry_change>{removed("c", 21)}));
    EXPECT_TRUE(copy.entries.contains("b"));
}

// Guards against the removal of a server that was lost with the restoration, because another lost
// entry was written again at the revision that it had before, as if the backup had held both.
TEST(replica, an_entry_written_again_at_its_old_revision_says_nothing_about_the_others)
{
    replica copy;
    apply_snapshot(copy, {written("config", "r10", 20)}, 20, {}, start, 1);
    apply_changes(copy, {written("a", "1", 21), written("b", "1", 22)}, 22, 1);
    // The backup is of revision 20. Since then c and b were written, and a is about to be.
    const auto restored = {written("config", "r10", 20), written("c", "1", 21),
                           written("b", "1", 22)};
    EXPECT_EQ(apply_snapshot(copy, restored, 22, {}, start, 2),
              (std::vector<entry_change>{written("c", "1", 21)}));
    EXPECT_TRUE(copy.entries.contains("a"));
    EXPECT_TRUE(apply_held_changes(copy, start + rewrite_time - 1ms).empty());
    apply_changes(copy, {written("a", "1", 23)}, 23, 2);
    EXPECT_TRUE(apply_held_changes(copy, start + rewrite_time).empty());
    EXPECT_TRUE(copy.entries.contains("a"));
}

// Guards against a change that takes effect too late because the replica learns of the restoration
// only after it: what was written since is not held back, although its revision is lower than the
// one that the replica knew. A removal since cannot be told from a loss, and waits.
TEST(replica, changes_made_since_the_restoration_are_applied_at_once)
{
    replica copy;
    apply_snapshot(copy,
                   {written("a", "1", 10), written("b", "1", 11), written("config", "r10", 12)}, 12,
                   {}, start, 1);
    apply_changes(copy, {written("config", "r11", 30)}, 30, 1);
    const auto changes = apply_snapshot(copy, {written("b", "1", 11), written("config", "r12", 14)},
                                        14, {}, start, 2);
    EXPECT_EQ(changes, (std::vector<entry_change>{written("config", "r12", 14)}));
    EXPECT_TRUE(apply_held_changes(copy, start + rewrite_time - 1ms).empty());
    EXPECT_EQ(apply_held_changes(copy, start + rewrite_time),
              (std::vector<entry_change>{removed("a", 14)}));
}

// Guards against a replica that returns to the state before a restoration, which another daemon
// that has not noticed it still sends.
TEST(replica, an_earlier_era_has_no_effect)
{
    replica copy;
    apply_snapshot(copy, {written("a", "2", 5)}, 5, {}, start, 2);
    EXPECT_TRUE(apply_changes(copy, {written("a", "1", 9)}, 9, 1).empty());
    EXPECT_TRUE(apply_snapshot(copy, {written("a", "1", 9)}, 9, {}, start, 1).empty());
    EXPECT_EQ(copy.revision, 5U);
    EXPECT_EQ(copy.entries.at("a").value, "2");
}

// Guards against state that a second restoration, soon after the first, brings back.
TEST(replica, what_is_held_back_stays_so_in_the_next_era)
{
    replica copy;
    const auto backup = {written("leaving", "ready", 11), written("left", "ready", 12)};
    apply_snapshot(copy, backup, 20, {}, start, 1);
    apply_changes(copy, {written("leaving", "draining", 21), removed("left", 22)}, 22, 1);
    apply_snapshot(copy, backup, 20, {}, start, 2);
    EXPECT_TRUE(apply_snapshot(copy, backup, 20, {}, start + 1s, 3).empty());
    EXPECT_EQ(copy.entries.at("leaving").value, "draining");
    EXPECT_FALSE(copy.entries.contains("left"));
}

// Guards against a replica that counts as current because a response to a long poll was read late,
// after it had waited in a full link or while the VM was suspended.
TEST(replica, a_delayed_response_to_a_long_poll_is_as_old_as_it_may_be)
{
    const long_poll poll = {.requested_at = start, .max_wait = 1s};
    EXPECT_EQ(long_poll_current_as_of(poll, start + 300ms, true), start + 300ms);
    EXPECT_EQ(long_poll_current_as_of(poll, start + 5s, true), start);
    EXPECT_EQ(long_poll_current_as_of(poll, start + 5s, false), start + 1s);
    EXPECT_EQ(long_poll_current_as_of(poll, start + 999ms, false), start + 999ms);
}

} // namespace
} // namespace zinniaferry::fleet
