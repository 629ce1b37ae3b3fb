#include "routing/candidates.hpp"

#include "core/hash.hpp"

#include <algorithm>
#include <cmath>

namespace zinniaferry::routing
{

namespace
{

/// Older load readings are ignored, because load shifts within milliseconds. This must exceed the
/// time that a selection of a server takes, as it waits for further candidates.
constexpr core::duration max_reading_age = std::chrono::milliseconds(100);
/// If a larger fraction of a service's servers is suspect, the suspicion is more likely wrong than
/// right, and suspect servers get requests as well.
constexpr double max_suspect_fraction = 0.5;
/// Cost factor of a server in another data centre: traffic between data centres is charged for.
constexpr double remote_cost_factor = 1.1;
/// Cost factor of a server outside the daemon's subset: it is used once those inside are full, fail
/// or are clearly slower.
constexpr double outside_subset_cost_factor = 1.5;
/// Range of the random cost factor that breaks ties.
constexpr double max_jitter = 0.05;
/// Cost factor of a server whose connections have all been closed. It only decides between servers
/// of close cost, as it is no larger than the jitter.
constexpr double unconnected_cost_factor = 1.0 + max_jitter;
/// Fraction of selections that connect to servers without a connection as readily as to others, so
/// that the requests of a daemon don't stay with a few servers.
constexpr double exploring_fraction = 0.1;
/// A server that has not answered a load probe within this time is taken to be full.
constexpr core::duration max_load_probe_delay = std::chrono::milliseconds(40);
/// When callers of a service whose servers all leave are to retry: a new server is usually listed
/// by then.
constexpr core::duration leaving_service_pause = std::chrono::seconds(1);
/// Factor on the expected time in a server's queue: the work ahead of a request takes longer as
/// often as shorter, and a queue must not make the response late.
constexpr double queue_time_margin = 1.5;
/// Members of the fleet that send to one cold server.
constexpr std::size_t senders_per_cold_server = 2;

bool is_excluded(std::span<const backend_pointer> excluded, const backend_pointer& server)
{
    return std::find(excluded.begin(), excluded.end(), server) != excluded.end();
}

// The members with the highest rendezvous weights send to the server. Views of the fleet may differ
// for seconds, so that two sets of senders are active; together they stay below the rate that the
// server tolerates.
bool is_sender_for_cold(const backend_set& set, const backend& server)
{
    const std::uint64_t own_weight =
        core::rendezvous_weight(server.listed.id, set.options.own_name);
    std::size_t higher_ranked = 0;
    for (const std::string& member : set.members)
    {
        if (member != set.options.own_name &&
            core::rendezvous_weight(server.listed.id, member) > own_weight)
        {
            ++higher_ranked;
        }
    }
    return higher_ranked < senders_per_cold_server;
}

// Requests/s that this daemon, as one of the senders, may send to the cold server.
double cold_rate_per_sender(const backend_set& set, const backend& server)
{
    const auto found = set.service_states.find(server.listed.service);
    const double rate = found == set.service_states.end() ? 1.0 : found->second.warmup_rate;
    const double tolerated_rate = rate * set.options.cold_overage + set.options.cold_slack;
    // Divided between the senders of two differing views, less the one request that a full bucket
    // admits at once.
    const double per_sender = tolerated_rate / (2.0 * senders_per_cold_server) - 1.0;
    return std::clamp(per_sender, 0.2, std::max(0.2, rate / senders_per_cold_server));
}

bool take_cold_token(const backend_set& set, backend& server, core::time_point now)
{
    if (!set.are_members_known || !is_sender_for_cold(set, server))
    {
        return false;
    }
    const double earned =
        core::to_seconds(now - server.cold_tokens_updated_at) * cold_rate_per_sender(set, server);
    server.cold_tokens = std::min(1.0, server.cold_tokens + earned);
    server.cold_tokens_updated_at = now;
    if (server.cold_tokens < 1.0)
    {
        return false;
    }
    server.cold_tokens -= 1.0;
    return true;
}

// Average latency of the server's service in seconds; 0 before the first response.
double service_latency(const backend_set& set, const backend& server)
{
    const auto found = set.service_states.find(server.listed.service);
    return found == set.service_states.end() ? 0.0 : core::to_seconds(found->second.latency);
}

bool is_unresponsive(const backend& server, core::time_point now)
{
    return now < server.skip_until ||
           (server.load_probe_pending_since &&
            now - *server.load_probe_pending_since > max_load_probe_delay);
}

bool is_fresh(const backend& server, core::time_point now)
{
    return server.reading && now - server.reading->received_at < max_reading_age;
}

// A server that this daemon has not probed yet counts as connected, so that one that has joined
// soon gets requests.
bool is_connected_or_new(const backend& server, core::time_point now)
{
    return !server.reading || now < server.connected_until;
}

// Returns the cost of the server, raised where a request would need a further connection.
double selection_cost(const backend_set& set, const backend& server, bool is_exploring,
                      core::time_point now)
{
    const double subset_factor = server.in_subset ? 1.0 : outside_subset_cost_factor;
    const bool is_preferred = is_exploring || is_connected_or_new(server, now);
    const double connection_factor = is_preferred ? 1.0 : unconnected_cost_factor;
    return expected_cost(set, server, now) * subset_factor * connection_factor;
}

struct ranked_server
{
    double cost = 0.0;
    backend_pointer server;
};

void sort_by_cost(std::vector<ranked_server>& list)
{
    std::sort(list.begin(), list.end(),
              [](const ranked_server& a, const ranked_server& b) { return a.cost < b.cost; });
}

} // namespace

bool is_eligible(const backend_set& set, const backend& server, core::time_point now)
{
    return server.state != backend_state::gone && !ineligibility(set, server, now);
}

std::optional<pass_over_reason> ineligibility(const backend_set& set, const backend& server,
                                              core::time_point now)
{
    const listed_backend& listed = server.listed;
    if (server.state == backend_state::draining)
    {
        return pass_over_reason::draining;
    }
    if (is_out_of_service(set, server))
    {
        return pass_over_reason::out_of_service;
    }
    if (is_leaving(set.notices, listed.id, listed.incarnation, now))
    {
        return pass_over_reason::leaving;
    }
    if (retry_later_until(set.notices, listed.id, listed.incarnation, now))
    {
        return pass_over_reason::retry_later;
    }
    return std::nullopt;
}

void count_passed_over(backend_set& set, pass_over_reason reason)
{
    ++set.passed_over.at(static_cast<std::size_t>(reason));
}

std::optional<core::duration> service_pause(const backend_set& set, const std::string& service,
                                            std::span<const backend_pointer> excluded,
                                            core::time_point now)
{
    const auto found = set.by_service.find(service);
    if (found == set.by_service.end())
    {
        return std::nullopt;
    }
    bool any_withheld = false;
    std::optional<core::time_point> soonest;
    for (const backend_pointer& server : found->second)
    {
        const auto reason = ineligibility(set, *server, now);
        if (!reason && !is_excluded(excluded, server))
        {
            return std::nullopt;
        }
        any_withheld = any_withheld || reason == pass_over_reason::leaving ||
                       reason == pass_over_reason::retry_later;
        if (reason == pass_over_reason::retry_later)
        {
            const auto until =
                retry_later_until(set.notices, server->listed.id, server->listed.incarnation, now);
            soonest = std::min(soonest.value_or(*until), *until);
        }
    }
    if (!any_withheld)
    {
        return std::nullopt;
    }
    return soonest ? *soonest - now : leaving_service_pause;
}

bool is_full(const backend& server, core::time_point now)
{
    return is_fresh(server, now) &&
           server.reading->running + server.reading->waiting >= server.reading->slots;
}

bool has_capacity(const backend_set& set, const backend& server, queueing accepted,
                  core::duration max_delay, core::time_point now)
{
    if (!is_fresh(server, now))
    {
        return true;
    }
    const load_reading& reading = *server.reading;
    const double latency = service_latency(set, server);
    const double slowdown_delay = latency * std::max(0.0, reading.slowdown - 1.0);
    const std::uint32_t slots = std::max(1U, reading.slots);
    const std::uint32_t requests_at_server = reading.running + reading.waiting;
    if (requests_at_server < slots)
    {
        const bool is_last_slot = requests_at_server + 1 == slots;
        const bool leaves_slot = !is_last_slot || requests_at_server == 0;
        return (accepted != queueing::spare || leaves_slot) &&
               slowdown_delay <= core::to_seconds(max_delay);
    }
    const std::uint32_t waiting = requests_at_server - slots;
    if (accepted != queueing::in_time || waiting >= slots)
    {
        return false;
    }
    const double expected_wait =
        latency * static_cast<double>(waiting + 1) / static_cast<double>(slots);
    return expected_wait * queue_time_margin + slowdown_delay <= core::to_seconds(max_delay);
}

double expected_cost(const backend_set& set, const backend& server, core::time_point now)
{
    const double slots = std::max(1U, server.listed.slots);
    double requests_at_server = server.in_flight;
    double slowdown = 1.0;
    const double latency = service_latency(set, server);
    // Assumes 100 ms until the service has responded for the first time.
    const double base_latency = latency > 0.0 ? latency : 0.1;
    if (is_fresh(server, now))
    {
        requests_at_server =
            std::max<double>(requests_at_server, server.reading->running + server.reading->waiting);
        slowdown = std::max(1.0, server.reading->slowdown);
    }
    const double load = (requests_at_server + 1.0) / slots;
    const double latency_factor = std::max(1.0, slowness(server, now));
    const double distance_factor =
        server.listed.data_centre == set.options.data_centre ? 1.0 : remote_cost_factor;
    return base_latency * latency_factor * slowdown * (1.0 + std::pow(load, 4.0)) *
           (1.0 + 4.0 * error_rate(server, now)) * distance_factor;
}

bool admit_candidate(const backend_set& set, backend& server, bool selected_cold,
                     core::time_point now)
{
    const bool turned_cold = server.state == backend_state::cold && !selected_cold;
    return !turned_cold || take_cold_token(set, server, now);
}

std::vector<backend_pointer> select_candidates(backend_set& set, const std::string& service,
                                               std::span<const backend_pointer> excluded,
                                               std::size_t count, core::time_point now,
                                               core::random_generator& random)
{
    std::vector<ranked_server> serving;
    std::vector<ranked_server> suspect;
    std::vector<ranked_server> cold;
    const bool is_exploring = core::uniform(random) < exploring_fraction;
    std::size_t unavailable = 0; // Not suspect, but not to be used now.
    const auto found = set.by_service.find(service);
    if (found == set.by_service.end())
    {
        return {};
    }
    for (const backend_pointer& server : found->second)
    {
        end_warmup_if_due(*server, now);
        if (is_excluded(excluded, server))
        {
            continue;
        }
        if (const auto reason = ineligibility(set, *server, now))
        {
            count_passed_over(set, *reason);
            const bool is_paused = reason == pass_over_reason::retry_later;
            unavailable += is_paused && server->state != backend_state::suspect ? 1 : 0;
            continue;
        }
        if (is_unresponsive(*server, now))
        {
            count_passed_over(set, pass_over_reason::unresponsive);
            ++unavailable;
            continue;
        }
        // Random jitter breaks ties, so that daemons with equal views spread their requests.
        const double jitter = 1.0 + max_jitter * core::uniform(random);
        const double cost = selection_cost(set, *server, is_exploring, now) * jitter;
        auto& list = server->state == backend_state::serving   ? serving
                     : server->state == backend_state::suspect ? suspect
                                                               : cold;
        list.push_back({cost, server});
    }
    sort_by_cost(serving);
    std::vector<backend_pointer> out;
    for (const ranked_server& entry : serving)
    {
        if (out.size() < count)
        {
            out.push_back(entry.server);
        }
    }
    for (const ranked_server& entry : cold)
    {
        if (out.empty() && take_cold_token(set, *entry.server, now))
        {
            out.push_back(entry.server);
        }
        else
        {
            count_passed_over(set, pass_over_reason::cold);
        }
    }
    const double total =
        static_cast<double>(serving.size() + suspect.size() + cold.size() + unavailable);
    if (out.empty() || static_cast<double>(suspect.size()) > total * max_suspect_fraction)
    {
        sort_by_cost(suspect);
        for (const ranked_server& entry : suspect)
        {
            if (out.size() < count)
            {
                out.push_back(entry.server);
            }
        }
    }
    else
    {
        set.passed_over.at(static_cast<std::size_t>(pass_over_reason::suspect)) += suspect.size();
    }
    set.candidates_outside_subset += static_cast<std::uint64_t>(std::count_if(
        out.begin(), out.end(), [](const backend_pointer& server) { return !server->in_subset; }));
    return out;
}

} // namespace zinniaferry::routing
