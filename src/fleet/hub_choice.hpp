/// Selects this daemon's hubs, and decides whether it follows the platform's store itself.
///
/// A hub follows the platform's store and forwards its changes to the daemons that subscribe to it.
/// All daemons rank the candidates alike: first the seeds of the settings, then the other members,
/// by the capacity of their links and by hash. The first two candidates that are reachable and
/// current are the hubs; while too few are current, up to four stay connected. A daemon follows the
/// store itself if it is one of its own hubs, has subscribers, or has no current hub.
#pragma once

#include "core/time.hpp"
#include "fleet/hub_messages.hpp"

#include <boost/json.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

/// A hub and its subscribers send each other several messages in this time. One that sends none has
/// failed, and a subscriber that hears none has chosen another hub.
inline constexpr core::duration hub_silence_timeout = std::chrono::milliseconds(1300);

/// A daemon in contact sends a message, or is listed in a hub's, more often than this.
inline constexpr core::duration contact_timeout = std::chrono::seconds(2);

/// A daemon that may serve this one as a hub.
struct hub_candidate
{
    std::string address;         ///< Peer address: IP address and port.
    std::uint32_t link_mbps = 0; ///< Capacity of its VM's link, Mbit/s; 0 if not known.
    bool connected = false;
    core::time_point last_heard;    ///< Time of the last update, or of connecting before the first.
    core::time_point current_as_of; ///< The candidate knows all changes made before this time.
    bool connection_requested = false; ///< From connections_to_open until on_closed.
    core::time_point closed_at; ///< When a connection was last closed or could not be opened.
    /// Connections closed or not opened since the last update; they lengthen the retry delay.
    std::uint32_t consecutive_failures = 0;
    std::uint32_t late_grants = 0; ///< In a row.
    core::time_point slow_until;   ///< Until then the primary hub only if there is no other.
    /// Of a seed: time of its last message, or of the last list of members that named it; the epoch
    /// before the first since the start.
    core::time_point last_met;
};

/// The candidates in rank order, with the state of the connections to them.
struct hub_choice
{
    std::string own_address;               ///< This daemon's peer address.
    std::uint32_t own_link_mbps = 0;       ///< Capacity of this VM's link, Mbit/s; 0 if not known.
    std::vector<hub_candidate> candidates; ///< Seeds first, then members, see set_members.
    std::size_t seed_count = 0;            ///< Number of seeds at the front of `candidates`.
    bool meet_all_seeds = false; ///< Connections to all seeds are wanted, besides those to hubs.
};

/// All functions: not thread safe for the same hub_choice.

/// Replaces the seeds. Candidates that were known before keep their state.
void set_seeds(hub_choice& choice, const std::vector<std::string>& seeds);

/// Adds this daemon and the members that are not candidates yet, in the order that all daemons use:
/// those with larger links first, because a hub sends every change to all others, and those with
/// equal links by hash. Removes candidates that are neither seeds, nor connected, nor in the list.
void set_members(hub_choice& choice, const std::vector<member>& members);

/// Returns the addresses to connect to now, and sets connection_requested for them. The caller must
/// report the end of each attempt or connection by on_closed.
std::vector<std::string> connections_to_open(hub_choice& choice, core::time_point now);

/// Returns whether a connection to the candidate is to be opened or kept: it is a hub, ranks above
/// one, may become one while there are too few, or is a seed while all seeds are to be met.
bool is_wanted(const hub_choice& choice, const std::string& address, core::time_point now);

/// Records an opened connection. The candidate is not current until its first update.
void on_connected(hub_choice& choice, const std::string& address, core::time_point now);
/// Records that a connection was closed or could not be opened.
void on_closed(hub_choice& choice, const std::string& address, core::time_point now);
/// Records an update of the candidate, which knew all changes made before `current_as_of`. An
/// update that arrives out of order does not make the candidate older.
void on_update(hub_choice& choice, const std::string& address, core::time_point current_as_of,
               core::time_point now);

/// Records that the candidate answered a request for a grant in time.
void on_grant_in_time(hub_choice& choice, const std::string& address);
/// Records that the candidate did not answer a request for a grant in time. A candidate that is
/// late several times in a row is slow for 10 s: a daemon whose processor is short still sends
/// updates.
void on_grant_late(hub_choice& choice, const std::string& address, core::time_point now);

/// Records a message of the daemon at the address, if it is a seed.
void on_met(hub_choice& choice, const std::string& address, core::time_point now);

/// Returns how many of the seeds were met lately, this daemon counted if it is a seed.
std::size_t count_seeds_in_contact(const hub_choice& choice, core::time_point now);

/// Returns the candidates that are seeds.
std::span<const hub_candidate> seeds_of(const hub_choice& choice);

/// Returns whether the settings name no other daemon: there are no seeds, or this one only.
bool names_no_other_seed(const hub_choice& choice);

/// Returns whether this daemon is one of its own hubs.
bool is_hub(const hub_choice& choice, core::time_point now);

/// Returns the address of the highest-ranked reachable hub that is not slow, or else of the
/// highest-ranked reachable one. It may be this daemon's own; nullopt if there is none. The hub may
/// be stale: while the platform is down, all hubs are.
std::optional<std::string> primary_hub(const hub_choice& choice, core::time_point now);

/// Returns whether this daemon follows the platform itself: because it is a hub, has subscribers,
/// or has no current hub although its hubs have had 100 ms to send an update since `started`.
bool must_follow_platform(const hub_choice& choice, bool has_subscribers, core::time_point started,
                          core::time_point now);

/// Returns whether any connected candidate is current, so that this daemon receives all changes.
bool has_current_hub(const hub_choice& choice, core::time_point now);

/// Returns the candidates and their state for the state dump.
boost::json::array dump(const hub_choice& choice, core::time_point now);

} // namespace zinniaferry::fleet
