/// Histogram of the time from a request's arrival to the end of its answer.
#pragma once

#include "core/time.hpp"

#include <memory>
#include <string>

namespace zinniaferry::net
{

/// A Boost.Histogram with logarithmic bins. One thread at a time.
class request_durations
{
public:
    request_durations();
    ~request_durations();
    request_durations(const request_durations&) = delete;
    request_durations& operator=(const request_durations&) = delete;

    void record(core::duration elapsed);

    /// Appends the histogram as `zinnia_request_duration_seconds`.
    void append_metrics(std::string& out) const;

private:
    struct histogram_data;
    std::unique_ptr<histogram_data> data_;
};

} // namespace zinniaferry::net
