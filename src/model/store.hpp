/// The platform's store: entries with revisions, which daemons read and watch. It may be out of
/// reach for all or some daemons; then calls get no response.
#pragma once

#include "fleet/replica.hpp"
#include "model/event_queue.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::model
{

/// The response to a read (all entries) or to a watch (the changes).
struct store_response
{
    /// The store does not have the revision after which changes were asked for.
    bool is_history_gone = false;
    std::vector<fleet::entry_change> changes;
    fleet::store_era era = 1;
    std::uint64_t revision = 0; ///< Of the store when it responded.
};

using store_reply = std::function<void(store_response)>;

/// A watch that has no change to return yet.
struct waiting_watch
{
    std::uint64_t number = 0;
    std::size_t daemon = 0;
    std::uint64_t after = 0; ///< Changes with higher revisions are returned.
    store_reply reply;
};

/// What a backup of the store holds.
struct store_content
{
    std::map<std::string, fleet::entry_change> entries; ///< By key.
    std::vector<fleet::entry_change> log;               ///< All changes, by revision.
    std::uint64_t revision = 0;
};

struct store : store_content
{
    std::uint64_t era = 1;
    bool away = false;              ///< Until it is restored: nothing gets a response.
    std::vector<bool> out_of_reach; ///< By daemon.
    std::uint64_t next_watch = 0;
    std::vector<waiting_watch> watches;
};

/// All functions: not thread safe for the same store.

/// Writes the entry, or removes it without a value, and answers the waiting watches.
void write(store& store, const std::string& key, std::optional<std::string> value);

/// Calls `reply` with all entries, unless the store is out of the daemon's reach.
void read_all(store& store, std::size_t daemon, const store_reply& reply);

/// Calls `reply` with the changes after the revision as soon as there are any, and after `max_wait`
/// without changes. There is no reply while the store is out of the daemon's reach.
void watch(store& store, event_queue& queue, std::size_t daemon, std::uint64_t after,
           core::duration max_wait, store_reply reply);

/// Replaces the content of the store by that of a backup, and cuts the waiting watches. The store
/// is not away any more.
void restore(store& store, store_content backup);

/// Sets whether the store is out of the daemon's reach. Its waiting watches get no reply then.
void set_out_of_reach(store& store, std::size_t daemon, bool out_of_reach);

} // namespace zinniaferry::model
