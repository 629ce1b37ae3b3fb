/// Histogram of the time from a request's arrival until its response is ready to be written.
#pragma once

#include "core/time.hpp"

#include <memory>
#include <string>

namespace zinniaferry::net
{

/// Wraps a Boost.Histogram with logarithmic bins. Not thread safe.
class request_durations
{
public:
    request_durations();
    ~request_durations();
    request_durations(const request_durations&) = delete;
    request_durations& operator=(const request_durations&) = delete;

    void record(core::duration elapsed);

    /// Appends the histogram in the Prometheus text format as `zinnia_request_duration_seconds`.
    void append_metrics(std::string& out) const;

private:
    struct histogram_data;
    std::unique_ptr<histogram_data> data_;
};

} // namespace zinniaferry::net
