#include "fleet/replica.hpp"

#include <algorithm>
#include <set>

namespace zinniaferry::fleet
{

namespace
{

/// Tombstones that are kept, so that subscribers can catch up without a snapshot.
constexpr std::size_t max_tombstones = 512;

auto oldest_tombstone(const replica& replica)
{
    return std::min_element(replica.tombstones.begin(), replica.tombstones.end(),
                            [](const auto& a, const auto& b)
                            { return a.second.sequence < b.second.sequence; });
}

bool remove_entry(replica& replica, const std::string& key, std::uint64_t revision)
{
    replica.missing.erase(key);
    const auto found = replica.entries.find(key);
    if (found != replica.entries.end() && found->second.revision > revision)
    {
        return false;
    }
    replica_tombstone& tombstone = replica.tombstones[key];
    const bool known = found != replica.entries.end();
    tombstone.revision = std::max(tombstone.revision, revision);
    if (known)
    {
        tombstone.sequence = ++replica.sequence;
        replica.entries.erase(found);
    }
    if (replica.tombstones.size() > max_tombstones)
    {
        replica.tombstones.erase(oldest_tombstone(replica));
    }
    return known;
}

bool write_entry(replica& replica, const entry_change& change)
{
    const auto tombstone = replica.tombstones.find(change.key);
    if (tombstone != replica.tombstones.end() && tombstone->second.revision >= change.revision)
    {
        return false;
    }
    replica_entry& entry = replica.entries[change.key];
    replica.missing.erase(change.key);
    if (entry.revision >= change.revision)
    {
        return false;
    }
    entry = {*change.value, change.revision, ++replica.sequence};
    return true;
}

bool apply_change(replica& replica, const entry_change& change)
{
    if (change.unchanged)
    {
        return false;
    }
    return change.value ? write_entry(replica, change)
                        : remove_entry(replica, change.key, change.revision);
}

} // namespace

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
                                        std::uint64_t revision)
{
    std::erase_if(changes,
                  [&](const entry_change& change) { return !apply_change(replica, change); });
    replica.revision = std::max(replica.revision, revision);
    return changes;
}

std::vector<entry_change> apply_snapshot(replica& replica, std::vector<entry_change> snapshot,
                                         std::uint64_t revision, core::duration grace,
                                         core::time_point now)
{
    std::set<std::string> present;
    for (const entry_change& entry : snapshot)
    {
        present.insert(entry.key);
    }
    std::vector<entry_change> out = apply_changes(replica, std::move(snapshot), 0);
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
        if (grace > core::duration::zero())
        {
            replica.missing.try_emplace(key, now + grace);
        }
        else if (remove_entry(replica, key, revision))
        {
            out.push_back({.key = key, .value = std::nullopt, .revision = revision});
        }
    }
    replica.revision = std::max(replica.revision, revision);
    replica.complete = true;
    return out;
}

std::vector<entry_change> expire_missing(replica& replica, core::time_point now)
{
    std::vector<entry_change> out;
    std::vector<std::string> due;
    for (const auto& [key, until] : replica.missing)
    {
        if (now >= until)
        {
            due.push_back(key);
        }
    }
    for (const std::string& key : due)
    {
        if (remove_entry(replica, key, replica.revision))
        {
            out.push_back({.key = key, .value = std::nullopt, .revision = replica.revision});
        }
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
