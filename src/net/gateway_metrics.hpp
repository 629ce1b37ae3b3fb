/// Metrics of one daemon in the Prometheus text format.
#pragma once

#include "net/gateway.hpp"

#include <string>

namespace zinniaferry::net
{

/// Metrics of the daemon's parts outside the gateway. Counters are since the start.
struct daemon_metrics
{
    std::size_t caller_connections = 0; ///< Open now.
    std::uint64_t platform_calls = 0;
    std::uint64_t store_era = 0; ///< Of the revision; 0 for none.
    std::uint64_t replica_revision = 0;
    std::uint64_t peer_bytes_in = 0;      ///< Received from other daemons.
    std::uint64_t peer_bytes_out = 0;     ///< Sent to other daemons.
    std::uint64_t peer_snapshots_out = 0; ///< Snapshots of all entries sent to other daemons.
    std::uint64_t grant_timeouts = 0;     ///< Grants that the primary hub did not send in time.
    core::time_point now;                 ///< For averages over time.
};

/// Returns the body of `/metrics`. Thread safety: the gateway's thread only.
std::string print_metrics(const gateway& gateway, const daemon_metrics& daemon);

} // namespace zinniaferry::net
