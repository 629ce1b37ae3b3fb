/// Loads of services in the metrics and in the state dump: as this daemon measures them, and as the
/// fleet sees them.
#pragma once

#include "net/gateway.hpp"

#include <boost/json.hpp>

#include <string>

namespace zinniaferry::net
{

/// Appends the metrics of all services in use; those of the fleet's load only while it is recent.
/// Thread safety: the gateway's thread only, as for dump_loads.
void append_load_metrics(std::string& out, const gateway& gateway, core::time_point now);

/// Returns the loads by service, with the rates of each priority.
boost::json::object dump_loads(const gateway& gateway, core::time_point now);

} // namespace zinniaferry::net
