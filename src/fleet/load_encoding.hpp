/// Encoding of service loads in the messages between daemons. Rates are integers in steps of
/// 0.01/s: the packed encoding leaves out their leading zeros, so that most take one or two bytes.
#pragma once

#include "fleet/hub.capnp.h"
#include "fleet/hub_messages.hpp"

namespace zinniaferry::fleet
{

/// Writes the loads. Precondition: `out` has as many entries as `loads`. Thread safe for different
/// messages.
void write_loads(capnp::List<wire::ServiceLoad>::Builder out,
                 const std::vector<stated_load>& loads);

/// Reads the loads. Entries with a value that no fleet reaches, and those beyond the first
/// `max_stated_loads`, are dropped: they come from a faulty peer and would spoil every sum. Thread
/// safe.
std::vector<stated_load> read_loads(capnp::List<wire::ServiceLoad>::Reader loads);

} // namespace zinniaferry::fleet
