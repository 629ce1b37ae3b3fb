#include "fleet/replica.hpp"

#include <algorithm>
#include <set>

namespace zinniaferry::fleet
{

namespace
{

/// Removals that are remembered, so that peers can catch up without a complete copy.
constexpr std::size_t max_removals = 512;

void forget_oldest_removal(replica& replica)
{
    const auto oldest =
        std::min_element(replica.removed.begin(), replica.removed.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    replica.removed.erase(oldest);
}

bool remove_entry(replica& replica, const std::string& key, std::uint64_t revision)
{
    std::uint64_t& removed = replica.removed[key];
    removed = std::max(removed, revision);
    if (replica.removed.size() > max_removals)
    {
        forget_oldest_removal(replica);
    }
    replica.missing.erase(key);
    const auto found = replica.entries.find(key);
    if (found == replica.entries.end() || found->second.revision > revision)
    {
        return false;
    }
    replica.entries.erase(found);
    return true;
}

bool write_entry(replica& replica, const entry_change& change)
{
    const auto removed = replica.removed.find(change.key);
    if (removed != replica.removed.end() && removed->second >= change.revision)
    {
        return false;
    }
    replica_entry& entry = replica.entries[change.key];
    replica.missing.erase(change.key);
    if (entry.revision >= change.revision)
    {
        return false;
    }
    entry = {*change.value, change.revision};
    return true;
}

bool apply_change(replica& replica, const entry_change& change)
{
    return change.value ? write_entry(replica, change)
                        : remove_entry(replica, change.key, change.revision);
}

} // namespace

std::vector<entry_change> apply_changes(replica& replica, std::vector<entry_change> changes,
                                        std::uint64_t revision)
{
    std::erase_if(changes,
                  [&](const entry_change& change) { return !apply_change(replica, change); });
    replica.revision = std::max(replica.revision, revision);
    return changes;
}

std::vector<entry_change> apply_copy(replica& replica, std::vector<entry_change> all,
                                     std::uint64_t revision, core::duration grace,
                                     core::time_point now)
{
    std::set<std::string> present;
    for (const entry_change& entry : all)
    {
        present.insert(entry.key);
    }
    std::vector<entry_change> out = apply_changes(replica, std::move(all), 0);
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

catch_up changes_since(const replica& replica, std::uint64_t revision)
{
    catch_up out;
    std::uint64_t oldest_removal = 0;
    if (replica.removed.size() >= max_removals)
    {
        oldest_removal = std::min_element(replica.removed.begin(), replica.removed.end(),
                                          [](const auto& a, const auto& b)
                                          { return a.second < b.second; })
                             ->second;
    }
    out.complete = revision == 0 || revision < oldest_removal;
    for (const auto& [key, entry] : replica.entries)
    {
        if (out.complete || entry.revision > revision)
        {
            out.changes.push_back({key, entry.value, entry.revision});
        }
    }
    for (const auto& [key, removed] : replica.removed)
    {
        if (!out.complete && removed > revision && !replica.entries.contains(key))
        {
            out.changes.push_back({key, std::nullopt, removed});
        }
    }
    return out;
}

} // namespace zinniaferry::fleet
