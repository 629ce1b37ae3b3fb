#include "net/request_durations.hpp"

#include <boost/histogram.hpp>
#include <spdlog/fmt/fmt.h>

#include <iterator>

namespace zinniaferry::net
{

namespace
{

namespace histogram = boost::histogram;

using seconds_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

// Bins from 50 microseconds to 10 seconds, each about 28% wider than the one before.
constexpr unsigned bin_count = 50;
constexpr double lowest_seconds = 50e-6;
constexpr double highest_seconds = 10.0;

} // namespace

struct request_durations::histogram_data
{
    decltype(histogram::make_histogram(
        seconds_axis(bin_count, lowest_seconds, highest_seconds))) bins =
        histogram::make_histogram(seconds_axis(bin_count, lowest_seconds, highest_seconds));
    double sum = 0.0;
    std::uint64_t count = 0;
};

request_durations::request_durations() : data_(std::make_unique<histogram_data>()) {}

request_durations::~request_durations() = default;

void request_durations::record(core::duration elapsed)
{
    const double seconds = core::to_seconds(elapsed);
    data_->bins(seconds);
    data_->sum += seconds;
    ++data_->count;
}

void request_durations::append_metrics(std::string& out) const
{
    out += "# HELP zinnia_request_duration_seconds From a request's arrival to its answer.\n"
           "# TYPE zinnia_request_duration_seconds histogram\n";
    const auto& axis = data_->bins.axis();
    double cumulative = data_->bins.at(-1);
    for (int i = 0; i < axis.size(); ++i)
    {
        cumulative += data_->bins.at(i);
        fmt::format_to(std::back_inserter(out),
                       "zinnia_request_duration_seconds_bucket{{le=\"{:.6g}\"}} {:.0f}\n",
                       axis.bin(i).upper(), cumulative);
    }
    fmt::format_to(std::back_inserter(out),
                   "zinnia_request_duration_seconds_bucket{{le=\"+Inf\"}} {0}\n"
                   "zinnia_request_duration_seconds_sum {1}\n"
                   "zinnia_request_duration_seconds_count {0}\n",
                   data_->count, data_->sum);
}

} // namespace zinniaferry::net
