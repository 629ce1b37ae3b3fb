/// Membership of the fleet: a hub's registry of its subscribers, and a daemon's cache of the
/// members that hubs report.
#pragma once

#include "core/time.hpp"
#include "fleet/hub_choice.hpp"
#include "fleet/hub_messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::fleet
{

/// All members subscribe to a new hub within this time.
inline constexpr core::duration discovery_time = std::chrono::seconds(3);
/// A group of daemons that lacks seeds or data centres for this time takes itself for the whole
/// fleet: they may be out of date or down. Most network partitions are shorter.
inline constexpr core::duration contact_wait = std::chrono::seconds(13);
/// Members that each known one stands for while this daemon cannot tell whether all are known.
inline constexpr std::size_t assumed_members_per_known = 20;

/// A daemon that is or was subscribed to this one.
struct registered_member
{
    member identity;
    std::uint64_t incarnation = 0;  ///< Of the member's current or last process.
    bool subscribed = false;        ///< Its connection is open.
    core::time_point last_heard;    ///< Time of its last hello, report or disconnection.
    bool primary = false;           ///< It reported this daemon as its primary hub.
    core::time_point primary_until; ///< Time of its last report or request for a grant.
    core::duration stated_time{};   ///< Stated as primary time, and not counted yet.
    core::duration elapsed_time{};  ///< Since the time that was counted last.
    float selection_rate = 0.0;     ///< As in its last report_message.
    std::vector<stated_load> loads; ///< As in its last report_message.
    core::time_point loads_at;      ///< Time of that message; the epoch before.
};

/// The largest number of known members in recent times. A daemon behind a network partition hears
/// only of the members on its side, whose shares must not grow.
struct known_size
{
    std::size_t largest = 0;
    core::time_point largest_at; ///< When `largest` was last known.
};

/// The members that subscribed to this daemon.
struct registry
{
    member self;
    float own_selection_rate = 0.0;                             ///< Of this daemon itself.
    std::vector<stated_load> own_loads;                         ///< Of this daemon itself.
    core::time_point started;                                   ///< Start of this daemon.
    std::unordered_map<std::string, registered_member> members; ///< By VM, without this daemon.
    std::uint64_t members_version = 1; ///< Incremented when the subscribed members change.
    /// Time for which members used this daemon as their primary hub, added up over the members;
    /// see take_primary_time.
    core::duration primary_time{};
    bool own_primary = false;           ///< This daemon is its own primary hub.
    core::time_point own_primary_until; ///< This daemon's own time is counted until then.
    known_size stated_size;             ///< Largest size of the fleet that subscribers stated.
    core::time_point first_member_at;   ///< First subscription; the epoch before.
    /// Data centres in which the fleet has daemons; nothing while they are not known.
    std::optional<std::vector<std::string>> data_centres;
    bool size_was_stated = false; ///< A subscriber or a hub has stated the size since the start.
    bool has_other_seeds = true;  ///< The settings name a seed besides this daemon.
    /// Since when this daemon has been in contact with the whole fleet, see update_contact; the
    /// epoch while it is not. Kept once the members are known, also during network partitions.
    core::time_point contact_since;
};

/// Members that any hub reported to this daemon recently. A hub that has just taken over may know
/// only a few members; fleet-wide allowances must be divided among all members, not just among
/// these.
struct member_cache
{
    std::unordered_map<std::string, core::time_point> last_reported; ///< By VM.
};

/// All functions: not thread safe for the same registry or cache.

/// Records that the members were reported at `now`.
void record_members(member_cache& cache, const std::vector<member>& members, core::time_point now);

/// Removes members that were not reported in the last 5 s, and returns the VMs of the others.
std::vector<std::string> recent_members(member_cache& cache, core::time_point now);

/// Records a new subscription.
void on_hello(registry& registry, const hello_message& hello, core::time_point now);
/// Records a report of a member. Returns whether `primary` changed; false for an unknown VM.
bool on_report(registry& registry, const std::string& vm, const report_message& report,
               core::time_point now);
/// Records that a member asked for a grant, which it does at its primary hub only. Has no effect
/// for an unknown VM.
void on_grant_request(registry& registry, const std::string& vm, const ask_message& request,
                      core::time_point now);
/// Records whether this daemon is its own primary hub.
void set_own_primary(registry& registry, bool own_primary, core::time_point now);

/// Returns the time for which members, this daemon included, have used this daemon as their primary
/// hub since the last call, added up over the members. A member states its time to one hub only, so
/// that none counts at two, and time that is stated late, after a silence, does not count: the
/// member may have been granted requests elsewhere since.
core::duration take_primary_time(registry& registry, core::time_point now);

/// Records the end of a subscription, unless a newer incarnation of the VM has subscribed since.
void on_unsubscribed(registry& registry, const std::string& vm, std::uint64_t incarnation,
                     core::time_point now);

/// Removes members that disconnected more than 30 s ago. Until then they count as known, so that
/// the shares of a part of the fleet behind a network partition stay reserved.
void remove_expired_members(registry& registry, core::time_point now);

/// Returns whether every member of the fleet has subscribed: this daemon has been in contact with
/// the whole fleet for the time that it takes, or with a group that has waited long enough for the
/// rest.
bool is_settled(const registry& registry, core::time_point now);

/// Returns the message that this hub sends to its subscribers, without the list of members.
fleet_message make_fleet_summary(const registry& registry, core::time_point now);

/// Returns the same message with this daemon and its subscribed members.
fleet_message make_fleet_message(const registry& registry, core::time_point now);

/// Returns how many members use this daemon as their primary hub. Members that have been silent for
/// longer than a hub may be do not count: they have chosen another one.
std::size_t count_primary_members(const registry& registry, core::time_point now);

/// Records a number of known members. Returns the largest one of the last 30 s, or of the last
/// 10 min if `known` is at most half of it: more members than that rarely leave at once, so they
/// are probably on the other side of a network partition. Not thread safe.
std::size_t largest_recent_size(known_size& size, std::size_t known, core::time_point now);

/// The size of the fleet, as far as it is known.
struct size_estimate
{
    std::size_t members_known = 1; ///< Includes those that disconnected recently.
    bool is_known = false; ///< This daemon or a hub has run long enough to know every member.
};

/// Combines this daemon's own registry with the last message of each hub that it is connected to; a
/// hub that has not reported has no known members. Not thread safe.
size_estimate estimate_fleet_size(known_size& recent, const registry& own,
                                  const std::vector<const fleet_message*>& hubs,
                                  core::time_point now);

/// Returns the size of the fleet that a daemon states in its hello_message: the largest recent one,
/// and 0 if the size is only assumed. Thread safe.
std::uint32_t size_to_state(const known_size& recent, const size_estimate& estimate);

} // namespace zinniaferry::fleet
