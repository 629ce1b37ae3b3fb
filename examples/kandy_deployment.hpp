/// The deployment of Kandy Mould House, a wood carving franchise: carvers look up pattern sheets,
/// order timber and browse the catalogue.
#pragma once

#include "config/builder.hpp"

namespace zinniaferry::examples
{

// Numbers of servers of each service.
inline constexpr std::size_t kandy_pattern_servers = 12;
inline constexpr std::size_t kandy_order_servers = 8;
inline constexpr std::size_t kandy_catalogue_servers = 16;

// These keys are for tests on loopback only. Real keys are read from a secret store and never
// committed.
inline std::vector<config::account_options> kandy_accounts()
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
        {.name = "school-of-carving",
         .keys = {"kandy-key-school-of-carving"},
         .rate = 10,
         .burst = 20},
    };
}

/// Returns the deployment with its servers on consecutive ports, from `base_port` on, of the IP
/// address `servers_address`. Thread safe.
inline config::deployment kandy_deployment(std::uint16_t base_port,
                                           const std::string& servers_address)
{
    const std::vector<std::string> data_centres = {"kandy-1", "kandy-2", "kandy-3", "kandy-4"};
    std::uint16_t next_port = base_port;
    const auto servers = [&](const char* name, std::size_t count)
    {
        const std::uint16_t first_port = next_port;
        next_port = static_cast<std::uint16_t>(next_port + count);
        return config::make_servers({.name = name,
                                     .count = count,
                                     .data_centres = data_centres,
                                     .ip = servers_address,
                                     .first_port = first_port});
    };

    config::deployment out{
        .version = 1,
        .regions = {{.name = "lanka"}},
        .accounts = kandy_accounts(),
        .services = {{.name = "patterns", .servers = servers("patterns", kandy_pattern_servers)},
                     {.name = "orders", .servers = servers("orders", kandy_order_servers)},
                     {.name = "catalogue",
                      .servers = servers("catalogue", kandy_catalogue_servers)}},
        .routes =
            {{.prefix = "/patterns", .service = "patterns", .timeout = std::chrono::seconds(1)},
             // Not idempotent: a timber order that ran twice would be cut and billed twice.
             {.prefix = "/orders",
              .service = "orders",
              .priority = config::order_priority,
              .idempotent = false,
              .timeout = std::chrono::seconds(3)},
             {.prefix = "/catalogue", .service = "catalogue", .priority = config::browse_priority},
             {.prefix = "/stock", .service = "catalogue"},
             // The public part of the catalogue is open to callers without a key.
             {.prefix = "/catalogue/public",
              .service = "catalogue",
              .priority = config::browse_priority,
              .open = true}},
    };
    for (const std::string& name : data_centres)
    {
        out.data_centres.push_back({.name = name, .region = "lanka"});
    }
    return out;
}

} // namespace zinniaferry::examples
