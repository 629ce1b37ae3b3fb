// Cost of reading, printing and delta-coding a configuration near the bound of 1 MB, as multiples
// of the time that Boost.JSON takes to parse the same text in the same run.
#include "config/delta.hpp"
#include "config/json_document.hpp"
#include "config/printer.hpp"
#include "config/reader.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

using namespace zinniaferry;

namespace
{

constexpr int rounds = 15;
constexpr std::size_t services = 1600;
constexpr std::size_t servers_per_service = 8;
constexpr std::size_t data_centres = 20;

config::configuration make_large()
{
    config::configuration out{.version = 1};
    out.regions.push_back({.name = "r1"});
    for (std::size_t i = 0; i < data_centres; ++i)
    {
        out.data_centres.push_back({.name = "dc" + std::to_string(i), .region = "r1"});
    }
    out.accounts.push_back({.name = "large", .keys = {core::sha256("one")}, .rate = 5, .burst = 9});
    for (std::size_t i = 0; i < services; ++i)
    {
        config::service service{.name = "s" + std::to_string(i)};
        for (std::size_t k = 0; k < servers_per_service; ++k)
        {
            const std::size_t n = i * servers_per_service + k;
            service.servers.push_back({.name = service.name + "-" + std::to_string(k),
                                       .data_centre = "dc" + std::to_string(n % data_centres),
                                       .address = "10." + std::to_string(n / 250) + ".1." +
                                                  std::to_string(n % 250) + ":8080"});
        }
        out.services.push_back(std::move(service));
    }
    return out;
}

// The median, because the machine is shared.
template <class Work>
double median_ms(Work&& work)
{
    std::vector<double> times;
    for (int i = 0; i < rounds; ++i)
    {
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::milli> taken =
            std::chrono::steady_clock::now() - start;
        times.push_back(taken.count());
    }
    std::nth_element(times.begin(), times.begin() + rounds / 2, times.end());
    return times[rounds / 2];
}

} // namespace

int main()
{
    config::configuration large = make_large();
    const std::string text = config::print(large);
    large.version = 2;
    large.accounts[0].keys[0] = core::sha256("two");
    const std::string changed = config::print(large);
    const std::string delta = config::make_delta(text, changed).value();

    const double parse = median_ms([&] { boost::json::parse(text); });
    const auto print_line = [](const char* name, double value, const char* unit, double baseline)
    {
        std::printf("{\"name\":\"config/%s\",\"value\":%.4g,\"unit\":\"%s\",\"bound\":null,"
                    "\"baseline\":%.4g,\"pass\":null}\n",
                    name, value, unit, baseline);
    };
    // The baseline of a time is that of parsing alone, which is 1 by definition.
    const auto report = [&](const char* name, double time)
    {
        print_line(name, time / parse, "ratio", 1.0);
    };
    print_line("boost::json::parse", parse, "ms", parse);
    print_line("delta_of_one_key", static_cast<double>(delta.size()), "bytes",
               static_cast<double>(text.size()));
    report("read_configuration",
           median_ms([&] { (void)config::read_configuration(text, "bench").value(); }));
    report("print", median_ms([&] { (void)config::print(large); }));
    report("make_delta", median_ms([&] { (void)config::make_delta(text, changed).value(); }));
    report("apply_delta", median_ms([&] { (void)config::apply_delta(text, delta).value(); }));
}
