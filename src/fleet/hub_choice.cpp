#include "fleet/hub_choice.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

/// With two hubs, losing one does not interrupt the updates.
constexpr std::size_t wanted_hub_count = 2;
/// Limit on connected candidates while fewer than `wanted_hub_count` are current.
constexpr std::size_t max_connected_hubs = 4;
/// Changes must be in force on all daemons within about two seconds of being made.
constexpr core::duration max_hub_staleness = std::chrono::milliseconds(1800);
/// Time after the start in which hubs may send their first update. A hub that is up answers within
/// a few milliseconds.
constexpr core::duration first_update_timeout = std::chrono::milliseconds(100);
/// Delay after the first failure; it doubles with each further one.
constexpr core::duration initial_retry_delay = std::chrono::milliseconds(250);
constexpr std::uint32_t max_backoff_doublings = 3;
/// Retry delay while no hub is reachable, as when the whole fleet restarts.
constexpr core::duration fast_retry_delay = std::chrono::milliseconds(100);
/// After this many failures a seed is taken to be down rather than starting.
constexpr std::uint32_t max_fast_retries = 20;
/// Late grants in a row after which a hub is slow.
constexpr std::uint32_t max_late_grants = 5;
constexpr core::duration slow_hub_time = std::chrono::seconds(10);

// Returns when the next connection to the candidate may be opened. `fast_retry` applies while no
// hub is reachable.
core::time_point next_connect_time(const hub_candidate& candidate, bool fast_retry)
{
    if (candidate.consecutive_failures == 0)
    {
        return candidate.closed_at;
    }
    if (fast_retry && candidate.consecutive_failures <= max_fast_retries)
    {
        return candidate.closed_at + fast_retry_delay;
    }
    const std::uint32_t doublings =
        std::min(candidate.consecutive_failures - 1, max_backoff_doublings);
    return candidate.closed_at + initial_retry_delay * (1U << doublings);
}

hub_candidate* find(hub_choice& choice, const std::string& address)
{
    const auto found =
        std::find_if(choice.candidates.begin(), choice.candidates.end(),
                     [&](const hub_candidate& entry) { return entry.address == address; });
    return found == choice.candidates.end() ? nullptr : &*found;
}

bool ranks_before(const hub_candidate& a, const hub_candidate& b)
{
    if (a.link_mbps != b.link_mbps)
    {
        return a.link_mbps > b.link_mbps;
    }
    return core::stable_hash(a.address) < core::stable_hash(b.address);
}

bool is_reachable(const hub_candidate& candidate, core::time_point now)
{
    return candidate.connected && now - candidate.last_heard < hub_silence_timeout;
}

bool is_current(const hub_candidate& candidate, core::time_point now)
{
    return is_reachable(candidate, now) && now - candidate.current_as_of < max_hub_staleness;
}

// Returns whether the candidate has not been tried yet, or is connected and has not sent its first
// update. Counting such candidates as hubs keeps a daemon from opening connections to all members
// while its hubs are about to answer.
bool may_become_current(const hub_candidate& candidate, core::time_point now)
{
    const bool untried = !candidate.connected && candidate.consecutive_failures == 0;
    const bool just_connected = candidate.connected &&
                                candidate.current_as_of == core::time_point() &&
                                now - candidate.last_heard < hub_silence_timeout;
    return untried || just_connected;
}

// Visits the wanted candidates in rank order, down to the last hub, until `visit` returns false.
template <class Visit>
void for_each_wanted(const hub_choice& choice, core::time_point now, Visit visit)
{
    std::size_t hubs = 0;
    std::size_t reachable = 0;
    for (const hub_candidate& candidate : choice.candidates)
    {
        if (hubs >= wanted_hub_count || reachable >= max_connected_hubs || !visit(candidate))
        {
            return;
        }
        const bool self = candidate.address == choice.own_address;
        const bool counts =
            self || is_current(candidate, now) || may_become_current(candidate, now);
        hubs += counts ? 1 : 0;
        reachable += counts || is_reachable(candidate, now) ? 1 : 0;
    }
}

// Returns whether the candidate is a hub, ranks above one, or may become one.
bool is_wanted_as_hub(const hub_choice& choice, const std::string& address, core::time_point now)
{
    bool found = false;
    for_each_wanted(choice, now,
                    [&](const hub_candidate& candidate)
                    {
                        found = candidate.address == address;
                        return !found;
                    });
    return found;
}

} // namespace

void set_seeds(hub_choice& choice, const std::vector<std::string>& seeds)
{
    std::vector<hub_candidate> next;
    for (const std::string& address : seeds)
    {
        hub_candidate* known = find(choice, address);
        next.push_back(known != nullptr ? *known : hub_candidate{.address = address});
    }
    choice.seed_count = next.size();
    for (const hub_candidate& candidate : choice.candidates)
    {
        if (std::find(seeds.begin(), seeds.end(), candidate.address) == seeds.end())
        {
            next.push_back(candidate);
        }
    }
    choice.candidates = std::move(next);
}

void set_members(hub_choice& choice, const std::vector<member>& members)
{
    const auto is_member = [&](const std::string& address)
    {
        return address == choice.own_address ||
               std::any_of(members.begin(), members.end(),
                           [&](const member& entry) { return entry.address == address; });
    };
    const auto seeds_end =
        choice.candidates.begin() + static_cast<std::ptrdiff_t>(choice.seed_count);
    choice.candidates.erase(std::remove_if(seeds_end, choice.candidates.end(),
                                           [&](const hub_candidate& entry) {
                                               return !entry.connected && !is_member(entry.address);
                                           }),
                            choice.candidates.end());
    const auto add = [&](const std::string& address, std::uint32_t link_mbps)
    {
        hub_candidate* known = find(choice, address);
        if (known == nullptr)
        {
            known = &choice.candidates.emplace_back(hub_candidate{.address = address});
        }
        // A daemon of a version that does not report it leaves what is known.
        known->link_mbps = link_mbps == 0 ? known->link_mbps : link_mbps;
    };
    add(choice.own_address, choice.own_link_mbps);
    for (const member& entry : members)
    {
        add(entry.address, entry.link_mbps);
    }
    std::sort(choice.candidates.begin() + static_cast<std::ptrdiff_t>(choice.seed_count),
              choice.candidates.end(), ranks_before);
}

