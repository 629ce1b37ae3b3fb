/// The operator of the model and the platform's lists: publishes configurations, lists backend
/// servers and takes data centres out of service. Each change waits while the store is down.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Data centres of the model; daemons and servers are divided among them.
inline constexpr std::size_t data_centre_count = 3;

/// Returns the name of a data centre. Precondition: index < data_centre_count.
std::string data_centre_name(std::size_t index);

/// Publishes the next version of the configuration.
void publish_configuration(world& world);

/// Starts and lists the servers of all services, warm.
void list_servers(world& world);

/// Lists the server as leaving or removes it at once, ends it later, and starts it again, cold.
void restart_server(world& world, const std::string& server);

/// Takes the data centre out of service and puts it back in after `time`; its servers are cold
/// then.
void evacuate(world& world, const std::string& data_centre, core::duration time);

} // namespace zinniaferry::model
