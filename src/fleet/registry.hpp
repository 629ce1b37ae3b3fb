/// The members of the fleet as a hub hears of them from its subscribers.
#pragma once

#include "core/time.hpp"
#include "fleet/hub_messages.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::fleet
{

struct registered_member
{
    member identity;
    std::uint64_t incarnation = 0;
    bool subscribed = false;          ///< Subscribed now.
    core::time_point last_heard; ///< When it was heard last, if not now.
    bool primary = false;        ///< It named this daemon as the hub of its accounts.
};

struct registry
{
    member self;
    core::time_point started;
    std::unordered_map<std::string, registered_member> members; ///< By VM, without this daemon.
    std::uint64_t members_version = 1; ///< Grows when the members that are heard change.
};

/// Members that this daemon was told of lately, by any hub. While hubs change, one of them may know
/// only a few members; what is divided among all must not be divided among these.
struct member_cache
{
    std::unordered_map<std::string, core::time_point> last_reported; ///< By VM.
};

/// All functions: not thread safe for one registry or memory.

void record_members(member_cache& cache, const std::vector<member>& members, core::time_point now);

/// Forgets members that have not been told of for a while, and returns the VMs of the others.
std::vector<std::string> recent_members(member_cache& cache, core::time_point now);

void on_hello(registry& registry, const hello_message& hello, core::time_point now);
/// Returns whether the member named another hub than before.
bool on_report(registry& registry, const std::string& vm, bool primary, core::time_point now);
/// The subscription of that incarnation ended; a newer one of the VM stays.
void on_unsubscribed(registry& registry, const std::string& vm, std::uint64_t incarnation,
             core::time_point now);

/// Forgets members that vanished long ago. Until then they count as known, so that the shares of
/// a part of the fleet that is cut off stay reserved.
void remove_expired_members(registry& registry, core::time_point now);

/// Returns what this hub tells its subscribers, without the list of members.
fleet_message make_fleet_summary(const registry& registry, core::time_point now);

/// The same with the members that are heard.
fleet_message make_fleet_message(const registry& registry, core::time_point now);

/// Returns how many members named this daemon as the hub of their accounts.
std::size_t count_primary_members(const registry& registry);

} // namespace zinniaferry::fleet
