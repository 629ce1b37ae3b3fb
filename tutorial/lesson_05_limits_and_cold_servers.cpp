// Lesson 5: limits that depend on each other.
//
// Some limits follow from other values: the burst of an account from its rate, and the request rate
// of a cold server from its slots. This lesson computes them.
#include "config/builder.hpp"

#include <algorithm>

using namespace zinniaferry;
using namespace std::chrono_literals;

namespace
{

// Requests that one server runs concurrently.
constexpr std::uint32_t slots = 6;

// The burst of an account holds the requests of this time at its rate.
constexpr double burst_seconds = 2.0;

// Smallest burst, in requests: one for each VM that accepts requests. Every VM gets a share of an
// account's rate and burst. With a smaller burst, requests of low-rate accounts are delayed,
// because the share of a VM is below one request until its rate has filled it up.
constexpr double min_burst = 20.0;

config::account_options account(const char* name, const char* key, double rate)
{
    return {.name = name,
            .keys = {key},
            .rate = rate,
            .burst = std::max(min_burst, rate * burst_seconds)};
}

} // namespace

int main()
{
    config::deployment deployment{.version = 1};
    deployment.regions = {{.name = "hungary"}};
    deployment.data_centres = {{.name = "buda", .region = "hungary"},
                               {.name = "pest", .region = "hungary"}};
    deployment.accounts = {account("alfold-publishing", "a-key-for-lesson-five-a", 1500),
                           account("evening-school", "a-key-for-lesson-five-b", 5)};
    deployment.services = {{.name = "curriculum",
                            .slots = slots,
                            // Limit per server, over all VMs together.
                            .max_connections = 250,
                            // A server that has just started runs requests many times slower. For
                            // three seconds it gets at most `warmup_rate` requests per second,
                            // which warm it up without queueing.
                            .warmup = 3s,
                            .warmup_rate = 2.0 * slots,
                            .servers = config::make_servers({.name = "curriculum",
                                                             .count = 4,
                                                             .data_centres = {"buda", "pest"},
                                                             .first_port = 9001})}};
    deployment.routes = {
        {.prefix = "/curriculum", .service = "curriculum", .priority = config::browse_priority}};
    return config::print_deployment(deployment);
}
