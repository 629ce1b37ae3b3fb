/// Which daemons are this daemon's hubs, and whether it reads the platform's store itself.
///
/// All daemons order the candidates alike: the seeds of the settings first, then the other members
/// by hash. The first two that can be reached and are current are the hubs; while they are out of
/// date, the next two are asked as well. A daemon that is among them, that has subscribers, or that
/// has no current hub watches the store.
#pragma once

#include "core/time.hpp"
#include "fleet/hub_messages.hpp"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

struct hub_candidate
{
    std::string address;
    bool connected = false;
    core::time_point last_heard;      ///< Last message.
    core::time_point current_as_of; ///< All changes made before are known there.
    bool connecting = false;         ///< A connection is being opened.
    core::time_point closed_at;  ///< When the last one was closed, or could not be opened.
    std::uint32_t consecutive_failures = 0;  ///< In a row; each doubles the pause before the next try.
};

struct hub_selection
{
    std::string own_address; ///< This daemon's own address.
    std::vector<hub_candidate> candidates;
    std::size_t seed_count = 0; ///< The first candidates.
};

/// All functions: not thread safe for one choice.

/// Sets the seeds; what is known of candidates that stay is kept.
void set_seeds(hub_selection& selection, const std::vector<std::string>& seeds);

/// Adds members that are not known yet, in the order of all daemons, and drops those that are
/// neither seeds, nor connected, nor in the list.
void set_members(hub_selection& selection, const std::vector<member>& members);

/// Returns the addresses to which a connection is to be opened now.
std::vector<std::string> connections_to_open(hub_selection& selection, core::time_point now);

/// Returns whether a connection to the address is still of use.
bool is_wanted(const hub_selection& selection, const std::string& address, core::time_point now);

void on_connected(hub_selection& selection, const std::string& address, core::time_point now);
void on_closed(hub_selection& selection, const std::string& address, core::time_point now);
void on_update(hub_selection& selection, const std::string& address, core::duration age,
              core::time_point now);

/// Returns whether this daemon is among its own hubs.
bool is_hub(const hub_selection& selection, core::time_point now);

/// Returns the address of the first hub that can be reached, this daemon's own address when it
/// comes first itself, or nothing. It may be out of date: while the platform is down, all are.
std::optional<std::string> primary_hub(const hub_selection& selection, core::time_point now);

/// Returns whether this daemon reads the platform itself: as a hub, for its subscribers, or because
/// no hub feeds it, although hubs have had a moment to answer since it started.
bool must_follow_platform(const hub_selection& selection, bool has_subscribers, core::time_point started,
                          core::time_point now);

/// Returns whether a hub feeds this daemon with all changes.
bool has_current_hub(const hub_selection& selection, core::time_point now);

boost::json::array dump(const hub_selection& selection, core::time_point now);

} // namespace zinniaferry::fleet
