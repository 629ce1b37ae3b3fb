#include "routing/server_notices.hpp"

#include <algorithm>
#include <array>

namespace zinniaferry::routing
{

namespace
{

/// Bounds a stated Retry-After. A longer one is most likely a wrong unit or value, and would take
/// the server out of service until it restarts.
constexpr core::duration max_retry_after = std::chrono::minutes(10);
/// How long a leaving is believed after it was last stated. A server ends well before; one that
/// cancelled its leaving is tried again.
constexpr core::duration leaving_lifetime = std::chrono::hours(1);
/// The same for a server whose incarnation is not stated: its restart cannot be recognised.
constexpr core::duration unknown_incarnation_leaving_lifetime = std::chrono::minutes(1);
/// Shortest interval over which refused callers are spread.
constexpr core::duration min_retry_spread = std::chrono::milliseconds(200);

using change_list = std::vector<notice_change>;

notice_change make_change(const server_lifetime& server, notice_kind kind,
                          const notice_belief& belief, core::time_point now)
{
    return {.server = server, .kind = kind, .source = belief.source, .age = now - belief.since};
}

void end_belief(std::optional<notice_belief>& belief, const server_lifetime& server,
                notice_kind kind, notice_end why, core::time_point now, change_list& changes)
{
    if (belief)
    {
        changes.push_back(make_change(server, kind, *belief, now));
        changes.back().ended = why;
        belief.reset();
    }
}

void end_all(server_beliefs& beliefs, const std::string& id, notice_end why, core::time_point now,
             change_list& changes)
{
    const server_lifetime server = {id, beliefs.incarnation};
    end_belief(beliefs.leaving, server, notice_kind::leaving, why, now, changes);
    end_belief(beliefs.retry_later, server, notice_kind::retry_later, why, now, changes);
}

void end_if_due(std::optional<notice_belief>& belief, const server_lifetime& server,
                notice_kind kind, core::time_point now, change_list& changes)
{
    if (belief && now >= belief->until)
    {
        end_belief(belief, server, kind, notice_end::time_passed, belief->until, changes);
    }
}

void end_due(server_beliefs& beliefs, const std::string& id, core::time_point now,
             change_list& changes)
{
    const server_lifetime server = {id, beliefs.incarnation};
    end_if_due(beliefs.leaving, server, notice_kind::leaving, now, changes);
    end_if_due(beliefs.retry_later, server, notice_kind::retry_later, now, changes);
}

void begin_or_extend(std::optional<notice_belief>& belief, const server_lifetime& server,
                     notice_kind kind, notice_source source, core::duration lifetime,
                     core::time_point now, change_list& changes)
{
    if (lifetime <= core::duration::zero())
    {
        return;
    }
    const bool begins = !belief;
    if (begins)
    {
        belief = notice_belief{.source = source, .since = now};
    }
    belief->heard_at = now;
    belief->until = std::max(belief->until, now + lifetime);
    if (begins)
    {
        changes.push_back(make_change(server, kind, *belief, now));
        changes.back().lifetime_left = lifetime;
    }
}

core::time_point last_heard_at(const server_beliefs& beliefs)
{
    core::time_point out;
    for (const std::optional<notice_belief>* belief : {&beliefs.leaving, &beliefs.retry_later})
    {
        out = *belief ? std::max(out, (*belief)->heard_at) : out;
    }
    return out;
}

void evict_if_too_many(server_notices& notices, core::time_point now, change_list& changes)
{
    if (notices.by_id.size() <= notices.max_servers)
    {
        return;
    }
    const auto oldest =
        std::min_element(notices.by_id.begin(), notices.by_id.end(),
                         [](const auto& a, const auto& b)
                         { return last_heard_at(a.second) < last_heard_at(b.second); });
    end_all(oldest->second, oldest->first, notice_end::evicted, now, changes);
    notices.by_id.erase(oldest);
}

// Returns the beliefs that hold for the lifetime, or null.
const server_beliefs* find_beliefs(const server_notices& notices, const std::string& id,
                                   std::uint64_t incarnation)
{
    const auto found = notices.by_id.find(id);
    const bool holds = found != notices.by_id.end() && found->second.incarnation >= incarnation;
    return holds ? &found->second : nullptr;
}

} // namespace

const char* to_string(notice_kind value)
{
    constexpr std::array names = {"leaving", "retry_later"};
    return names.at(static_cast<std::size_t>(value));
}

const char* to_string(notice_source value)
{
    constexpr std::array names = {"request", "load_probe", "trial_probe", "late_response"};
    return names.at(static_cast<std::size_t>(value));
}

const char* to_string(notice_end value)
{
    constexpr std::array names = {"time_passed", "new_lifetime", "evicted"};
    return names.at(static_cast<std::size_t>(value));
}

change_list record_notice(server_notices& notices, const server_lifetime& server,
                          const server_notice& notice, notice_source source, core::time_point now)
{
    change_list changes = end_earlier_lifetimes(notices, server, now);
    const core::duration pause =
        std::min(notice.retry_after.value_or(core::duration::zero()), max_retry_after);
    if (!notice.leaving && pause <= core::duration::zero())
    {
        return changes;
    }
    const auto [entry, inserted] = notices.by_id.try_emplace(server.id);
    server_beliefs& beliefs = entry->second;
    if (inserted)
    {
        beliefs.incarnation = server.incarnation;
    }
    if (beliefs.incarnation > server.incarnation)
    {
        return changes;
    }
    end_due(beliefs, server.id, now, changes);
    if (notice.leaving)
    {
        const core::duration lifetime =
            server.incarnation == 0 ? unknown_incarnation_leaving_lifetime : leaving_lifetime;
        begin_or_extend(beliefs.leaving, server, notice_kind::leaving, source, lifetime, now,
                        changes);
    }
    begin_or_extend(beliefs.retry_later, server, notice_kind::retry_later, source, pause, now,
                    changes);
    evict_if_too_many(notices, now, changes);
    return changes;
}

change_list end_earlier_lifetimes(server_notices& notices, const server_lifetime& listed,
                                  core::time_point now)
{
    change_list changes;
    const auto found = notices.by_id.find(listed.id);
    if (found != notices.by_id.end() && found->second.incarnation < listed.incarnation)
    {
        end_due(found->second, listed.id, now, changes);
        end_all(found->second, listed.id, notice_end::new_lifetime, now, changes);
        notices.by_id.erase(found);
    }
    return changes;
}

change_list expire(server_notices& notices, core::time_point now)
{
    change_list changes;
    for (auto& [id, beliefs] : notices.by_id)
    {
        end_due(beliefs, id, now, changes);
    }
    std::erase_if(notices.by_id, [](const auto& entry)
                  { return !entry.second.leaving && !entry.second.retry_later; });
    return changes;
}

bool is_leaving(const server_notices& notices, const std::string& id, std::uint64_t incarnation,
                core::time_point now)
{
    const server_beliefs* beliefs = find_beliefs(notices, id, incarnation);
    return beliefs != nullptr && beliefs->leaving && now < beliefs->leaving->until;
}

std::optional<core::time_point> retry_later_until(const server_notices& notices,
                                                  const std::string& id, std::uint64_t incarnation,
                                                  core::time_point now)
{
    const server_beliefs* beliefs = find_beliefs(notices, id, incarnation);
    const bool holds =
        beliefs != nullptr && beliefs->retry_later && now < beliefs->retry_later->until;
    return holds ? std::optional(beliefs->retry_later->until) : std::nullopt;
}

core::duration spread_retry_after(core::duration pause, core::random_generator& random)
{
    const double spread_s = core::to_seconds(std::max(pause, min_retry_spread));
    return pause + core::from_seconds(core::uniform(random) * spread_s);
}

} // namespace zinniaferry::routing
