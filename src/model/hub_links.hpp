/// The connections between daemons, with the times and steps of net/hub_links.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Opens and closes connections to the hubs and reports to them, until the process ends.
void check_hubs(world& world, std::size_t daemon);

/// Sends the replica's latest changes to all subscribers.
void notify_subscribers(world& world, std::size_t daemon);

/// Asks the primary hub for requests of the account. `on_answer` gets nothing when no primary hub
/// is connected, or when it does not answer within 20 ms.
void request_grant(world& world, std::size_t daemon, const std::string& account,
                   std::function<void(std::optional<limits::grant>)> on_answer);

} // namespace zinniaferry::model
