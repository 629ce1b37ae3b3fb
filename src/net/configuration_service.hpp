/// Adapter for the product's own platform: a service that publishes one configuration document,
/// which is read and watched over HTTP by long polling.
#pragma once

#include "config/settings.hpp"
#include "net/daemon.hpp"

namespace zinniaferry::net
{

/// Returns the adapter for the configuration service at `address` (IP address and port). Thread
/// safe.
platform_adapter make_configuration_service_adapter(const std::string& address);

/// Returns the daemon's options from the product's own settings. The daemon reads `file` again on
/// SIGHUP and at intervals. Thread safe.
daemon_options make_daemon_options(const config::settings& settings, const std::string& file);

} // namespace zinniaferry::net
