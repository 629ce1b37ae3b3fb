/// The faults of a run as data: one kind and its arguments at a time. Random schedules and traces
/// use the same kinds.
#pragma once

#include "history/simulation.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::history
{

/// What an argument of a fault may be.
enum class argument_kind
{
    vm,      ///< Number of a VM's place in the fleet, from 0.
    seconds, ///< A decimal number above 0.
    part,    ///< A decimal number from 0 to 1.
    factor,  ///< A decimal number from 0.01 to 100.
    count,   ///< A whole number from 1.
    server,
    account,
    data_centre,
    word, ///< Printable characters.
    side, ///< in or out.
    reach ///< first, second or both: the sides of a split that reach the service.
};

/// A fault at a time since the beginning of the run.
struct fault
{
    core::duration at{};
    std::string kind;
    std::vector<std::string> arguments;

    bool operator==(const fault&) const = default;
};

struct fault_kind
{
    std::string_view name;
    std::vector<argument_kind> arguments;
    void (*apply)(simulation&, const std::vector<std::string>&) = nullptr;
    unsigned weight = 1; ///< In random schedules; 0 for none.
};

/// Returns all kinds. Thread safe.
std::span<const fault_kind> fault_kinds();

/// Returns the kind of that name, or nullptr. Thread safe.
const fault_kind* find_fault_kind(std::string_view name);

/// Returns what is expected of an argument, or an empty text when `value` is right for the
/// configuration. Thread safe.
std::string expectation_of(argument_kind kind, std::string_view value,
                           const config::configuration& config);

/// Carries out a fault now. Precondition: its arguments were checked. Not thread safe.
void apply_fault(simulation& sim, const fault& event);

/// Returns faults at random times from `from` to `until`, single, together and repeated. Thread
/// safe for a generator of its own.
std::vector<fault> make_schedule(core::random_generator& random,
                                 const config::configuration& config, std::size_t vms,
                                 core::duration from, core::duration until);

/// Returns the fault as a line of a trace. Thread safe.
std::string to_line(const fault& event);

} // namespace zinniaferry::history
