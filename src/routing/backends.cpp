#include "routing/backends.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniaferry::routing
{

namespace
{

/// Weight of the newest result in the moving averages of a server.
constexpr double server_ewma_weight = 0.3;
/// Weight of the newest latency in the average of a service, which has many more results.
constexpr double service_ewma_weight = 0.05;
/// Observations decay exponentially; in this time they lose about two thirds of their weight.
constexpr core::duration observation_time_constant = std::chrono::seconds(5);
/// A server with a higher error rate becomes suspect.
constexpr double suspect_error_rate = 0.4;
/// Delay of the first trial probe of a suspect server before doublings, and interval of further
/// ones.
constexpr core::duration base_probe_interval = std::chrono::milliseconds(500);
/// Bounds the delay of the first trial probe.
constexpr std::uint32_t max_probe_delay_doublings = 3;
/// A server that closed the connection of a load probe or left the probe unanswered is skipped for
/// this time; if it was full, it may have a free slot again then.
constexpr core::duration load_probe_backoff = std::chrono::milliseconds(100);
/// Unanswered load probes in a row that make a server suspect.
constexpr std::uint32_t max_unanswered_load_probes = 4;

/// Events of the chart `charts/backend.json`.
enum class backend_event
{
    listed_serving,
    listed_cold,
    listed_draining,
    removed,
    warmed,
    turned_cold,
    failing,
    trial_passed
};

constexpr std::array state_names = {"serving", "cold", "suspect", "draining", "gone"};
constexpr std::array event_names = {"listed_serving", "listed_cold", "listed_draining",
                                    "removed",        "warmed",      "turned_cold",
                                    "failing",        "trial_passed"};

void apply(backend& server, backend_event event)
{
    static const chart::chart_binding binding =
        chart::bind_chart("backend", state_names, event_names);
    if (const auto next = chart::step(binding, static_cast<std::size_t>(server.state),
                                      static_cast<std::size_t>(event)))
    {
        server.state = static_cast<backend_state>(*next);
    }
}

double decay_factor(core::duration age)
{
    return std::exp(-std::max(0.0, core::to_seconds(age)) /
                    core::to_seconds(observation_time_constant));
}

void record_result(backend& server, bool failed, core::time_point now)
{
    server.error_rate =
        error_rate(server, now) * (1.0 - server_ewma_weight) + (failed ? server_ewma_weight : 0.0);
    server.error_rate_updated_at = now;
}

void record_slowness(backend& server, double ratio, core::time_point now)
{
    const double previous = slowness(server, now);
    server.slowness = previous + server_ewma_weight * (std::clamp(ratio, 0.2, 10.0) - previous);
    server.slowness_updated_at = now;
}

void mark_cold(backend& server, core::duration warmup, core::time_point now, backend_event event)
{
    server.cold_until = now + warmup;
    server.cold_tokens = 0.0;
    server.cold_tokens_updated_at = now;
    apply(server, event);
}

void remove_from_service_index(backend_set& set, const backend_pointer& server)
{
    const auto found = set.by_service.find(server->listed.service);
    if (found == set.by_service.end())
    {
        return;
    }
    std::erase(found->second, server);
    if (found->second.empty())
    {
        set.by_service.erase(found);
    }
}

} // namespace

bool is_out_of_service(const backend_set& set, const backend& server)
{
    return set.data_centres_out_of_service.contains(server.listed.data_centre);
}

double error_rate(const backend& server, core::time_point now)
{
    return server.error_rate * decay_factor(now - server.error_rate_updated_at);
}

double slowness(const backend& server, core::time_point now)
{
    return 1.0 + (server.slowness - 1.0) * decay_factor(now - server.slowness_updated_at);
}

void end_warmup_if_due(backend& server, core::time_point now)
{
    if (server.state == backend_state::cold && now >= server.cold_until)
    {
        apply(server, backend_event::warmed);
    }
}

const char* to_string(backend_state value)
{
    return state_names.at(static_cast<std::size_t>(value));
}

const char* to_string(failure_kind value)
{
    constexpr std::array names = {"unreachable", "broken", "error", "timeout", "wrong_server"};
    return names.at(static_cast<std::size_t>(value));
}

const char* to_string(pass_over_reason value)
{
    constexpr std::array names = {"draining",    "out_of_service", "leaving",
                                  "retry_later", "unresponsive",   "suspect",
                                  "cold",        "no_capacity",    "too_slow"};
    return names.at(static_cast<std::size_t>(value));
}

void apply_listing(backend_set& set, const listed_backend& listed, core::time_point now)
{
    backend_pointer& entry = set.by_id[listed.id];
    const bool replaced = entry && (entry->listed.incarnation != listed.incarnation ||
                                    entry->listed.address != listed.address ||
                                    entry->listed.service != listed.service);
    if (replaced)
    {
        remove_from_service_index(set, entry);
        apply(*entry, backend_event::removed);
        entry.reset();
    }
    if (!entry)
    {
        entry = std::make_shared<backend>();
        set.by_service[listed.service].push_back(entry);
    }
    const bool warmup_changed = entry->listed.warmup_left != listed.warmup_left;
    entry->listed = listed;
    if (listed.draining)
    {
        apply(*entry, backend_event::listed_draining);
    }
    else if (listed.warmup_left > core::duration::zero() &&
             (warmup_changed || entry->state == backend_state::gone))
    {
        mark_cold(*entry, listed.warmup_left, now, backend_event::listed_cold);
    }
    else
    {
        apply(*entry, backend_event::listed_serving);
    }
}

void remove_listing(backend_set& set, const std::string& id)
{
    const auto found = set.by_id.find(id);
    if (found != set.by_id.end())
    {
        remove_from_service_index(set, found->second);
        apply(*found->second, backend_event::removed);
        set.by_id.erase(found);
    }
}

void set_data_centres_out_of_service(backend_set& set, std::unordered_set<std::string> data_centres,
                                     core::time_point now)
{
    for (const auto& [id, server] : set.by_id)
    {
        if (is_out_of_service(set, *server) && !data_centres.contains(server->listed.data_centre))
        {
            mark_cold(*server, set.service_states[server->listed.service].warmup, now,
                      backend_event::turned_cold);
        }
    }
    set.data_centres_out_of_service = std::move(data_centres);
}

bool is_withheld(const backend_set& set, const backend& server, core::time_point now)
{
    const listed_backend& listed = server.listed;
    return is_leaving(set.notices, listed.id, listed.incarnation, now) ||
           retry_later_until(set.notices, listed.id, listed.incarnation, now);
}

std::vector<backend_pointer> take_due_probes(backend_set& set, core::time_point now)
{
    std::vector<backend_pointer> out;
    for (const auto& [id, server] : set.by_id)
    {
        if (server->state == backend_state::suspect && now >= server->next_probe_at &&
            !is_withheld(set, *server, now))
        {
            server->next_probe_at = now + base_probe_interval;
            out.push_back(server);
        }
    }
    return out;
}

void on_load_probe_sent(backend& server, core::time_point now)
{
    if (!server.load_probe_pending_since)
    {
        server.load_probe_pending_since = now;
    }
}

void on_load_probe_unanswered(backend& server, core::time_point now)
{
    server.load_probe_pending_since.reset();
    server.skip_until = now + load_probe_backoff;
    ++server.unanswered_load_probes;
    if (server.unanswered_load_probes >= max_unanswered_load_probes)
    {
        server.unanswered_load_probes = 0;
        on_sent(server);
        on_failed(server, failure_kind::unreachable, now);
    }
}

void on_load_probe_abandoned(backend& server)
{
    server.load_probe_pending_since.reset();
}

void on_sent(backend& server)
{
    ++server.in_flight;
    if (server.reading)
    {
        ++server.reading->running;
    }
}

void on_released(backend& server)
{
    server.in_flight -= server.in_flight > 0 ? 1 : 0;
}

void record_slowdown(backend_set& set, const backend& server, const load_reading& reading)
{
    double& usual = set.service_states[server.listed.service].usual_slowdown;
    const double slowdown = std::clamp(reading.slowdown, 1.0, max_believed_slowdown);
    usual += service_ewma_weight * (slowdown - usual);
}

void on_load_reading(backend& server, const load_reading& reading, core::duration warmup_left)
{
    server.reading = reading;
    server.load_probe_pending_since.reset();
    server.unanswered_load_probes = 0;
    if (warmup_left > core::duration::zero() && server.state != backend_state::cold)
    {
        mark_cold(server, warmup_left, reading.received_at, backend_event::turned_cold);
    }
}

void record_latency(route_latency& route, core::duration latency)
{
    // Equal steps up and down settle at the median, where half of the latencies are on each side.
    constexpr double step = 0.05;
    const double median_s = core::to_seconds(route.median);
    route.median =
        median_s <= 0.0
            ? latency
            : core::from_seconds(median_s *
                                 (core::to_seconds(latency) > median_s ? 1.0 + step : 1.0 - step));
}

void on_response(backend_set& set, backend& server, core::duration latency,
                 core::duration usual_latency, core::time_point now)
{
    on_released(server);
    record_result(server, false, now);
    server.times_marked_suspect = 0;
    service_state& service = set.service_states[server.listed.service];
    const double latency_s = core::to_seconds(latency);
    const double average_s = core::to_seconds(service.latency);
    service.latency =
        average_s <= 0.0
            ? latency
            : core::from_seconds(average_s + service_ewma_weight * (latency_s - average_s));
    if (usual_latency <= core::duration::zero())
    {
        return;
    }
    record_slowness(server, latency_s / core::to_seconds(usual_latency), now);
}

void on_unfinished(backend& server, core::duration at_least, core::duration usual_latency,
                   core::time_point now)
{
    const double ratio =
        core::to_seconds(at_least) / std::max(1e-3, core::to_seconds(usual_latency));
    if (usual_latency > core::duration::zero() && ratio > slowness(server, now))
    {
        record_slowness(server, ratio, now);
    }
}

void on_failed(backend& server, failure_kind kind, core::time_point now)
{
    on_released(server);
    server.load_probe_pending_since.reset();
    record_result(server, true, now);
    const bool conclusive = kind == failure_kind::unreachable || kind == failure_kind::wrong_server;
    if (conclusive || server.error_rate > suspect_error_rate)
    {
        const std::uint32_t doublings =
            std::min(server.times_marked_suspect, max_probe_delay_doublings);
        server.next_probe_at = now + base_probe_interval * (1U << doublings);
        ++server.times_marked_suspect;
        apply(server, backend_event::failing);
    }
}

void on_trial_passed(backend& server)
{
    server.error_rate = 0.0;
    apply(server, backend_event::trial_passed);
}

boost::json::array dump(const backend_set& set, core::time_point now)
{
    boost::json::array out;
    for (const auto& [id, server] : set.by_id)
    {
        out.push_back({{"id", id},
                       {"service", server->listed.service},
                       {"data_centre", server->listed.data_centre},
                       {"state", to_string(server->state)},
                       {"withheld", is_withheld(set, *server, now)},
                       {"in_flight", server->in_flight},
                       {"error_rate", error_rate(*server, now)},
                       {"slowness", slowness(*server, now)}});
    }
    return out;
}

} // namespace zinniaferry::routing
