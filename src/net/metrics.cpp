#include "net/metrics.hpp"

#include <spdlog/fmt/fmt.h>

#include <iterator>

namespace zinniaferry::net
{

namespace
{

void counter(std::string& out, const char* name, const char* help, std::uint64_t value)
{
    fmt::format_to(std::back_inserter(out), "# HELP {0} {1}\n# TYPE {0} counter\n{0} {2}\n", name,
                   help, value);
}

void gauge(std::string& out, const char* name, const char* help, double value)
{
    fmt::format_to(std::back_inserter(out), "# HELP {0} {1}\n# TYPE {0} gauge\n{0} {2}\n", name,
                   help, value);
}

void print_refusals(std::string& out, const node::decider_counters& counters)
{
    out += "# HELP zinnia_refusals_total Requests without an answer, by error.\n"
           "# TYPE zinnia_refusals_total counter\n";
    for (std::size_t i = 0; i < counters.refused.size(); ++i)
    {
        fmt::format_to(std::back_inserter(out), "zinnia_refusals_total{{error=\"{}\"}} {}\n",
                       node::to_string(static_cast<node::request_error>(i)), counters.refused[i]);
    }
}

void print_accounts(std::string& out, const node::decider& decider)
{
    out += "# HELP zinnia_account_requests_total Requests by account and result.\n"
           "# TYPE zinnia_account_requests_total counter\n";
    for (const auto& [name, counters] : decider.accounts)
    {
        const auto line = [&, account = name](const char* result, std::uint64_t value)
        {
            fmt::format_to(std::back_inserter(out),
                           "zinnia_account_requests_total{{account=\"{}\",result=\"{}\"}} {}\n",
                           account, result, value);
        };
        line("admitted", counters.admitted);
        line("over_limit", counters.over_limit);
        line("other", counters.other);
    }
}

} // namespace

std::string print_metrics(const node::decider& decider, const daemon_gauges& gauges,
                          const request_durations& durations, core::time_point now)
{
    std::string out;
    const node::decider_counters& counters = decider.counters;
    const routing::probe_totals probes = routing::totals(decider.probes, now);
    counter(out, "zinnia_requests_total", "Requests received.", counters.requests);
    counter(out, "zinnia_answers_total", "Requests answered by a backend server.",
            counters.answered);
    counter(out, "zinnia_retries_total", "Requests sent again.", counters.retries);
    counter(out, "zinnia_unknown_outcomes_total", "Refusals that could not say whether it ran.",
            counters.unknown_outcomes);
    print_refusals(out, counters);
    print_accounts(out, decider);
    gauge(out, "zinnia_configuration_version", "Version in force.",
          static_cast<double>(decider.applied_version));
    gauge(out, "zinnia_vms_seen", "Live daemons known, this one included.",
          static_cast<double>(fleet::alive(decider.membership, now).size() + 1));
    gauge(out, "zinnia_isolated", "1 while keyed requests are refused because of isolation.",
          fleet::is_isolated(decider.membership, now) ? 1 : 0);
    gauge(out, "zinnia_requests_in_progress", "Requests not ended yet.",
          static_cast<double>(decider.requests.size()));
    gauge(out, "zinnia_probe_seconds_earned", "Probe time allowed since the start.",
          core::to_seconds(probes.earned));
    gauge(out, "zinnia_probe_seconds_spent", "Probe time used since the start.",
          core::to_seconds(probes.spent));
    counter(out, "zinnia_pauses_total", "Times the process woke late.", counters.pauses);
    gauge(out, "zinnia_caller_connections", "Open connections of callers.",
          static_cast<double>(gauges.caller_connections));
    gauge(out, "zinnia_idle_upstream_connections", "Idle connections to backend servers.",
          static_cast<double>(gauges.idle_upstream_connections));
    gauge(out, "zinnia_peer_links", "Authenticated connections to peers.",
          static_cast<double>(gauges.peer_links));
    counter(out, "zinnia_peer_bytes_in_total", "Bytes received from peers.", gauges.peer_bytes_in);
    counter(out, "zinnia_peer_bytes_out_total", "Bytes sent to peers.", gauges.peer_bytes_out);
    durations.print(out);
    return out;
}

} // namespace zinniaferry::net
