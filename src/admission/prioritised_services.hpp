/// Finds the services for which a configuration gives requests different priorities.
#pragma once

#include "config/model.hpp"

#include <string>
#include <unordered_set>

namespace zinniaferry::admission
{

/// Returns the services whose requests may be of different priority: those that routes of different
/// priority lead to, over their splits too, or that an account of another priority than the route's
/// may use. Thread safe while the configuration is not modified.
std::unordered_set<std::string> prioritised_services(const config::configuration& config);

} // namespace zinniaferry::admission
