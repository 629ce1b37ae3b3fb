// Lesson 5: how the numbers of a configuration bear on each other.
//
// Some numbers only make sense together: the burst of an account with its rate, and what a cold
// server tolerates with its slots. This lesson computes them instead of guessing.
#include "config/builder.hpp"

#include <algorithm>

using namespace zinniaferry;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t slots = 6;

// An account sends at its rate; the burst covers this long of it.
constexpr double burst_seconds = 2.0;

// Every VM holds a share of the rate and the burst. A burst below one request per VM makes small
// accounts wait, because a share then holds a fraction of a request for a while.
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
                            // Over all VMs together.
                            .max_connections = 250,
                            // A server that has just started runs requests many times slower. It
                            // gets few requests for three seconds, which warm it without queueing.
                            .warmup = 3s,
                            .warmup_rate = 2.0 * slots,
                            .servers = config::make_servers({.name = "curriculum",
                                                             .count = 4,
                                                             .data_centres = {"buda", "pest"},
                                                             .first_port = 9001})}};
    deployment.routes = {
        {.prefix = "/curriculum", .service = "curriculum", .rank = config::browse_rank}};
    return config::print_deployment(deployment);
}
