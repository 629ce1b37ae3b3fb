/// Metrics of one daemon in Prometheus' text format.
#pragma once

#include "net/gateway.hpp"

#include <string>

namespace zinniaferry::net
{

/// Figures of the daemon that the gateway does not know.
struct daemon_metrics
{
    std::size_t caller_connections = 0;
    std::uint64_t platform_calls = 0;
    std::uint64_t replica_revision = 0;
    std::uint64_t peer_bytes_in = 0;
    std::uint64_t peer_bytes_out = 0;
};

/// Returns the metrics page. Thread safety: the gateway's thread only.
std::string print_metrics(const gateway& gateway, const daemon_metrics& daemon);

} // namespace zinniaferry::net
