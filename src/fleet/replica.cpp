#include "fleet/replica.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace zinniaferry::fleet
{

namespace
{

/// Tombstones that are kept, so that subscribers can catch up without a snapshot.
constexpr std::size_t max_tombstones = 512;
/// Superseded values that are kept; a backup of the store may be some seconds old.
constexpr std::size_t max_superseded = 1024;

auto oldest_tombstone(const replica& replica)
{
    return std::min_element(replica.tombstones.begin(), replica.tombstones.end(),
                            [](const auto& a, const auto& b)
                            { return a.second.sequence < b.second.sequence; });
}

void remember_superseded(replica& replica, const std::string& key, const replica_entry& entry)
{
    replica.superseded.push_back({key, entry.revision, core::stable_hash(entry.value)});
    if (replica.superseded.size() > max_superseded)
    {
        replica.superseded.pop_front();
    }
}

/// Returns the revision of the value that is held back for the key, or 0 for none.
std::uint64_t held_revision(const replica& replica, const std::string& key)
{
    const auto held = replica.held.find(key);
    const bool has_value = held != replica.held.end() && held->second.change.value;
    return has_value ? held->second.change.revision : 0;
}

bool remove_entry(replica& replica, const std::string& key, std::uint64_t revision)
{
    const auto found = replica.entries.find(key);
    const bool is_newer = found != replica.entries.end() && found->second.revision > revision;
    if (is_newer || held_revision(replica, key) > revision)
    {
        return false;
    }
    const bool was_held = replica.held.erase(key) > 0;
    replica_tombstone& tombstone = replica.tombstones[key];
    const bool is_listed = found != replica.entries.end();
    tombstone.revision = std::max(tombstone.revision, revision);
    // The removal of an entry that was held back ends that at the subscribers, too.
    const bool is_change = is_listed || was_held;
    if (is_change)
    {
        tombstone.sequence = ++replica.sequence;
    }
    if (is_listed)
    {
        remember_superseded(replica, key, found->second);
        replica.entries.erase(found);
    }
    if (replica.tombstones.size() > max_tombstones)
    {
        replica.tombstones.erase(oldest_tombstone(replica));
    }
    return is_change;
}

void write_entry(replica& replica, const entry_change& change)
{
    replica_entry& entry = replica.entries[change.key];
    if (entry.revision != 0)
    {
        remember_superseded(replica, change.key, entry);
    }
    entry = {*change.value, change.revision, ++replica.sequence};
}

bool is_newer(const replica& replica, const entry_change& change)
{
    const auto tombstone = replica.tombstones.find(change.key);
    if (tombstone != replica.tombstones.end() && tombstone->second.revision >= change.revision)
    {
        return false;
    }
    const auto entry = replica.entries.find(change.key);
    return entry == replica.entries.end() || entry->second.revision < change.revision;
}

void hold(replica& replica, entry_change change, core::time_point until)
{
    std::string key = change.key;
    replica.held.insert_or_assign(std::move(key), held_change{std::move(change), until});
}

/// Returns whether the value is known to be superseded. What was written since a restoration has a
/// higher revision than any value of the backup.
bool is_superseded(const replica& replica, const entry_change& change)
{
    const std::uint64_t hash = core::stable_hash(*change.value);
    return std::any_of(replica.superseded.begin(), replica.superseded.end(),
                       [&](const superseded_value& earlier)
                       {
                           return earlier.revision == change.revision &&
                                  earlier.value_hash == hash && earlier.key == change.key;
                       });
}

bool apply_write(replica& replica, const entry_change& change)
{
    const std::uint64_t held = held_revision(replica, change.key);
    if (held != 0 && held >= change.revision)
    {
        return false;
    }
    replica.held.erase(change.key);
    if (!is_newer(replica, change))
    {
        return false;
    }
    // Another daemon may not know that the value is superseded, and so use it.
    if (replica.restoration_settles_at && is_superseded(replica, change))
    {
        hold(replica, change, *replica.restoration_settles_at);
        return false;
    }
    write_entry(replica, change);
    return true;
}

bool apply_change(replica& replica, const entry_change& change)
{
    if (change.unchanged)
    {
        return false;
    }
    return change.value ? apply_write(replica, change)
                        : remove_entry(replica, change.key, change.revision);
}

/// A revision that any later change of the entry exceeds, and the change itself as well.
std::uint64_t revision_before(const entry_change& change)
{
    return change.revision == 0 ? 0 : change.revision - 1;
}

using entry_map = std::map<std::string, replica_entry>;

/// Adopts an entry of the restored store. Returns whether that changed the entry.
bool adopt_entry(replica& replica, const entry_map& before, const entry_change& restored,
                 core::time_point now)
{
    const auto known = before.find(restored.key);
    const bool is_listed = known != before.end();
    if (is_listed && known->second.value == *restored.value)
    {
        replica.entries[restored.key] = {*restored.value, restored.revision,
                                         known->second.sequence};
        return false;
    }
    if (!is_superseded(replica, restored))
    {
        replica.entries[restored.key] = {*restored.value, restored.revision, ++replica.sequence};
        return true;
    }
    if (is_listed)
    {
        replica.entries[restored.key] = {known->second.value, revision_before(restored),
                                         known->second.sequence};
        hold(replica, restored, now + rewrite_time);
    }
    else
    {
        // Nothing writes the entry of a server that has left: it expires.
        hold(replica, restored, *replica.restoration_settles_at);
    }
    return false;
}

std::vector<entry_change> begin_era(replica& replica, const std::vector<entry_change>& snapshot,
                                    std::uint64_t revision, core::time_point now)
{
    const entry_map before = std::exchange(replica.entries, {});
    replica.tombstones.clear();
    replica.held.clear();
    replica.restoration_settles_at = now + replica.entry_lifetime + rewrite_time;
    replica.revision = revision;
    ++replica.sequence; // Subscribers need a snapshot, whether or not an entry changed.
    std::vector<entry_change> out;
    for (const entry_change& restored : snapshot)
    {
        if (restored.value && adopt_entry(replica, before, restored, now))
        {
            out.push_back(restored);
        }
    }
    // An entry may have been removed since the backup, or written after it and lost.
    for (const auto& [key, entry] : before)
    {
        if (replica.entries.contains(key))
        {
            continue;
        }
        replica.entries[key] = {entry.value, revision, entry.sequence};
        hold(replica, {.key = key, .value = std::nullopt, .revision = revision},
             now + rewrite_time);
    }
    return out;
}

/// Applies a change that was held back until now. Returns whether it took effect.
bool apply_held_change(replica& replica, const entry_change& change)
{
    replica.held.erase(change.key);
    if (!change.value)
    {
        return remove_entry(replica, change.key, change.revision);
    }
    if (!is_newer(replica, change))
    {
        return false;
    }
    write_entry(replica, change);
    return true;
}

} // namespace

bool is_same_era(store_era a, store_era b)
{
    return !a || !b || *a == *b;
}

core::time_point long_poll_current_as_of(const long_poll& poll, core::time_point received_at,
                                         bool has_changes)
{
    const core::time_point end_of_wait = poll.requested_at + poll.max_wait;
    if (!has_changes)
    {
        return std::min(received_at, end_of_wait);
    }
    return received_at <= end_of_wait ? received_at : poll.requested_at;
}

std::vector<entry_change> apply_changes(replica& replica, std::vector<entry_change> changes,
                                        std::uint64_t revision, store_era era)
{
    if (!is_same_era(replica.era, era))
    {
        return {};
    }
    std::erase_if(changes,
                  [&](const entry_change& change) { return !apply_change(replica, change); });
    replica.revision = std::max(replica.revision, revision);
    return changes;
}

std::vector<entry_change> apply_snapshot(replica& replica, std::vector<entry_change> snapshot,
                                         std::uint64_t revision, core::duration grace,
                                         core::time_point now, store_era era)
{
    if (!is_same_era(replica.era, era))
    {
        if (*era < *replica.era)
        {
            return {};
        }
        replica.era = era;
        return begin_era(replica, snapshot, revision, now);
    }
    replica.era = era ? era : replica.era;
    std::set<std::string> present;
    for (const entry_change& entry : snapshot)
    {
        present.insert(entry.key);
    }
    std::vector<entry_change> out = apply_changes(replica, std::move(snapshot), 0);
    std::erase_if(replica.held,
                  [&](const auto& entry)
                  {
                      const entry_change& change = entry.second.change;
                      return change.value && change.revision <= revision &&
                             !present.contains(entry.first);
                  });
    std::vector<std::string> gone;
    for (const auto& [key, entry] : replica.entries)
    {
        if (!present.contains(key) && entry.revision <= revision)
        {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone)
    {
        if (replica.held.contains(key))
        {
            continue;
        }
        entry_change removal = {.key = key, .value = std::nullopt, .revision = revision};
        if (grace > core::duration::zero())
        {
            hold(replica, std::move(removal), now + grace);
        }
        else if (remove_entry(replica, key, revision))
        {
            out.push_back(std::move(removal));
        }
    }
    replica.revision = std::max(replica.revision, revision);
    replica.complete = true;
    return out;
}

std::vector<entry_change> apply_held_changes(replica& replica, core::time_point now)
{
    std::vector<entry_change> out;
    for (const auto& [key, held] : replica.held)
    {
        if (now >= held.until)
        {
            out.push_back(held.change);
            // A removal is known as of the revision that still lacks the entry.
            out.back().revision = held.change.value ? held.change.revision : replica.revision;
        }
    }
    std::erase_if(out,
                  [&](const entry_change& change) { return !apply_held_change(replica, change); });
    if (replica.restoration_settles_at && now >= *replica.restoration_settles_at)
    {
        replica.restoration_settles_at.reset();
    }
    return out;
}

std::vector<entry_change> make_snapshot(const replica& replica, std::uint64_t known_revision)
{
    std::vector<entry_change> out;
    out.reserve(replica.entries.size());
    for (const auto& [key, entry] : replica.entries)
    {
        const bool unchanged = entry.revision <= known_revision;
        out.push_back({.key = key,
                       .value = unchanged ? std::nullopt : std::optional(entry.value),
                       .revision = entry.revision,
                       .unchanged = unchanged});
    }
    return out;
}

std::optional<std::vector<entry_change>> changes_after(const replica& replica,
                                                       std::uint64_t sequence)
{
    if (replica.tombstones.size() >= max_tombstones &&
        oldest_tombstone(replica)->second.sequence > sequence)
    {
        return std::nullopt;
    }
    std::vector<entry_change> out;
    for (const auto& [key, entry] : replica.entries)
    {
        if (entry.sequence > sequence)
        {
            out.push_back({key, entry.value, entry.revision});
        }
    }
    for (const auto& [key, tombstone] : replica.tombstones)
    {
        if (tombstone.sequence > sequence && !replica.entries.contains(key))
        {
            out.push_back({key, std::nullopt, tombstone.revision});
        }
    }
    return out;
}

} // namespace zinniaferry::fleet
