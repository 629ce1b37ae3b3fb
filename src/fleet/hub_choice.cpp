#include "fleet/hub_choice.hpp"

#include "core/hash.hpp"

#include <algorithm>

namespace zinniaferry::fleet
{

namespace
{

/// One hub may be lost without a gap.
constexpr std::size_t hubs = 2;
/// Hubs that are connected while not enough of them are current.
constexpr std::size_t most_hubs = 4;
/// A hub sends several messages in this time.
constexpr core::duration silent_after = std::chrono::milliseconds(1300);
/// Changes must be in force everywhere within about two seconds of being made.
constexpr core::duration stale_after = std::chrono::milliseconds(1800);
/// A hub that is up answers within a few milliseconds.
constexpr core::duration first_answer = std::chrono::milliseconds(100);
constexpr core::duration first_pause = std::chrono::milliseconds(250);
constexpr std::uint32_t max_doublings = 3;
/// Pause between tries while no hub is reached, as when the whole fleet starts anew.
constexpr core::duration hasty_pause = std::chrono::milliseconds(100);
/// Then seeds that stay away are down rather than starting.
constexpr std::uint32_t max_hasty_tries = 20;

// When the next connection to a candidate that was closed may be opened. `hasty`: no hub is
// reached.
core::time_point next_try(const hub_candidate& candidate, bool hasty)
{
    if (candidate.failures == 0)
    {
        return candidate.closed_at;
    }
    if (hasty && candidate.failures <= max_hasty_tries)
    {
        return candidate.closed_at + hasty_pause;
    }
    const std::uint32_t doublings = std::min(candidate.failures - 1, max_doublings);
    return candidate.closed_at + first_pause * (1U << doublings);
}

hub_candidate* find(hub_choice& choice, const std::string& address)
{
    const auto found =
        std::find_if(choice.candidates.begin(), choice.candidates.end(),
                     [&](const hub_candidate& entry) { return entry.address == address; });
    return found == choice.candidates.end() ? nullptr : &*found;
}

bool is_reached(const hub_candidate& candidate, core::time_point now)
{
    return candidate.connected && now - candidate.heard < silent_after;
}

bool is_current(const hub_candidate& candidate, core::time_point now)
{
    return is_reached(candidate, now) && now - candidate.current_at < stale_after;
}

// Not tried yet, or connected a moment ago. Counting such candidates keeps a daemon from opening
// connections to all members while its hubs are about to answer.
bool may_become_current(const hub_candidate& candidate, core::time_point now)
{
    const bool untried = !candidate.connected && candidate.failures == 0;
    const bool just_connected = candidate.connected && candidate.current_at == core::time_point() &&
                                now - candidate.heard < silent_after;
    return untried || just_connected;
}

// Visits the candidates that are hubs or precede the hubs, and stops when `visit` returns false.
template <class Visit>
void for_each_considered(const hub_choice& choice, core::time_point now, Visit visit)
{
    std::size_t usable = 0;
    std::size_t reached = 0;
    for (const hub_candidate& candidate : choice.candidates)
    {
        if (usable >= hubs || reached >= most_hubs || !visit(candidate))
        {
            return;
        }
        const bool self = candidate.address == choice.self;
        const bool counts =
            self || is_current(candidate, now) || may_become_current(candidate, now);
        usable += counts ? 1 : 0;
        reached += counts || is_reached(candidate, now) ? 1 : 0;
    }
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
    choice.seeds = next.size();
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
        return address == choice.self ||
               std::any_of(members.begin(), members.end(),
                           [&](const member& entry) { return entry.address == address; });
    };
    const auto seeds_end = choice.candidates.begin() + static_cast<std::ptrdiff_t>(choice.seeds);
    choice.candidates.erase(std::remove_if(seeds_end, choice.candidates.end(),
                                           [&](const hub_candidate& entry) {
                                               return !entry.connected && !is_member(entry.address);
                                           }),
                            choice.candidates.end());
    const auto add = [&](const std::string& address)
    {
        if (find(choice, address) == nullptr)
        {
            choice.candidates.push_back({.address = address});
        }
    };
    add(choice.self);
    for (const member& entry : members)
    {
        add(entry.address);
    }
    std::sort(choice.candidates.begin() + static_cast<std::ptrdiff_t>(choice.seeds),
              choice.candidates.end(),
              [](const hub_candidate& a, const hub_candidate& b)
              { return core::stable_hash(a.address) < core::stable_hash(b.address); });
}

std::vector<std::string> wanted_connections(hub_choice& choice, core::time_point now)
{
    std::vector<std::string> out;
    const bool hasty = !primary_hub(choice, now);
    for_each_considered(choice, now,
                        [&](const hub_candidate& candidate)
                        {
                            const bool idle = candidate.address != choice.self &&
                                              !candidate.connected && !candidate.trying;
                            if (idle && now >= next_try(candidate, hasty))
                            {
                                out.push_back(candidate.address);
                            }
                            return true;
                        });
    for (const std::string& address : out)
    {
        find(choice, address)->trying = true;
    }
    return out;
}

bool is_wanted(const hub_choice& choice, const std::string& address, core::time_point now)
{
    bool found = false;
    for_each_considered(choice, now,
                        [&](const hub_candidate& candidate)
                        {
                            found = candidate.address == address;
                            return !found;
                        });
    return found;
}

void on_connected(hub_choice& choice, const std::string& address, core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->connected = true;
        candidate->heard = now;
        candidate->current_at = core::time_point();
    }
}

void on_closed(hub_choice& choice, const std::string& address, core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->connected = false;
        candidate->trying = false;
        candidate->closed_at = now;
        ++candidate->failures;
    }
}

void on_heard(hub_choice& choice, const std::string& address, core::duration age,
              core::time_point now)
{
    if (hub_candidate* candidate = find(choice, address))
    {
        candidate->heard = now;
        candidate->current_at = now - age;
        candidate->failures = 0;
    }
}

bool is_hub(const hub_choice& choice, core::time_point now)
{
    return is_wanted(choice, choice.self, now);
}

std::optional<std::string> primary_hub(const hub_choice& choice, core::time_point now)
{
    std::optional<std::string> out;
    for_each_considered(choice, now,
                        [&](const hub_candidate& candidate)
                        {
                            if (candidate.address == choice.self || is_reached(candidate, now))
                            {
                                out = candidate.address;
                            }
                            return !out.has_value();
                        });
    return out;
}

bool must_follow_platform(const hub_choice& choice, bool has_subscribers, core::time_point started,
                          core::time_point now)
{
    return has_subscribers || is_hub(choice, now) ||
           (now - started >= first_answer && !has_current_hub(choice, now));
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
                       {"wanted", is_wanted(choice, entry.address, now)}});
    }
    return out;
}

} // namespace zinniaferry::fleet
