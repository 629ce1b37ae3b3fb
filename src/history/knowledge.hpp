/// What each process of a simulated fleet could have learned of the published versions, whatever
/// it did learn.
#pragma once

#include "history/simulation.hpp"

namespace zinniaferry::history
{

/// What a process could have learned.
struct knowledge
{
    std::uint64_t reported = 0; ///< Highest version whose absence was found to be a violation.
    bool in_majority = false;
    std::vector<core::time_point> since; ///< By version less 1; max() when it cannot be learned.
    core::time_point
        cut_from_service{}; ///< Last time in a majority that could not learn the newest.
};

/// Returns the version in force at the process, 0 when there is none. Thread safe on a constant
/// simulation, as all functions below.
std::uint64_t version_of(const process& at);

/// Returns the highest version that a majority, of processes linked both ways with the one in
/// `slot`, have in force; 0 when they are no majority.
std::uint64_t majority_version(const simulation& sim, std::size_t slot);

/// Brings `known` of the process in `slot` up to the present time.
void update_knowledge(const simulation& sim, std::size_t slot, knowledge& known);

/// Returns whether the process has been able to learn the version for longer than `limit`.
bool could_know(const simulation& sim, const knowledge& known, std::uint64_t version,
                core::duration limit);

} // namespace zinniaferry::history
