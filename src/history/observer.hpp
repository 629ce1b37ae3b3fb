/// The checks of the guarantees R1 to R11 over a simulated fleet. It sees what the processes send
/// and what the servers run, and keeps its own accounts of both.
#pragma once

#include "history/account_bucket.hpp"
#include "history/knowledge.hpp"

namespace zinniaferry::history
{

/// The guarantees by number; 0 is not used.
inline constexpr std::size_t guarantee_count = 12;

struct guarantee
{
    std::uint64_t checks = 0;
    std::uint64_t violations = 0;
    std::string first; ///< Time and details of the first violation.
};

/// Something that ended with a published version: work at a data centre or server, or a key.
struct withdrawal
{
    enum class kind
    {
        data_centre,
        server,
        key
    };
    kind what = kind::key;
    std::string name;
    std::uint64_t version = 0;
};

struct observer
{
    std::array<guarantee, guarantee_count> guarantees;
    std::map<std::string, account_bucket> buckets;
    std::vector<core::time_point> last_in_force; ///< By version less 1, at any process.
    std::vector<withdrawal> withdrawals;
    std::map<std::string, std::string> key_owner;           ///< Every key that was ever valid.
    std::map<std::string, std::uint32_t> executions_of_key; ///< By account and idempotency key.
    std::vector<knowledge> known;                           ///< By slot.
    std::vector<std::uint64_t> version_of_slot;             ///< Last seen in force.
    std::vector<std::string> trace;                         ///< Violations in order, at most a few.
};

/// Takes the accounts and keys of the first version.
void begin(observer& state, const simulation& sim);

/// Events of the simulation, in the order in which they take place.
void note_published(observer& state, simulation& sim);
void note_start(observer& state, simulation& sim, std::size_t slot);
void note_ready(observer& state, simulation& sim, std::size_t slot);
void note_planned_end(observer& state, simulation& sim, std::size_t slot);
void note_admissions(observer& state, simulation& sim, std::size_t slot);
void note_version(observer& state, simulation& sim, std::size_t slot);
void note_dispatch(observer& state, simulation& sim, attempt& order);
void note_bytes_leaving(observer& state, simulation& sim, const attempt& order);
void note_arrival(observer& state, simulation& sim, const attempt& order, const backend& server);
void note_execution(observer& state, simulation& sim, const attempt& order);
void note_attempt_end(observer& state, simulation& sim, const attempt& order,
                      const node::attempt_result& result);
void note_report(observer& state, simulation& sim, std::size_t slot, const std::string& server,
                 const std::string& report);
void note_probe(observer& state, simulation& sim, backend& server, core::duration cost);
void note_call_end(observer& state, simulation& sim, std::uint64_t number,
                   const node::refusal* refusal);

/// Compares what each process could have learned with what it has in force. To be called every
/// 50 ms.
void sample(observer& state, simulation& sim);

/// Checks what only the end of the run shows.
void finish(observer& state, simulation& sim);

/// Returns the number of violations of all guarantees. Thread safe on a constant state.
std::uint64_t violation_count(const observer& state);

} // namespace zinniaferry::history
