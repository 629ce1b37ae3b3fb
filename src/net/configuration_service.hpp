/// The product's own platform: a service that publishes one configuration document, which is read
/// and watched over HTTP.
#pragma once

#include "config/settings.hpp"
#include "net/daemon.hpp"

namespace zinniaferry::net
{

/// Returns the adapter that follows the service at `address`. Thread safe.
platform_adapter make_configuration_service_adapter(const std::string& address);

/// Returns what the product's own settings say. `file` is read again when the settings may have
/// changed. Thread safe.
daemon_options make_daemon_options(const config::settings& settings, const std::string& file);

} // namespace zinniaferry::net
