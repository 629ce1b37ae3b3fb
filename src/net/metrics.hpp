/// Metrics of one daemon in Prometheus' text format.
#pragma once

#include "net/request_durations.hpp"
#include "node/decider.hpp"

#include <string>

namespace zinniaferry::net
{

/// Counters of the daemon that the decider does not know.
struct daemon_gauges
{
    std::size_t caller_connections = 0;
    std::size_t idle_upstream_connections = 0;
    std::uint64_t peer_bytes_in = 0;
    std::uint64_t peer_bytes_out = 0;
    std::size_t peer_links = 0;
};

/// Returns the metrics page. Thread safety: the decider's thread only.
std::string print_metrics(const node::decider& decider, const daemon_gauges& gauges,
                          const request_durations& durations, core::time_point now);

} // namespace zinniaferry::net
