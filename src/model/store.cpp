#include "model/store.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

store_response response_after(const store& store, std::uint64_t revision)
{
    store_response out{.era = store.era, .revision = store.revision};
    out.is_history_gone = revision > store.revision;
    std::copy_if(store.log.begin(), store.log.end(), std::back_inserter(out.changes),
                 [&](const fleet::entry_change& change) { return change.revision > revision; });
    return out;
}

} // namespace

void write(store& store, const std::string& key, std::optional<std::string> value)
{
    const fleet::entry_change change = {key, std::move(value), ++store.revision};
    store.log.push_back(change);
    if (change.value)
    {
        store.entries[key] = change;
    }
    else
    {
        store.entries.erase(key);
    }
    std::vector<waiting_watch> due;
    due.swap(store.watches);
    for (const waiting_watch& entry : due)
    {
        entry.reply(response_after(store, entry.after));
    }
}

void read_all(store& store, std::size_t daemon, const store_reply& reply)
{
    if (store.away || store.out_of_reach[daemon])
    {
        return;
    }
    store_response out{.era = store.era, .revision = store.revision};
    for (const auto& [key, entry] : store.entries)
    {
        out.changes.push_back(entry);
    }
    reply(std::move(out));
}

void watch(store& store, event_queue& queue, std::size_t daemon, std::uint64_t after,
           core::duration max_wait, store_reply reply)
{
    if (store.away || store.out_of_reach[daemon])
    {
        return;
    }
    if (store.revision != after)
    {
        reply(response_after(store, after));
        return;
    }
    const std::uint64_t number = store.next_watch++;
    store.watches.push_back({number, daemon, after, std::move(reply)});
    schedule(queue, queue.now + max_wait,
             [&store, number]
             {
                 const auto found = std::find_if(store.watches.begin(), store.watches.end(),
                                                 [&](const waiting_watch& entry)
                                                 { return entry.number == number; });
                 if (found != store.watches.end() && !store.away)
                 {
                     const waiting_watch ended = *found;
                     store.watches.erase(found);
                     ended.reply(response_after(store, ended.after));
                 }
             });
}

void restore(store& store, store_content backup)
{
    static_cast<store_content&>(store) = std::move(backup);
    ++store.era;
    store.away = false;
    store.watches.clear();
}

void set_out_of_reach(store& store, std::size_t daemon, bool out_of_reach)
{
    store.out_of_reach[daemon] = out_of_reach;
    if (out_of_reach)
    {
        std::erase_if(store.watches,
                      [&](const waiting_watch& entry) { return entry.daemon == daemon; });
    }
}

} // namespace zinniaferry::model
