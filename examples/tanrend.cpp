// The deployment of Tanrend Kozos Platform, the shared platform of school publishers: schools read
// timetables, approve term calendars, and browse curricula and exams. The program prints the
// configuration.
#include "config/builder.hpp"
#include "example_arguments.hpp"

using namespace zinniaferry;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint16_t default_base_port = 9300;
constexpr std::size_t timetable_servers = 12;
constexpr std::size_t approval_servers = 8;
constexpr std::size_t curriculum_servers = 11;
constexpr std::uint32_t slots = 6;

// The keys are for trials on loopback only. Real keys are read from a safe place and never
// committed.
std::vector<config::account_options> accounts()
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

} // namespace

int main(int argc, char** argv)
{
    const examples::arguments arguments =
        examples::read_arguments(argc, argv, "tanrend", default_base_port);
    const std::vector<std::string> data_centres = {"buda", "pest", "obuda", "csepel"};
    std::uint16_t next_port = arguments.base_port;
    const auto service = [&](const char* name, std::size_t count)
    {
        const std::uint16_t first_port = next_port;
        next_port = static_cast<std::uint16_t>(next_port + count);
        return config::service{.name = name,
                               .slots = slots,
                               .servers = config::make_servers({.name = name,
                                                                .count = count,
                                                                .data_centres = data_centres,
                                                                .ip = arguments.servers_address,
                                                                .first_port = first_port})};
    };

    config::deployment tanrend{
        .version = 1,
        // 16 to 19 VMs run; the rest is the surge while they are replaced.
        .max_vms = 20,
        .regions = {{.name = "hungary"}},
        .accounts = accounts(),
        .services = {service("timetables", timetable_servers),
                     service("approvals", approval_servers),
                     service("curriculum", curriculum_servers)},
        .routes = {{.prefix = "/timetables", .service = "timetables", .timeout = 1s},
                   // An approval that ran twice would open a second term.
                   {.prefix = "/approvals",
                    .service = "approvals",
                    .priority = config::request_class::order,
                    .idempotent = false,
                    .timeout = 3s},
                   {.prefix = "/curriculum",
                    .service = "curriculum",
                    .priority = config::request_class::browse},
                   {.prefix = "/exams", .service = "curriculum"},
                   // Exam dates are public.
                   {.prefix = "/exams/dates", .service = "curriculum", .open = true}},
    };
    for (const std::string& name : data_centres)
    {
        tanrend.data_centres.push_back({.name = name, .region = "hungary"});
    }
    return config::print_deployment(tanrend);
}
