// The deployment of Kandy Mould House, a wood carving franchise: carvers look up pattern sheets,
// order timber and browse the catalogue. The program prints the configuration.
#include "config/builder.hpp"
#include "example_arguments.hpp"

using namespace zinniaferry;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t default_base_port = 9100;
constexpr std::size_t pattern_servers = 12;
constexpr std::size_t order_servers = 8;
constexpr std::size_t catalogue_servers = 16;

// The keys are for trials on loopback only. Real keys are read from a safe place and never
// committed.
std::vector<config::account_options> accounts()
{
    return {
        {.name = "peradeniya-workshops",
         .keys = {"kandy-key-peradeniya"},
         .rate = 900,
         .burst = 1800},
        {.name = "galle-furniture",
         .keys = {"kandy-key-galle-furniture"},
         .rate = 700,
         .burst = 1400},
        {.name = "colombo-export",
         .keys = {"kandy-key-colombo-export"},
         .rate = 500,
         .burst = 1000},
        {.name = "matale-masks", .keys = {"kandy-key-matale-masks"}, .rate = 120, .burst = 240},
        {.name = "dambulla-temples", .keys = {"kandy-key-dambulla"}, .rate = 80, .burst = 160},
        {.name = "jaffna-doors", .keys = {"kandy-key-jaffna-doors"}, .rate = 60, .burst = 120},
        {.name = "ella-souvenirs", .keys = {"kandy-key-ella-souvenirs"}, .rate = 40, .burst = 80},
        // So small a burst has no seats: fractions of a request would never add up to a whole one.
        {.name = "school-of-carving",
         .keys = {"kandy-key-school-of-carving"},
         .rate = 10,
         .burst = 20,
         .seat_fraction = 0},
    };
}

} // namespace

int main(int argc, char** argv)
{
    const examples::arguments arguments =
        examples::read_arguments(argc, argv, "kandy", default_base_port);
    const std::vector<std::string> data_centres = {"kandy-1", "kandy-2", "kandy-3", "kandy-4"};
    std::uint16_t next_port = arguments.base_port;
    const auto servers = [&](const char* name, std::size_t count)
    {
        const std::uint16_t first_port = next_port;
        next_port = static_cast<std::uint16_t>(next_port + count);
        return config::make_servers({.name = name,
                                     .count = count,
                                     .data_centres = data_centres,
                                     .ip = arguments.servers_address,
                                     .first_port = first_port});
    };

    config::deployment kandy{
        .version = 1,
        // 16 to 19 VMs run; the rest is the surge while they are replaced.
        .max_vms = 20,
        .regions = {{.name = "lanka"}},
        .accounts = accounts(),
        .services = {{.name = "patterns", .servers = servers("patterns", pattern_servers)},
                     {.name = "orders", .servers = servers("orders", order_servers)},
                     {.name = "catalogue", .servers = servers("catalogue", catalogue_servers)}},
        .routes = {{.prefix = "/patterns", .service = "patterns", .timeout = 1s},
                   // A timber order that ran twice would be cut and billed twice.
                   {.prefix = "/orders",
                    .service = "orders",
                    .priority = config::request_class::order,
                    .idempotent = false,
                    .timeout = 3s},
                   {.prefix = "/catalogue",
                    .service = "catalogue",
                    .priority = config::request_class::browse},
                   {.prefix = "/stock", .service = "catalogue"},
                   // The shop window is open to callers without a key.
                   {.prefix = "/catalogue/public",
                    .service = "catalogue",
                    .priority = config::request_class::browse,
                    .open = true}},
    };
    for (const std::string& name : data_centres)
    {
        kandy.data_centres.push_back({.name = name, .region = "lanka"});
    }
    return config::print_deployment(kandy);
}
