#include "limits/body_budget.hpp"

#include <algorithm>

namespace zinniaferry::limits
{

namespace
{

bool is_large(const body_budget& budget, std::uint64_t bytes)
{
    return bytes > budget.options.small_bytes;
}

std::uint64_t large_part(const body_budget& budget, std::uint64_t bytes)
{
    return is_large(budget, bytes) ? bytes : 0;
}

bool has_room(const body_budget& budget, std::uint64_t held_by_others,
              std::uint64_t large_of_others, std::uint64_t bytes)
{
    const body_budget_options& options = budget.options;
    if (!is_large(budget, bytes))
    {
        return held_by_others <= options.bytes && bytes <= options.bytes - held_by_others;
    }
    const std::uint64_t room = options.bytes - options.small_reserve;
    const bool fits = held_by_others <= room && bytes <= room - held_by_others;
    return fits || (large_of_others == 0 && held_by_others <= options.single_bytes &&
                    bytes <= options.single_bytes - held_by_others);
}

// Returns whether a body that waits would have room if there were no small ones.
bool is_kept_out_by_small(const body_budget& budget, std::uint64_t bytes)
{
    return !has_room(budget, budget.held, budget.held_large, bytes) &&
           has_room(budget, budget.held_large, budget.held_large, bytes);
}

// Returns how far the caller is behind a steady transfer that ends in time, as a share of it.
double share_behind(const body_entry& entry, core::time_point now)
{
    const double time_limit = core::to_seconds(entry.complete_by - entry.began_at);
    if (entry.expected == 0 || time_limit <= 0.0)
    {
        return 0.0;
    }
    const double time_share = core::to_seconds(now - entry.began_at) / time_limit;
    const double done = static_cast<double>(entry.transferred);
    return time_share - done / static_cast<double>(entry.expected);
}

} // namespace

body_budget_options make_body_budget_options(std::uint64_t memory_bytes)
{
    body_budget_options out;
    if (memory_bytes == 0)
    {
        return out;
    }
    // The other half is for the program, its connections, and bytes that the kernel holds.
    out.bytes = memory_bytes / 2;
    out.small_reserve = memory_bytes / 16;
    out.single_bytes = memory_bytes / 4 * 3 - out.small_reserve;
    return out;
}

body_id add_body(body_budget& budget)
{
    budget.entries.emplace(++budget.last_id, body_entry());
    return budget.last_id;
}

reservation reserve(body_budget& budget, body_id id, std::uint64_t bytes)
{
    body_entry& entry = budget.entries.at(id);
    if (bytes <= entry.reserved)
    {
        return reservation::granted;
    }
    if (bytes > budget.options.single_bytes)
    {
        return reservation::too_large;
    }
    const std::uint64_t own_large = large_part(budget, entry.reserved);
    const std::uint64_t held_by_others = budget.held - entry.reserved;
    const std::uint64_t large_of_others = budget.held_large - own_large;
    if (!has_room(budget, held_by_others, large_of_others, bytes))
    {
        return reservation::wait;
    }
    entry.reserved = bytes;
    budget.held = held_by_others + bytes;
    budget.held_large = large_of_others + large_part(budget, bytes);
    return reservation::granted;
}

void begin_transfer(body_budget& budget, body_id id, std::uint64_t expected, core::time_point now,
                    core::time_point complete_by)
{
    body_entry& entry = budget.entries.at(id);
    entry.in_transfer = true;
    entry.transferred = 0;
    entry.expected = expected;
    entry.began_at = now;
    entry.progress_at = now;
    entry.complete_by = complete_by;
}

void on_progress(body_budget& budget, body_id id, std::uint64_t transferred, core::time_point now)
{
    body_entry& entry = budget.entries.at(id);
    if (transferred > entry.transferred)
    {
        entry.transferred = transferred;
        entry.progress_at = now;
    }
}

void end_transfer(body_budget& budget, body_id id)
{
    budget.entries.at(id).in_transfer = false;
}

void release(body_budget& budget, body_id id)
{
    const body_entry& entry = budget.entries.at(id);
    budget.held -= entry.reserved;
    budget.held_large -= large_part(budget, entry.reserved);
    budget.entries.erase(id);
}

std::optional<body_id> slowest_transfer(const body_budget& budget, std::uint64_t bytes,
                                        core::time_point now)
{
    std::optional<body_id> stalled, behind;
    const bool do_small_help = !is_large(budget, bytes) || is_kept_out_by_small(budget, bytes);
    core::time_point oldest_progress = now - budget.options.stall_time;
    double most_behind = 0.0;
    for (const auto& [id, entry] : budget.entries)
    {
        const bool is_large_body = is_large(budget, entry.reserved);
        if (!entry.in_transfer || entry.reserved == 0 || !(is_large_body || do_small_help))
        {
            continue;
        }
        if (entry.progress_at <= oldest_progress)
        {
            stalled = id;
            oldest_progress = entry.progress_at;
        }
        // A transfer that has just begun has no rate yet.
        const bool has_rate = now - entry.began_at >= budget.options.stall_time;
        const bool is_peer = is_large_body || !is_large(budget, bytes);
        const double share = share_behind(entry, now);
        if (has_rate && is_peer && share > most_behind)
        {
            behind = id;
            most_behind = share;
        }
    }
    return stalled ? stalled : behind;
}

} // namespace zinniaferry::limits
