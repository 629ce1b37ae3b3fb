#include "routing/backends.hpp"

#include "core/id.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace zinniaferry::routing
{

namespace
{

/// A reading older than this says little: load shifts within milliseconds.
constexpr core::duration reading_lifetime = std::chrono::milliseconds(40);
/// Weight of the newest result in the averages.
constexpr double newest_weight = 0.3;
/// The same for the average of a service, which has many more results.
constexpr double average_weight = 0.05;
/// Time in which observations lose two thirds of their weight.
constexpr core::duration memory = std::chrono::seconds(5);
constexpr double suspect_error_rate = 0.4;
constexpr core::duration first_suspicion = std::chrono::milliseconds(500);
constexpr std::uint32_t max_suspicion_doublings = 3;
/// With more of a service's servers suspect, the suspicion is more likely wrong than right.
constexpr double max_suspect_part = 0.5;
/// Cost of another data centre, as a factor: bytes between data centres have a price.
constexpr double remote_cost = 1.1;
/// A slowdown changes within this time, so that it does not last for a long request.
constexpr core::duration slowdown_lifetime = std::chrono::milliseconds(60);
/// A server that has not told its load within this time is taken to be full.
constexpr core::duration prompt_answer = std::chrono::milliseconds(40);
/// A full server that broke a question off may have room again after this time.
constexpr core::duration busy_time = std::chrono::milliseconds(100);
/// Questions without an answer in a row after which a server is suspect.
constexpr std::uint32_t max_silences = 4;
/// Members that send to one cold server.
constexpr std::size_t cold_senders = 2;

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

struct chart_indices
{
    const chart::state_chart* chart = nullptr;
    std::vector<chart::index> state;
    std::vector<chart::index> event;
};

const chart_indices& indices()
{
    static const chart_indices known = []
    {
        chart_indices out;
        out.chart = &chart::get_chart("backend");
        for (const char* name : {"serving", "cold", "suspect", "draining", "gone"})
        {
            out.state.push_back(chart::state_index(*out.chart, name));
        }
        for (const char* name : {"listed_serving", "listed_cold", "listed_draining", "removed",
                                 "warmed", "turned_cold", "failing", "trial_passed"})
        {
            out.event.push_back(chart::event_index(*out.chart, name));
        }
        return out;
    }();
    return known;
}

void apply(backend& server, backend_event event)
{
    const chart_indices& known = indices();
    const chart::step_result next =
        chart::step(*known.chart, known.state.at(static_cast<std::size_t>(server.state)),
                    known.event.at(static_cast<std::size_t>(event)));
    const auto found = std::find(known.state.begin(), known.state.end(), next.state);
    server.state = static_cast<backend_state>(found - known.state.begin());
}

double decay(core::duration age)
{
    return std::exp(-std::max(0.0, core::to_seconds(age)) / core::to_seconds(memory));
}

double error_rate(const backend& server, core::time_point now)
{
    return server.error_rate * decay(now - server.error_rate_at);
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

void warm_when_due(backend& server, core::time_point now)
{
    if (server.state == backend_state::cold && now >= server.cold_until)
    {
        apply(server, backend_event::warmed);
    }
}

bool is_excluded(std::span<const backend_pointer> excluded, const backend_pointer& server)
{
    return std::find(excluded.begin(), excluded.end(), server) != excluded.end();
}

bool is_out(const backend_set& set, const backend& server)
{
    return set.data_centres_out.contains(server.listed.data_centre);
}

// The members with the highest weights share the server. Views of the fleet differ for seconds, so
// that two sets of senders may be active: together they stay below what the server bears.
bool is_cold_sender(const backend_set& set, const backend& server)
{
    const std::uint64_t own = core::rendezvous_weight(server.listed.id, set.options.self);
    std::size_t ahead = 0;
    for (const std::string& member : set.members)
    {
        if (member != set.options.self && core::rendezvous_weight(server.listed.id, member) > own)
        {
            ++ahead;
        }
    }
    return ahead < cold_senders;
}

double cold_rate(const backend_set& set, const backend& server)
{
    const auto found = set.pace.find(server.listed.service);
    const double rate = found == set.pace.end() ? 1.0 : found->second.warmup_rate;
    const double borne = rate * set.options.cold_overage + set.options.cold_slack;
    // Half for each of two views, less the one request that a full bucket lets through at once.
    const double for_one = borne / (2.0 * cold_senders) - 1.0;
    return std::clamp(for_one, 0.2, std::max(0.2, rate / cold_senders));
}

bool take_cold_token(const backend_set& set, backend& server, core::time_point now)
{
    if (!is_cold_sender(set, server))
    {
        return false;
    }
    const double earned = core::to_seconds(now - server.cold_tokens_at) * cold_rate(set, server);
    server.cold_tokens = std::min(1.0, server.cold_tokens + earned);
    server.cold_tokens_at = now;
    if (server.cold_tokens < 1.0)
    {
        return false;
    }
    server.cold_tokens -= 1.0;
    return true;
}

bool is_silent(const backend& server, core::time_point now)
{
    return now < server.busy_until || (server.asked_at && now - *server.asked_at > prompt_answer);
}

bool is_fresh(const backend& server, core::time_point now)
{
    return server.reading && now - server.reading->at < reading_lifetime;
}

struct ranked
{
    double cost = 0.0;
    backend_pointer server;
};

void sort_by_cost(std::vector<ranked>& list)
{
    std::sort(list.begin(), list.end(),
              [](const ranked& a, const ranked& b) { return a.cost < b.cost; });
}

} // namespace

const char* to_string(backend_state value)
{
    constexpr std::array names = {"serving", "cold", "suspect", "draining", "gone"};
    return names.at(static_cast<std::size_t>(value));
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

bool may_send(const backend_set& set, const backend& server, core::time_point)
{
    return !is_out(set, server) &&
           (server.state == backend_state::serving || server.state == backend_state::cold ||
            server.state == backend_state::suspect);
}

bool is_full(const backend& server, core::time_point now)
{
    return is_fresh(server, now) &&
           server.reading->running + server.reading->waiting >= server.reading->slots;
}

double expected_cost(const backend_set& set, const backend& server, core::time_point now)
{
    const double slots = std::max(1U, server.listed.slots);
    double busy = server.in_flight;
    double extra = 0.0;
    const auto pace = set.pace.find(server.listed.service);
    const double latency = pace == set.pace.end() ? 0.0 : core::to_seconds(pace->second.latency);
    const double base = latency > 0.0 ? latency : 0.1;
    if (is_fresh(server, now))
    {
        busy = std::max<double>(busy, server.reading->running + server.reading->waiting);
        extra = std::min(core::to_seconds(slowdown_lifetime),
                         std::max(0.0, server.reading->slowdown - 1.0) * base);
    }
    const double load = (busy + 1.0) / slots;
    const double slowness =
        1.0 + std::max(0.0, server.slowness - 1.0) * decay(now - server.slowness_at);
    const double remote = server.listed.data_centre == set.options.data_centre ? 1.0 : remote_cost;
    return (base * slowness * (1.0 + std::pow(load, 4.0)) + extra) *
           (1.0 + 4.0 * error_rate(server, now)) * remote;
}

std::vector<backend_pointer> candidates(backend_set& set, const std::string& service,
                                        std::span<const backend_pointer> excluded,
                                        std::size_t count, core::time_point now,
                                        core::random_generator& random)
{
    std::vector<ranked> good;
    std::vector<ranked> suspect;
    std::vector<ranked> cold;
    std::size_t silent = 0;
    const auto found = set.by_service.find(service);
    if (found == set.by_service.end())
    {
        return {};
    }
    for (const backend_pointer& server : found->second)
    {
        warm_when_due(*server, now);
        if (!may_send(set, *server, now) || is_excluded(excluded, server))
        {
            continue;
        }
        if (is_silent(*server, now))
        {
            ++silent;
            continue;
        }
        // Chance breaks ties, so that daemons with equal views spread their requests.
        const double cost = expected_cost(set, *server, now) * (1.0 + 0.05 * core::uniform(random));
        auto& list = server->state == backend_state::serving   ? good
                     : server->state == backend_state::suspect ? suspect
                                                               : cold;
        list.push_back({cost, server});
    }
    sort_by_cost(good);
    std::vector<backend_pointer> out;
    for (const ranked& entry : good)
    {
        if (out.size() < count)
        {
            out.push_back(entry.server);
        }
    }
    for (const ranked& entry : cold)
    {
        if (out.empty() && take_cold_token(set, *entry.server, now))
        {
            out.push_back(entry.server);
        }
    }
    const double total = static_cast<double>(good.size() + suspect.size() + cold.size() + silent);
    if (out.empty() || static_cast<double>(suspect.size()) > total * max_suspect_part)
    {
        sort_by_cost(suspect);
        for (const ranked& entry : suspect)
        {
            if (out.size() < count)
            {
                out.push_back(entry.server);
            }
        }
    }
    return out;
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

void on_silence(backend_set& set, backend& server, core::time_point now)
{
    server.asked_at.reset();
    server.busy_until = now + busy_time;
    ++server.silences;
    if (server.silences >= max_silences)
    {
        server.silences = 0;
        on_sent(server);
        on_failed(set, server, failure_kind::unreachable, now);
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

void on_reading(backend_set& set, backend& server, const load_reading& reading,
                core::duration warmup_left)
{
    server.reading = reading;
    server.asked_at.reset();
    server.silences = 0;
    if (warmup_left > core::duration::zero())
    {
        const bool was_cold = server.state == backend_state::cold;
        if (!was_cold)
        {
            turn_cold(server, warmup_left, reading.at, backend_event::turned_cold);
        }
    }
    static_cast<void>(set);
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
    server.slowness = 1.0 + (server.slowness - 1.0) * decay(now - server.slowness_at);
    server.slowness += newest_weight * (ratio - server.slowness);
    server.slowness_at = now;
}

void on_failed(backend_set& set, backend& server, failure_kind kind, core::time_point now)
{
    static_cast<void>(set);
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

std::optional<load_reading> parse_named_load(std::string_view text, core::time_point now)
{
    load_reading out{.at = now};
    std::size_t found = 0;
    while (!text.empty())
    {
        const std::size_t end = std::min(text.find(';'), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos)
        {
            return std::nullopt;
        }
        const std::string_view name = part.substr(0, equals);
        std::uint32_t* target = name == "inflight" ? &out.running
                                : name == "queue"  ? &out.waiting
                                : name == "slots"  ? &out.slots
                                                   : nullptr;
        const std::string_view value = part.substr(equals + 1);
        if (target != nullptr)
        {
            const char* last = value.data() + value.size();
            const auto [parsed, error] = std::from_chars(value.data(), last, *target);
            if (error != std::errc() || parsed != last)
            {
                return std::nullopt;
            }
            ++found;
        }
    }
    out.slots = std::max(1U, out.slots);
    return found == 3 ? std::optional(out) : std::nullopt;
}

std::optional<load_reading> parse_listed_load(std::string_view text, core::time_point now)
{
    std::array<std::uint32_t, 4> values = {0, 0, 1, 100};
    std::size_t count = 0;
    const char* at = text.data();
    const char* end = text.data() + text.size();
    while (count < values.size())
    {
        const auto [next, error] = std::from_chars(at, end, values.at(count));
        if (error != std::errc())
        {
            return std::nullopt;
        }
        ++count;
        if (next == end)
        {
            break;
        }
        if (*next != ',')
        {
            return std::nullopt;
        }
        at = next + 1;
    }
    if (count < 3)
    {
        return std::nullopt;
    }
    return load_reading{.running = values[0],
                        .waiting = values[1],
                        .slots = std::max(1U, values[2]),
                        .slowdown = static_cast<double>(values[3]) / 100.0,
                        .at = now};
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
