/// Who runs in the fleet, as a hint for whom to ask, and whether this process is cut off.
#pragma once

#include "core/random.hpp"
#include "fleet/messages.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace zinniaferry::fleet
{

struct membership_options
{
    core::process_id self;
    std::uint32_t max_vms = 20;
    core::duration heartbeat_interval = std::chrono::seconds(1);
    /// Peers per interval, and peers that hear at once of a newer configuration.
    std::uint32_t heartbeat_fanout = 3;
    /// One more peer per interval for each so many VMs, so that the share of the fleet that a
    /// process hears of within `isolation_limit` does not fall as the fleet grows.
    std::uint32_t vms_per_heartbeat = 24;
    core::duration suspect_after = std::chrono::seconds(5);
    core::duration gone_after = std::chrono::seconds(15);
    /// 1 s is left of the 5 s bound of R4 for detection.
    core::duration isolation_limit = std::chrono::seconds(4);
    core::duration entry_limit = std::chrono::seconds(2); ///< Age of the oldest entry sent on.
    std::size_t max_entries = 8;
    /// Between heartbeats that ask for answers because too few processes were heard.
    core::duration question_interval = std::chrono::milliseconds(500);
    /// Longer silence of the driver counts as a pause of the process. Messages that waited in
    /// socket buffers are then read as if new, so for `settle_time` they prove no recent contact.
    core::duration pause_limit = std::chrono::milliseconds(500);
    core::duration settle_time = std::chrono::milliseconds(200);
    std::size_t max_peers = 1024; ///< Bound of the tables.
};

enum class peer_state
{
    alive,
    suspect,
    gone
};

/// A VM of the published list.
struct listed_vm
{
    std::string vm;
    bool leaving = false;
};

/// What this process states about itself in heartbeats.
struct own_status
{
    std::uint64_t config_version = 0;
    core::digest config_digest{};
    bool leaving = false;
    bool ready = false; ///< Until then heartbeats ask for an answer, as a boot needs versions.
};

struct peer_entry
{
    core::process_id id; ///< Incarnation 0 until the peer is heard directly.
    bool listed = false;
    bool leaving = false;
    bool greet = false;           ///< Newly listed; gets a heartbeat with the next tick.
    core::time_point last_sign{}; ///< Heard directly or through an entry, or first listed.
    std::optional<core::time_point> heard_directly;
    std::uint64_t config_version = 0;
};

/// State of the module; owned by one thread.
struct membership
{
    membership_options options;
    std::map<std::string, peer_entry> peers;                   ///< By VM name, without self.
    std::unordered_map<std::uint64_t, core::time_point> heard; ///< By hash of identity.
    std::unordered_map<std::uint64_t, std::string> vm_by_hash;
    std::optional<core::time_point> service_contact; ///< Own or heard.
    own_status status;
    std::uint64_t announced_version = 0;
    std::uint32_t sent_ahead = 0; ///< Heartbeats that announced a version since the last batch.
    std::uint64_t heartbeats_made = 0;
    core::time_point next_heartbeat{};
    core::time_point next_question{};
    core::time_point last_active{};
    core::time_point settled_at{};
};

/// Builds the state of a process that knows no peer yet. Thread safe.
membership make_membership(membership_options options, core::time_point now);

/// Takes `max_vms` of a configuration that came into force. Not thread safe, as all functions
/// below that change the state.
void apply_max_vms(membership& state, std::uint32_t max_vms);

/// Takes the published list, which may lag. A VM that left the list stays while it is heard.
void apply_vm_list(membership& state, const std::vector<listed_vm>& vms, core::time_point now);

/// Notes that the configuration service answered this process with a version that is not lower
/// than the one in force.
void note_service_contact(membership& state, core::time_point now);

/// Takes a heartbeat. Answers with one when asked to, or when the sender has a lower version.
std::vector<outgoing> handle(membership& state, const core::process_id& from,
                             const heartbeat& message, core::time_point now);

/// Notes a message of any other kind as a sign of life.
void note_heard(membership& state, const core::process_id& from, core::time_point now);

/// Returns the heartbeats that are due: each interval, at once after a newer configuration, and
/// once to each newly listed VM. Call every 10 ms.
std::vector<outgoing> tick(membership& state, const own_status& status, core::time_point now,
                           core::random_generator& random);

/// Returns the names of the peers in that state, sorted, without the own VM. Leaving peers are
/// included.
std::vector<std::string> alive(const membership& state, core::time_point now);
std::optional<peer_state> state_of(const membership& state, const std::string& vm,
                                   core::time_point now);

/// Returns all peers that are listed or not gone: those to connect to and to ask.
std::vector<std::string> known_peers(const membership& state, core::time_point now);

/// Returns the time since anyone reached the configuration service, as far as this process has
/// heard; `never_heard` at most.
core::duration service_age(const membership& state, core::time_point now);

/// Returns the number of distinct processes heard within `limit`, this one included.
std::uint32_t count_heard(const membership& state, core::duration limit, core::time_point now);

/// Tells whether keyed requests must be refused: for `isolation_limit` neither the service nor a
/// majority of `max_vms` was heard, directly or through peers.
bool is_isolated(const membership& state, core::time_point now);

/// Returns the number of peers that get a heartbeat per interval.
std::uint32_t heartbeat_count(const membership_options& options);

boost::json::object dump(const membership& state, core::time_point now);

} // namespace zinniaferry::fleet
