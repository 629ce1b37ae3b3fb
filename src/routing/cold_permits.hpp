/// Permits for requests to cold servers: the side that asks and the side that grants.
///
/// The allowance of a server belongs to the process that holds the majority lease of the group
/// that the server's name hashes to. The asker counts a permit's term from when it asked, the
/// holder from when it answered with a margin, so the asker stops first.
#pragma once

#include "config/model.hpp"
#include "core/id.hpp"
#include "core/time.hpp"
#include "fleet/messages.hpp"

#include <boost/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinniaferry::routing
{

struct cold_permit_options
{
    core::process_id self;
    core::duration max_term = std::chrono::seconds(5);
    double clock_margin = 0.02;                                 ///< Difference of clock rates.
    core::duration reply_limit = std::chrono::milliseconds(50); ///< An ask unanswered is dropped.
    core::duration retry_delay = std::chrono::milliseconds(10); ///< After a refusal, per server.
};

/// A permit at the asker.
struct held_permit
{
    std::string server;
    std::string holder_vm;
    core::time_point asked;
    core::time_point expires;
    bool granted = false;
    bool in_use = false;
};

/// A permit at the holder.
struct granted_permit
{
    core::process_id asker;
    std::uint64_t permit_id = 0;
    core::time_point expires;
};

/// Lease of one group as the holder's side sees it.
struct permit_group
{
    core::time_point held_until;
    core::time_point grants_from; ///< A new holder waits one term.
};

struct cold_permits
{
    cold_permit_options options;
    std::uint32_t pool_groups = 8;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, held_permit> held;                   ///< Asker's side, by permit id.
    std::unordered_map<std::string, core::time_point> ask_again; ///< Asker's side, by server.
    std::unordered_map<std::uint32_t, permit_group> groups;      ///< Holder's side.
    std::unordered_map<std::string, std::uint32_t> allowance; ///< By server; leaving ones have 0.
    std::unordered_map<std::string, std::vector<granted_permit>> granted; ///< Holder's side.
};

/// Permission to send one request; the request's deadline must not be later than `expires`.
struct permit_use
{
    std::uint64_t permit_id = 0;
    core::time_point expires;
};

/// How the request that used a permit ended.
enum class permit_end
{
    finished, ///< Answered, refused by the server, or no byte left: nothing runs any more.
    unknown   ///< It may still run; the holder keeps the permit until its term ends.
};

/// Builds the state. Thread safe.
cold_permits make_cold_permits(cold_permit_options options);

/// Takes the allowances and the number of groups. Not thread safe.
void apply_configuration(cold_permits& state, const config::configuration& config,
                         core::time_point now);

/// Returns the group whose holder grants permits for the server. Thread safe.
std::uint32_t permit_group_of(const cold_permits& state, std::string_view server);

/// Asks for a permit for one request that ends by `deadline`. Returns the message for the holder,
/// or nothing when an ask or an unused permit of this server exists, the last refusal is too
/// recent, or no holder is known (empty `holder_vm`). When this process is the holder, the answer
/// is immediate. Not thread safe.
std::vector<fleet::outgoing> request_permit(cold_permits& state, std::string_view server,
                                            std::string_view holder_vm, core::time_point deadline,
                                            core::time_point now);

/// Takes a granted, unused permit that has not expired. Not thread safe.
std::optional<permit_use> use_permit(cold_permits& state, std::string_view server,
                                     core::time_point now);

/// Ends the use of a permit. Not thread safe.
std::vector<fleet::outgoing> return_permit(cold_permits& state, std::uint64_t permit_id,
                                           permit_end how, bool server_warm, core::time_point now);

/// Holder's side: this process holds the lease of `group` until `held_until` (a time in the past
/// when it does not). A gap starts the wait of one term again. Not thread safe.
void set_held_until(cold_permits& state, std::uint32_t group, core::time_point held_until,
                    core::time_point now);

/// Take one message. Not thread safe.
std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_request& message, core::time_point now);
std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_reply& message, core::time_point now);
std::vector<fleet::outgoing> handle(cold_permits& state, const core::process_id& from,
                                    const fleet::permit_return& message, core::time_point now);

/// Drops what has expired; returns unused permits that nobody took for `reply_limit`. Not thread
/// safe.
std::vector<fleet::outgoing> tick(cold_permits& state, core::time_point now);

/// Returns the permits granted by this process for `server` that may be in use. Thread safe on a
/// constant state.
std::uint32_t granted_count(const cold_permits& state, std::string_view server,
                            core::time_point now);

/// Returns both sides for the state dump. Thread safe on a constant state.
boost::json::object dump(const cold_permits& state, core::time_point now);

} // namespace zinniaferry::routing
