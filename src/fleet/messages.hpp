/// Messages between the daemons as plain structs. The codec turns them into Cap'n Proto.
#pragma once

#include "core/digest.hpp"
#include "core/id.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace zinniaferry::fleet
{

/// Age of a contact that has never taken place.
inline constexpr core::duration never_heard = std::chrono::hours(24);

/// A process that the sender of a heartbeat heard, directly or through others.
struct heard_process
{
    std::uint64_t process_hash = 0; ///< From `hash_of(process_id)`; 8 bytes instead of a name.
    core::duration age{};           ///< Since it was heard, at the time of sending.
};

/// Tells a peer who is alive, which configuration it has, and how recently the configuration
/// service was heard of.
struct heartbeat
{
    std::uint64_t config_version = 0;
    core::digest config_digest{};
    core::duration service_age = never_heard; ///< Since the last contact, own or heard.
    bool leaving = false;
    bool wants_reply = false; ///< The receiver answers with a heartbeat of its own at once.
    std::vector<heard_process> heard;
};

/// Asks for the configuration if the receiver has a newer one than `have_version`.
struct config_request
{
    std::uint64_t have_version = 0;
};

/// A configuration, whole when `base_version` is 0, else as a delta against that version.
struct config_reply
{
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    core::digest digest{}; ///< Of the whole document after the delta is applied.
    std::string body;
};

/// Asks for an acknowledgement that the sender may hold `group` for one lease term.
struct lease_request
{
    std::uint32_t group = 0;
    std::uint32_t max_vms = 0; ///< The sender's; a voter with another value refuses.
    std::uint64_t round = 0;
};

struct lease_reply
{
    std::uint32_t group = 0;
    std::uint64_t round = 0;
    bool granted = false;
    core::process_id holder; ///< The holder that the voter acknowledges now, empty if none.
};

/// The sender no longer uses its lease of `group`.
struct lease_release
{
    std::uint32_t group = 0;
};

/// What one account needs at the sender.
struct loan_want
{
    std::string account;
    std::uint64_t loan_id = 0; ///< Unique among the sender's loans.
    double demand = 0.0;       ///< Requests a second that arrive at the sender.
    double tokens = 0.0;       ///< That the requests which wait now lack.
};

/// Asks for capacity of several accounts for `term`, counted by the borrower from sending.
struct loan_request
{
    core::duration term{};
    std::vector<loan_want> wants;
};

/// Capacity of one account: rate, bucket size and tokens move together.
struct loan_share
{
    std::string account;
    std::uint64_t loan_id = 0;
    double rate = 0.0;
    double cap = 0.0;
    double tokens = 0.0;
};

struct loan_reply
{
    core::duration term{}; ///< May be shorter than asked for; counted from the request.
    std::vector<loan_share> shares;
    std::vector<std::uint64_t> refused; ///< Loan ids for which nothing could be lent.
};

/// Gives borrowed shares back before their term ends.
struct loan_return
{
    std::vector<std::uint64_t> loan_ids;
};

/// Asks the holder of the server's group for permission to run `count` requests at a cold server.
struct permit_request
{
    std::string server;
    std::uint64_t permit_id = 0; ///< Unique among the sender's permits.
    std::uint32_t count = 1;
    core::duration term{};
};

struct permit_reply
{
    std::string server;
    std::uint64_t permit_id = 0;
    std::uint32_t granted = 0;
    core::duration term{}; ///< Counted by the asker from its request.
};

struct permit_return
{
    std::string server;
    std::uint64_t permit_id = 0;
    bool server_warm = false; ///< The sender has seen the server serve at full capacity.
};

/// Asks a voter to record the first use of an idempotency key.
struct claim_request
{
    std::uint64_t claim_id = 0; ///< Unique among the sender's claims.
    std::uint32_t attempt = 0;  ///< A later attempt of the same claim replaces an earlier one.
    std::uint64_t key_hash = 0; ///< Of account and idempotency key, first half.
    std::uint64_t key_hash2 = 0;
    core::unix_time first_sent{}; ///< The caller's label; the epoch when there is none.
    std::uint32_t max_vms = 0;
};

struct claim_reply
{
    enum class verdict
    {
        acknowledged,
        taken,    ///< Another claim holds the key.
        not_voter ///< The voter cannot vouch for the time before it started, or is full.
    };
    std::uint64_t claim_id = 0;
    std::uint32_t attempt = 0;
    verdict result = verdict::not_voter;
    std::uint64_t holder = 0; ///< Hash of the claim that holds the key; 0 when several do.
};

/// The sender did not forward the request under this attempt or an earlier one and will not.
struct claim_release
{
    std::uint64_t claim_id = 0;
    std::uint32_t attempt = 0;
    std::uint64_t key_hash = 0;
    std::uint64_t key_hash2 = 0;
};

/// Asks a voter for its claim records, in pages.
struct records_request
{
    std::uint64_t round = 0;
    std::uint64_t after = 0; ///< Sequence number of the last record received, 0 for the start.
};

struct claim_record
{
    std::uint64_t key_hash = 0;
    std::uint64_t key_hash2 = 0;
    std::uint64_t claimer = 0; ///< From `hash_of(process_id)`.
    std::uint64_t claim_id = 0;
    std::uint32_t attempt = 0;
    core::duration age{};
};

struct records_reply
{
    std::uint64_t round = 0;
    std::uint64_t after = 0; ///< As in the request.
    std::uint64_t next = 0;  ///< Sequence number to ask for the following page.
    bool voter = false;      ///< False when the sender's own records are incomplete.
    bool last = false;
    std::vector<claim_record> records;
};

using message_body =
    std::variant<heartbeat, config_request, config_reply, lease_request, lease_reply, lease_release,
                 loan_request, loan_reply, loan_return, permit_request, permit_reply, permit_return,
                 claim_request, claim_reply, claim_release, records_request, records_reply>;

/// Returns the hash that stands for an identity in heartbeats and claim records. Thread safe.
inline std::uint64_t hash_of(const core::process_id& id)
{
    return core::stable_hash(id.vm, id.incarnation);
}

/// Returns the number of distinct processes in a majority. Thread safe.
constexpr std::uint32_t majority_of(std::uint32_t max_vms)
{
    return max_vms / 2 + 1;
}

/// A message with its sender; the transport has checked that the sender knows the fleet secret.
struct message
{
    core::process_id from;
    message_body body;
};

/// A message that a decision wants sent. `to` names the VM; the transport knows the address.
struct outgoing
{
    std::string to_vm;
    message_body body;
};

} // namespace zinniaferry::fleet
