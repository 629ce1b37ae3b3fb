/// Metrics of one daemon in Prometheus' text format.
#pragma once

#include "node/decider.hpp"

#include <array>
#include <memory>
#include <string>

namespace zinniaferry::net
{

/// Durations by class of request, in a Boost.Histogram with logarithmic bins. One thread at a
/// time.
class request_durations
{
public:
    request_durations();
    ~request_durations();
    request_durations(const request_durations&) = delete;
    request_durations& operator=(const request_durations&) = delete;

    void record(core::duration whole);

    /// Appends the histogram as `zinnia_request_duration_seconds`.
    void print(std::string& out) const;

private:
    struct histograms;
    std::unique_ptr<histograms> histograms_;
};

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
