#include "routing/backends.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace zinniaferry::routing
{

namespace
{

/// Weight of the newest result in the averages.
constexpr double newest_weight = 0.3;
/// The same for the average of a service, which has many more results.
constexpr double average_weight = 0.05;
/// Time in which observations lose two thirds of their weight.
constexpr core::duration memory = std::chrono::seconds(5);
constexpr double suspect_error_rate = 0.4;
constexpr core::duration first_suspicion = std::chrono::milliseconds(500);
constexpr std::uint32_t max_suspicion_doublings = 3;
/// A full server that broke a question off may have room again after this time.
constexpr core::duration busy_time = std::chrono::milliseconds(100);
/// Questions without an answer in a row after which a server is suspect.
constexpr std::uint32_t max_silences = 4;

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
    static const chart::chart_binding known =
        chart::bind_chart("backend", state_names, event_names);
    if (const auto next = chart::step(known, static_cast<std::size_t>(server.state),
                                      static_cast<std::size_t>(event)))
    {
        server.state = static_cast<backend_state>(*next);
    }
}

double decay(core::duration age)
{
    return std::exp(-std::max(0.0, core::to_seconds(age)) / core::to_seconds(memory));
}

void note_result(backend& server, bool failed, core::time_point now)
{
    server.error_rate =
        error_rate(server, now) * (1.0 - newest_weight) + (failed ? newest_weight : 0.0);
    server.error_rate_at = now;
}

void turn_cold(backend& server, core::duration time, core::time_point now, backend_event event)
{
    server.cold_until = now + time;
    server.cold_tokens = 0.0;
    server.cold_tokens_at = now;
    apply(server, event);
}

void unlist(backend_set& set, const backend_pointer& server)
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

bool is_out(const backend_set& set, const backend& server)
{
    return set.data_centres_out.contains(server.listed.data_centre);
}

double error_rate(const backend& server, core::time_point now)
{
    return server.error_rate * decay(now - server.error_rate_at);
}

double slowness(const backend& server, core::time_point now)
{
    return 1.0 + (server.slowness - 1.0) * decay(now - server.slowness_at);
}

void warm_when_due(backend& server, core::time_point now)
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

void apply_listing(backend_set& set, const listed_backend& listed, core::time_point now)
{
    backend_pointer& entry = set.by_id[listed.id];
    const bool replaced = entry && (entry->listed.lifetime != listed.lifetime ||
                                    entry->listed.address != listed.address ||
                                    entry->listed.service != listed.service);
    if (replaced)
    {
        unlist(set, entry);
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
        turn_cold(*entry, listed.warmup_left, now, backend_event::listed_cold);
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
        unlist(set, found->second);
        apply(*found->second, backend_event::removed);
        set.by_id.erase(found);
    }
}

void set_data_centres_out(backend_set& set, std::unordered_set<std::string> out,
                          core::time_point now)
{
    for (const auto& [id, server] : set.by_id)
    {
        if (is_out(set, *server) && !out.contains(server->listed.data_centre))
        {
            turn_cold(*server, set.pace[server->listed.service].warmup, now,
                      backend_event::turned_cold);
        }
    }
    set.data_centres_out = std::move(out);
}

std::vector<backend_pointer> due_probes(backend_set& set, core::time_point now)
{
    std::vector<backend_pointer> out;
    for (const auto& [id, server] : set.by_id)
    {
        if (server->state == backend_state::suspect && now >= server->suspect_until)
        {
            server->suspect_until = now + first_suspicion;
            out.push_back(server);
        }
    }
    return out;
}

void on_asked(backend& server, core::time_point now)
{
    if (!server.asked_at)
    {
        server.asked_at = now;
    }
}

void on_silence(backend& server, core::time_point now)
{
    server.asked_at.reset();
    server.busy_until = now + busy_time;
    ++server.silences;
    if (server.silences >= max_silences)
    {
        server.silences = 0;
        on_sent(server);
        on_failed(server, failure_kind::unreachable, now);
    }
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

void on_reading(backend& server, const load_reading& reading, core::duration warmup_left)
{
    server.reading = reading;
    server.asked_at.reset();
    server.silences = 0;
    if (warmup_left > core::duration::zero() && server.state != backend_state::cold)
    {
        turn_cold(server, warmup_left, reading.at, backend_event::turned_cold);
    }
}

void note_latency(route_pace& pace, core::duration latency)
{
    // Steps of equal size up and down settle where half of the answers are on each side.
    constexpr double step = 0.05;
    const double median = core::to_seconds(pace.median);
    pace.median =
        median <= 0.0
            ? latency
            : core::from_seconds(median *
                                 (core::to_seconds(latency) > median ? 1.0 + step : 1.0 - step));
}

void on_answered(backend_set& set, backend& server, core::duration latency, core::duration usual,
                 core::time_point now)
{
    on_released(server);
    note_result(server, false, now);
    server.suspicions = 0;
    service_pace& pace = set.pace[server.listed.service];
    const double taken = core::to_seconds(latency);
    const double average = core::to_seconds(pace.latency);
    pace.latency =
        average <= 0.0 ? latency : core::from_seconds(average + average_weight * (taken - average));
    if (usual <= core::duration::zero())
    {
        return;
    }
    const double ratio = std::clamp(taken / core::to_seconds(usual), 0.2, 10.0);
    const double before = slowness(server, now);
    server.slowness = before + newest_weight * (ratio - before);
    server.slowness_at = now;
}

void on_failed(backend& server, failure_kind kind, core::time_point now)
{
    on_released(server);
    server.asked_at.reset();
    note_result(server, true, now);
    const bool certain = kind == failure_kind::unreachable || kind == failure_kind::wrong_server;
    if (certain || server.error_rate > suspect_error_rate)
    {
        const std::uint32_t doublings = std::min(server.suspicions, max_suspicion_doublings);
        server.suspect_until = now + first_suspicion * (1U << doublings);
        ++server.suspicions;
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
                       {"in_flight", server->in_flight},
                       {"error_rate", error_rate(*server, now)},
                       {"slowness", server->slowness}});
    }
    return out;
}

} // namespace zinniaferry::routing
