#include "net/gateway_metrics.hpp"

#include "net/load_output.hpp"

#include <spdlog/fmt/fmt.h>

#include <iterator>

namespace zinniaferry::net
{

namespace
{

void print(std::string& out, const char* type, const char* name, const char* help, double value)
{
    fmt::format_to(std::back_inserter(out), "# HELP {0} {1}\n# TYPE {0} {2}\n{0} {3}\n", name, help,
                   type, value);
}

void print_refusals(std::string& out, const gateway_counters& counters)
{
    out += "# HELP zinnia_refusals_total Requests that the daemon answered itself, by reason.\n"
           "# TYPE zinnia_refusals_total counter\n";
    for (std::size_t i = 0; i < counters.refused.size(); ++i)
    {
        fmt::format_to(std::back_inserter(out), "zinnia_refusals_total{{reason=\"{}\"}} {}\n",
                       request::to_string(static_cast<request::refusal_reason>(i)),
                       counters.refused.at(i));
    }
}

void print_probes(std::string& out, const backend_connection_pool_counters& counters)
{
    out += "# HELP zinnia_probes_total Probes of backend servers, by purpose.\n"
           "# TYPE zinnia_probes_total counter\n";
    for (std::size_t i = 0; i < counters.probes.size(); ++i)
    {
        fmt::format_to(std::back_inserter(out), "zinnia_probes_total{{purpose=\"{}\"}} {}\n",
                       to_string(static_cast<probe_purpose>(i)), counters.probes.at(i));
    }
}

void print_passed_over(std::string& out, const routing::backend_set& set)
{
    out += "# HELP zinnia_servers_passed_over_total Servers left out of selections, by reason.\n"
           "# TYPE zinnia_servers_passed_over_total counter\n";
    for (std::size_t i = 0; i < set.passed_over.size(); ++i)
    {
        fmt::format_to(std::back_inserter(out),
                       "zinnia_servers_passed_over_total{{reason=\"{}\"}} {}\n",
                       to_string(static_cast<routing::pass_over_reason>(i)), set.passed_over.at(i));
    }
}

void print_admission(std::string& out, const gateway& gateway)
{
    out += "# HELP zinnia_rejected_for_capacity_total Requests for which a service had no capacity."
           "\n# TYPE zinnia_rejected_for_capacity_total counter\n";
    for (std::size_t level = 0; level < admission::priority_levels; ++level)
    {
        fmt::format_to(std::back_inserter(out),
                       "zinnia_rejected_for_capacity_total{{priority=\"{}\"}} {}\n", level,
                       gateway.counters.rejected_by_priority.at(level));
    }
    out += "# HELP zinnia_waiting_requests Requests that wait for a server.\n"
           "# TYPE zinnia_waiting_requests gauge\n";
    for (std::size_t level = 0; level < admission::priority_levels; ++level)
    {
        fmt::format_to(std::back_inserter(out), "zinnia_waiting_requests{{priority=\"{}\"}} {}\n",
                       level, gateway.waiting_by_priority.at(level));
    }
    out += "# HELP zinnia_admitted_share Share of the arrivals that a short service admits.\n"
           "# TYPE zinnia_admitted_share gauge\n";
    for (const auto& [service, state] : gateway.priority_admissions)
    {
        for (std::size_t level = 0; state.is_short && level < admission::priority_levels; ++level)
        {
            fmt::format_to(std::back_inserter(out),
                           "zinnia_admitted_share{{service=\"{}\",priority=\"{}\"}} {}\n", service,
                           level, state.admitted.at(level));
        }
    }
}

} // namespace

std::string print_metrics(const gateway& gateway, const daemon_metrics& daemon)
{
    const gateway_counters& counters = gateway.counters;
    const auto number = [](auto value)
    {
        return static_cast<double>(value);
    };
    std::string out;
    print(out, "counter", "zinnia_requests_total", "Requests read.", number(counters.requests));
    print(out, "counter", "zinnia_answered_total", "Answers of backend servers handed over.",
          number(counters.answered));
    print(out, "counter", "zinnia_caller_gone_total", "Requests whose caller left.",
          number(counters.caller_gone));
    print(out, "counter", "zinnia_repeats_total", "Requests sent to a further backend server.",
          number(counters.repeats));
    print(out, "counter", "zinnia_backend_connections_total", "Connections to backend servers.",
          number(gateway.backend_connections.counters.connections));
    print(out, "counter", "zinnia_selections_total", "Selections of a backend server.",
          number(counters.selections));
    print(out, "counter", "zinnia_unprobed_selections_total",
          "Selections without a probe, for lack of budget.", number(counters.unprobed_selections));
    print_probes(out, gateway.backend_connections.counters);
    print_passed_over(out, gateway.backends);
    print(out, "counter", "zinnia_platform_calls_total", "Calls to the platform's store.",
          number(daemon.platform_calls));
    print(out, "counter", "zinnia_peer_bytes_received_total", "From other daemons.",
          number(daemon.peer_bytes_in));
    print(out, "counter", "zinnia_peer_bytes_sent_total", "To other daemons.",
          number(daemon.peer_bytes_out));
    print(out, "counter", "zinnia_peer_snapshots_sent_total", "Of all entries, to other daemons.",
          number(daemon.peer_snapshots_out));
    print(out, "counter", "zinnia_grant_timeouts_total", "Grants that the hub sent late or never.",
          number(daemon.grant_timeouts));
    print(out, "counter", "zinnia_log_lines_left_out_total", "Log lines beyond the bound.",
          number(gateway.log.suppressed_lines()));
    print(out, "gauge", "zinnia_requests_in_progress", "Requests without an answer yet.",
          number(gateway.requests_in_progress));
    print(out, "counter", "zinnia_caller_connections_closed_total",
          "Callers' connections closed for lack of descriptors.",
          number(counters.connections_closed));
    print(out, "counter", "zinnia_slow_bodies_closed_total",
          "Callers closed because others waited for the memory of their slow body.",
          number(gateway.bodies->closed));
    print(out, "counter", "zinnia_bodies_without_memory_total",
          "Bodies that got no memory in time.", number(gateway.bodies->refused));
    print(out, "gauge", "zinnia_body_bytes", "Memory reserved for bodies.",
          number(gateway.bodies->budget.held));
    print(out, "gauge", "zinnia_caller_connections", "Open connections of callers.",
          number(daemon.caller_connections));
    print(out, "gauge", "zinnia_configuration_version", "Version in force; 0 for none.",
          gateway.configuration ? number(gateway.configuration->config->version) : 0.0);
    print(out, "gauge", "zinnia_store_era", "Restorations of the store, as it numbers them.",
          number(daemon.store_era));
    print(out, "gauge", "zinnia_replica_revision", "Revision of the store that is known.",
          number(daemon.replica_revision));
    print(out, "counter", "zinnia_not_admitted_total", "Requests rejected at their arrival.",
          number(counters.not_admitted));
    print_refusals(out, counters);
    print_admission(out, gateway);
    append_load_metrics(out, gateway, daemon.now);
    gateway.durations.append_metrics(out);
    return out;
}

} // namespace zinniaferry::net
