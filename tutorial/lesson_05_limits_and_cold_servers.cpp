// Lesson 5: how the numbers of a configuration bear on each other.
//
// Some numbers only make sense together: the burst of an account with the number of VMs, and the
// allowance of a cold server with its slots. This lesson computes them instead of guessing.
#include "config/builder.hpp"

#include <algorithm>

using namespace zinniaferry;

namespace
{

constexpr std::uint32_t max_vms = 20;
constexpr std::uint32_t slots = 6;

// An account sends at its rate; the burst covers this long of it.
constexpr double burst_seconds = 2.0;

config::account_options account(const char* name, const char* key, double rate)
{
    const double burst = std::max(1.0, rate * burst_seconds);

    // Seats are the part of the rate and the burst that each VM may spend without asking. With a
    // burst below two requests per VM, a seat would hold a fraction of a request and waste it, so
    // all of it goes to the pool, which lends it to the VMs that need it.
    const double seat_fraction = burst < 2.0 * max_vms ? 0.0 : 0.2;
    return {
        .name = name, .keys = {key}, .rate = rate, .burst = burst, .seat_fraction = seat_fraction};
}

} // namespace

int main()
{
    config::deployment deployment{.version = 1, .max_vms = max_vms};

    // Each group of accounts has a pool that one process holds by a lease. More groups spread the
    // work over more processes; eight are enough for a fleet of twenty.
    deployment.pool_groups = 8;
    deployment.regions = {{.name = "hungary"}};
    deployment.data_centres = {{.name = "buda", .region = "hungary"},
                               {.name = "pest", .region = "hungary"}};
    deployment.accounts = {account("alfold-publishing", "a-key-for-lesson-five-a", 1500),
                           account("evening-school", "a-key-for-lesson-five-b", 5)};
    deployment.services = {
        {.name = "curriculum",
         .slots = slots,
         // A server that has just started runs requests many times slower. Two at a time warm it
         // without queueing; this is over all VMs together.
         .cold_allowance = 2,
         // Each VM opens at most max_connections / max_vms connections to a server: twelve here.
         .max_connections = 250,
         .servers = config::make_servers({.name = "curriculum",
                                          .count = 4,
                                          .data_centres = {"buda", "pest"},
                                          .first_port = 9001})}};
    deployment.routes = {{.prefix = "/curriculum",
                          .service = "curriculum",
                          .priority = config::request_class::browse}};
    return config::print_deployment(deployment);
}