std::vector<std::string> connections_to_open(hub_choice& choice, core::time_point now)
{
    std::vector<std::string> out;
    const bool fast_retry = !primary_hub(choice, now);
    const auto request = [&](const hub_candidate& candidate)
    {
        const bool idle = candidate.address != choice.own_address && !candidate.connected &&
                          !candidate.connection_requested;
        if (idle && now >= next_connect_time(candidate, fast_retry))
        {
            find(choice, candidate.address)->connection_requested = true;
            out.push_back(candidate.address);
        }
    };
    for_each_wanted(choice, now,
                    [&](const hub_candidate& candidate)
                    {
                        request(candidate);
                        return true;
                    });
    for (const hub_candidate& seed : seeds_of(choice))
    {
        if (choice.meet_all_seeds)
        {
            request(seed);
        }
    }
    return out;
}

bool is_wanted(const hub_choice& choice, const std::string& address, core::time_point now)
{
    const auto seeds = seeds_of(choice);
    const bool is_seed_to_meet =
        choice.meet_all_seeds &&
        std::any_of(seeds.begin(), seeds.end(),
                    [&](const hub_candidate& seed) { return seed.address == address; });
    return is_seed_to_meet || is_wanted_as_hub(choice, address, now);
}

void on_connected(hub_choice& choice, const std::string& address, core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->connected = true;
        candidate->last_heard = now;
        candidate->current_as_of = core::time_point();
    }
}

void on_closed(hub_choice& choice, const std::string& address, core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->connected = false;
        candidate->connection_requested = false;
        candidate->closed_at = now;
        ++candidate->consecutive_failures;
    }
}

void on_update(hub_choice& choice, const std::string& address, core::time_point current_as_of,
               core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->last_heard = now;
        candidate->current_as_of = std::max(candidate->current_as_of, current_as_of);
        candidate->consecutive_failures = 0;
    }
}

void on_met(hub_choice& choice, const std::string& address, core::time_point now)
{
    for (hub_candidate& seed : std::span(choice.candidates).first(choice.seed_count))
    {
        seed.last_met = seed.address == address ? now : seed.last_met;
    }
}

std::span<const hub_candidate> seeds_of(const hub_choice& choice)
{
    return std::span(choice.candidates).first(choice.seed_count);
}

std::size_t count_seeds_in_contact(const hub_choice& choice, core::time_point now)
{
    const auto seeds = seeds_of(choice);
    return static_cast<std::size_t>(std::count_if(seeds.begin(), seeds.end(),
                                                  [&](const hub_candidate& seed) {
                                                      return seed.address == choice.own_address ||
                                                             now - seed.last_met < contact_timeout;
                                                  }));
}

bool names_no_other_seed(const hub_choice& choice)
{
    const auto seeds = seeds_of(choice);
    return std::all_of(seeds.begin(), seeds.end(),
                       [&](const hub_candidate& seed)
                       { return seed.address == choice.own_address; });
}

void on_grant_in_time(hub_choice& choice, const std::string& address)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->late_grants = 0;
    }
}

void on_grant_late(hub_choice& choice, const std::string& address, core::time_point now)
{
    hub_candidate* candidate = find(choice, address);
    if (candidate != nullptr && ++candidate->late_grants >= max_late_grants)
    {
        candidate->late_grants = 0;
        candidate->slow_until = now + slow_hub_time;
    }
}

bool is_hub(const hub_choice& choice, core::time_point now)
{
    return is_wanted_as_hub(choice, choice.own_address, now);
}

std::optional<std::string> primary_hub(const hub_choice& choice, core::time_point now)
{
    std::optional<std::string> first;
    std::optional<std::string> first_not_slow;
    for_each_wanted(choice, now,
                    [&](const hub_candidate& candidate)
                    {
                        const bool own = candidate.address == choice.own_address;
                        if (!own && !is_reachable(candidate, now))
                        {
                            return true;
                        }
                        first = first.value_or(candidate.address);
                        if (now < candidate.slow_until)
                        {
                            return true;
                        }
                        first_not_slow = candidate.address;
                        return false;
                    });
    return first_not_slow ? first_not_slow : first;
}

bool must_follow_platform(const hub_choice& choice, bool has_subscribers, core::time_point started,
                          core::time_point now)
{
    return has_subscribers || is_hub(choice, now) ||
           (now - started >= first_update_timeout && !has_current_hub(choice, now));
}

bool has_current_hub(const hub_choice& choice, core::time_point now)
{
    return std::any_of(choice.candidates.begin(), choice.candidates.end(),
                       [&](const hub_candidate& entry) { return is_current(entry, now); });
}

boost::json::array dump(const hub_choice& choice, core::time_point now)
{
    boost::json::array out;
    for (const hub_candidate& entry : choice.candidates)
    {
        out.push_back({{"address", entry.address},
                       {"connected", entry.connected},
                       {"current", is_current(entry, now)},
                       {"slow", now < entry.slow_until},
                       {"met", entry.last_met != core::time_point()},
                       {"wanted", is_wanted(choice, entry.address, now)}});
    }
    return out;
}

} // namespace zinniaferry::fleet
