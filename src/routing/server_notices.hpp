/// What backend servers say of themselves in their responses: that they leave, or that they want
/// nothing for a time. Each statement binds this daemon for one lifetime of the server, whatever
/// the platform lists.
#pragma once

#include "core/random.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::routing
{

/// One run of a backend server. A restart under the same id has a higher incarnation.
struct server_lifetime
{
    std::string id;
    std::uint64_t incarnation = 0; ///< 0 if the platform states none.
};

enum class notice_kind
{
    leaving,    ///< The server is about to end.
    retry_later ///< The server wants nothing for a time.
};

/// On which response a notice came.
enum class notice_source
{
    request,
    load_probe,
    trial_probe,
    late_response ///< To an earlier request, or one that nobody waits for.
};

/// Why a belief ended.
enum class notice_end
{
    time_passed,
    new_lifetime, ///< A later incarnation is listed.
    evicted       ///< `server_notices::max_servers` was exceeded.
};

/// What one response says of its server.
struct server_notice
{
    bool leaving = false;
    std::optional<core::duration> retry_after; ///< Nothing is wanted for so long; not negative.
};

/// A statement of a server that is in force.
struct notice_belief
{
    notice_source source = notice_source::request; ///< Of the first such response.
    core::time_point since;                        ///< First such response.
    core::time_point heard_at;                     ///< Latest such response.
    core::time_point until;                        ///< The belief ends then.
};

/// The beliefs on one server.
struct server_beliefs
{
    std::uint64_t incarnation = 0;
    std::optional<notice_belief> leaving;
    std::optional<notice_belief> retry_later;
};

/// All beliefs of this daemon.
struct server_notices
{
    /// Beyond it the server that was heard longest ago is dropped. Above the number of servers in
    /// the largest deployment.
    std::size_t max_servers = 20'000;
    std::unordered_map<std::string, server_beliefs> by_id;
};

/// A belief that began or ended.
struct notice_change
{
    server_lifetime server;
    notice_kind kind = notice_kind::leaving;
    notice_source source = notice_source::request; ///< Of the first response.
    core::duration age{};                          ///< From the first response to the change.
    core::duration lifetime_left{};                ///< Zero for a belief that ended.
    std::optional<notice_end> ended;               ///< Absent for a belief that began.
};

/// Not thread safe: calls on one server_notices must not run concurrently. The to_string functions
/// are thread safe.

/// Return the names in logs.
const char* to_string(notice_kind value);
const char* to_string(notice_source value);
const char* to_string(notice_end value);

/// Records what a response says of its server. A belief is extended, never shortened. A notice of
/// an earlier lifetime than the known one is ignored. Returns the beliefs that began or ended.
std::vector<notice_change> record_notice(server_notices& notices, const server_lifetime& server,
                                         const server_notice& notice, notice_source source,
                                         core::time_point now);

/// Ends the beliefs on earlier lifetimes of a listed server. Returns those that ended.
std::vector<notice_change>
end_earlier_lifetimes(server_notices& notices, const server_lifetime& listed, core::time_point now);

/// Removes the beliefs whose time has passed. Returns them. To be called periodically.
std::vector<notice_change> expire(server_notices& notices, core::time_point now);

/// Returns whether the server has said that it leaves. A belief on a later lifetime also holds for
/// an earlier one, whose listing is out of date.
bool is_leaving(const server_notices& notices, const std::string& id, std::uint64_t incarnation,
                core::time_point now);

/// Returns until when the server wants nothing, or nothing if it takes requests. Lifetimes are
/// compared as in is_leaving().
std::optional<core::time_point> retry_later_until(const server_notices& notices,
                                                  const std::string& id, std::uint64_t incarnation,
                                                  core::time_point now);

/// Returns when a refused caller is to come back: a random time after the pause, in an interval as
/// long as the pause. Callers that are refused throughout a pause so return over as long a time,
/// and not all at its end.
core::duration spread_retry_after(core::duration pause, core::random_generator& random);

} // namespace zinniaferry::routing
