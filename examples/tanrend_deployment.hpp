/// The deployment of Tanrend Kozos Platform, the shared platform of school publishers: schools read
/// timetables, approve term calendars, and browse curricula and exams.
#pragma once

#include "config/builder.hpp"

namespace zinniaferry::examples
{

// Numbers of servers of each service, and the requests that one server runs at a time.
inline constexpr std::size_t tanrend_timetable_servers = 12;
inline constexpr std::size_t tanrend_approval_servers = 8;
inline constexpr std::size_t tanrend_curriculum_servers = 11;
inline constexpr std::uint32_t tanrend_slots = 6;

// These keys are for tests on loopback only. Real keys are read from a secret store and never
// committed.
inline std::vector<config::account_options> tanrend_accounts()
{
    return {
        {.name = "budapest-schools", .keys = {"tanrend-key-budapest"}, .rate = 2000, .burst = 4000},
        {.name = "alfold-publishing", .keys = {"tanrend-key-alfold"}, .rate = 1500, .burst = 3000},
        {.name = "dunantul-press", .keys = {"tanrend-key-dunantul"}, .rate = 1000, .burst = 2000},
        {.name = "szeged-textbooks", .keys = {"tanrend-key-szeged"}, .rate = 400, .burst = 800},
        {.name = "debrecen-music", .keys = {"tanrend-key-debrecen"}, .rate = 200, .burst = 400},
        {.name = "miskolc-crafts", .keys = {"tanrend-key-miskolc"}, .rate = 150, .burst = 300},
        {.name = "pecs-languages", .keys = {"tanrend-key-pecs-lang"}, .rate = 100, .burst = 200},
        {.name = "eger-evening-school",
         .keys = {"tanrend-key-eger-evening"},
         .rate = 50,
         .burst = 100},
    };
}

/// Returns the deployment with its servers on consecutive ports, from `base_port` on, of the IP
/// address `servers_address`. Thread safe.
inline config::deployment tanrend_deployment(std::uint16_t base_port,
                                             const std::string& servers_address)
{
    const std::vector<std::string> data_centres = {"buda", "pest", "obuda", "csepel"};
    std::uint16_t next_port = base_port;
    const auto service = [&](const char* name, std::size_t count)
    {
        const std::uint16_t first_port = next_port;
        next_port = static_cast<std::uint16_t>(next_port + count);
        return config::service{.name = name,
                               .slots = tanrend_slots,
                               .servers = config::make_servers({.name = name,
                                                                .count = count,
                                                                .data_centres = data_centres,
                                                                .ip = servers_address,
                                                                .first_port = first_port})};
    };

    config::deployment out{
        .version = 1,
        .regions = {{.name = "hungary"}},
        .accounts = tanrend_accounts(),
        .services = {service("timetables", tanrend_timetable_servers),
                     service("approvals", tanrend_approval_servers),
                     service("curriculum", tanrend_curriculum_servers)},
        .routes = {{.prefix = "/timetables",
                    .service = "timetables",
                    .timeout = std::chrono::seconds(1)},
                   // Not idempotent: an approval that ran twice would open a second term.
                   {.prefix = "/approvals",
                    .service = "approvals",
                    .priority = config::order_priority,
                    .idempotent = false,
                    .timeout = std::chrono::seconds(3)},
                   {.prefix = "/curriculum",
                    .service = "curriculum",
                    .priority = config::browse_priority},
                   {.prefix = "/exams", .service = "curriculum"},
                   // Exam dates are public: no key is needed.
                   {.prefix = "/exams/dates", .service = "curriculum", .open = true}},
    };
    for (const std::string& name : data_centres)
    {
        out.data_centres.push_back({.name = name, .region = "hungary"});
    }
    return out;
}

} // namespace zinniaferry::examples
