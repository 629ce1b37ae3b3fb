#include "net/backend_selection.hpp"

#include "net/await_error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

/// Value of load_reading::slowdown, the factor by which work takes longer than usual, up to which a
/// free server ends the selection. If every free server is slower, a further round of candidates is
/// probed.
constexpr double max_fast_slowdown = 1.5;
/// Time to wait for the probes of one round. It has to be bounded because a full server responds
/// only once a slot is free.
constexpr core::duration probe_round_timeout = std::chrono::milliseconds(40);
/// A server whose load reading is younger than this is not probed again. Responses to requests also
/// carry load readings.
constexpr core::duration max_reading_age = std::chrono::milliseconds(15);
/// A connection that has been idle for longer is not used without a probe: the server may have
/// closed it, and then nobody knows whether the request ran.
constexpr core::duration max_unprobed_idle_time = std::chrono::seconds(1);
/// Time after which a probe is abandoned and its connection closed.
constexpr core::duration probe_timeout = std::chrono::milliseconds(1000);

/// The probes of one selection. They outlive the selection while slow candidates have not
/// responded.
struct selection_probes
{
    explicit selection_probes(asio::io_context& io) : probe_ended(io) {}

    asio::steady_timer probe_ended; ///< Cancelled whenever a probe ends.
    std::vector<connected_backend> answered;
    std::size_t pending = 0; ///< Probes that have not ended.
    bool decided = false;    ///< The selection is over; later responses only update load readings.
};

// Records a failed probe as a failed request, so that the server can become suspect, and logs it.
void record_failure(gateway& gateway, const routing::backend_pointer& server,
                    routing::failure_kind kind)
{
    routing::on_sent(*server);
    routing::on_failed(*server, kind, core::boot_clock_now());
    gateway.log.write("servers", "unusable",
                      {{"server", server->listed.id},
                       {"service", server->listed.service},
                       {"why", routing::to_string(kind)}});
}

// Opens a connection to the server. Returns null and records the failure if that fails.
asio::awaitable<backend_connection_pointer> connect(gateway& gateway,
                                                    const routing::backend_pointer& server)
{
    backend_connection_pointer connection = co_await gateway.backend_connections.connect(*server);
    if (!connection)
    {
        record_failure(gateway, server, routing::failure_kind::unreachable);
    }
    co_return connection;
}

asio::awaitable<probe_result> send_load_probe(gateway& gateway,
                                              const routing::backend_pointer& server,
                                              const backend_connection_pointer& connection)
{
    return send_probe(gateway, *server, connection, probe_purpose::selection, probe_timeout);
}

// Returns a connection that the request can use, on which the server has just responded, or null.
asio::awaitable<backend_connection_pointer> probe_candidate(gateway& gateway,
                                                            routing::backend_pointer server)
{
    const core::time_point now = core::boot_clock_now();
    if (routing::is_withheld(gateway.backends, *server, now))
    {
        co_return nullptr;
    }
    if (server->reading && now - server->reading->received_at < max_reading_age)
    {
        if (auto idle_connection =
                gateway.backend_connections.take_idle(*server, now - max_reading_age))
        {
            co_return idle_connection;
        }
    }
    // An idle connection may have been dropped by the network or the server, which says nothing
    // about the server itself; only a failure on a new connection does.
    routing::on_load_probe_sent(*server, core::boot_clock_now());
    backend_connection_pointer connection =
        gateway.backend_connections.take_idle(*server, core::time_point());
    probe_result result;
    if (connection)
    {
        result = co_await send_load_probe(gateway, server, connection);
    }
    if (!result.answered && !(connection && connection->timer.expired()))
    {
        connection = co_await connect(gateway, server);
        if (!connection)
        {
            co_return nullptr;
        }
        if (routing::is_withheld(gateway.backends, *server, core::boot_clock_now()))
        {
            routing::on_load_probe_abandoned(*server);
            co_return nullptr;
        }
        result = co_await send_load_probe(gateway, server, connection);
    }
    if (!result.answered)
    {
        routing::on_load_probe_unanswered(*server, core::boot_clock_now());
        co_return nullptr;
    }
    if (!result.is_expected_server)
    {
        record_failure(gateway, server, routing::failure_kind::wrong_server);
        co_return nullptr;
    }
    const routing::load_reading reading = result.load.value_or(routing::load_reading{
        .slots = server->listed.slots, .received_at = core::boot_clock_now()});
    routing::on_load_reading(*server, reading, result.warmup_left);
    if (result.load)
    {
        routing::record(gateway.backends.service_states[server->listed.service].load, reading);
    }
    co_return connection->reusable ? connection : nullptr;
}

asio::awaitable<void> probe_and_collect(gateway& gateway, std::shared_ptr<selection_probes> probes,
                                        routing::backend_pointer server)
{
    connected_backend probed{.server = server,
                             .selected_cold = server->state == routing::backend_state::cold};
    probed.connection = co_await probe_candidate(gateway, server);
    --probes->pending;
    if (probed.connection && probes->decided)
    {
        gateway.backend_connections.put_back(*server, probed.connection);
    }
    else if (probed.connection)
    {
        probes->answered.push_back(std::move(probed));
    }
    probes->probe_ended.cancel();
}

// Returns whether the candidate is good enough to end the selection.
bool is_free_and_fast(const connected_backend& candidate, core::time_point now)
{
    return candidate.server->reading && !routing::is_full(*candidate.server, now) &&
           candidate.server->reading->slowdown <= max_fast_slowdown;
}

bool has_free_and_fast(const selection_probes& probes, core::time_point now)
{
    return std::any_of(probes.answered.begin(), probes.answered.end(),
                       [&](const connected_backend& candidate)
                       { return is_free_and_fast(candidate, now); });
}

bool has_idle(const selection_probes& probes, core::time_point now)
{
    return std::any_of(probes.answered.begin(), probes.answered.end(),
                       [&](const connected_backend& candidate) {
                           return is_free_and_fast(candidate, now) &&
                                  candidate.server->reading->running == 0;
                       });
}

// Waits until all probes have ended, an idle server has responded, or the deadline has passed.
asio::awaitable<void> wait_for_probes(selection_probes& probes, core::time_point deadline)
{
    while (probes.pending > 0 && !has_idle(probes, core::boot_clock_now()))
    {
        const core::duration left = deadline - core::boot_clock_now();
        if (left <= core::duration::zero())
        {
            co_return;
        }
        probes.probe_ended.expires_after(left);
        boost::system::error_code ignored;
        co_await probes.probe_ended.async_wait(redirect_error_to(ignored));
    }
}

// Starts a round of up to `count` probes and adds its servers to `excluded`. Returns the number of
// probes started.
std::size_t start_probes(gateway& gateway, const std::shared_ptr<selection_probes>& probes,
                         const selection_criteria& criteria,
                         std::vector<routing::backend_pointer>& excluded, std::size_t count)
{
    const std::vector<routing::backend_pointer> list =
        routing::select_candidates(gateway.backends, criteria.service, excluded, count,
                                   core::boot_clock_now(), gateway.random);
    probes->pending += list.size();
    for (const routing::backend_pointer& server : list)
    {
        excluded.push_back(server);
        asio::co_spawn(gateway.io, probe_and_collect(gateway, probes, server), asio::detached);
    }
    return list.size();
}

// Counts a server that responded, unless it is only ranked below another one.
void count_if_unsuitable(routing::backend_set& set, const routing::backend& server,
                         bool has_capacity, core::time_point now)
{
    if (const auto reason = routing::ineligibility(set, server, now))
    {
        routing::count_passed_over(set, *reason);
    }
    else if (!has_capacity)
    {
        routing::count_passed_over(set, routing::pass_over_reason::no_capacity);
    }
}

// Selects the candidate with the lowest expected cost that has capacity and is still eligible.
// Returns the connections of the others to the pool.
backend_selection select_best(gateway& gateway, std::vector<connected_backend>& connected,
                              const selection_criteria& criteria)
{
    backend_selection out;
    const core::time_point now = core::boot_clock_now();
    std::sort(connected.begin(), connected.end(),
              [&](const connected_backend& a, const connected_backend& b)
              {
                  return routing::expected_cost(gateway.backends, *a.server, now) <
                         routing::expected_cost(gateway.backends, *b.server, now);
              });
    for (connected_backend& candidate : connected)
    {
        const bool has_capacity = routing::has_capacity(gateway.backends, *candidate.server,
                                                        criteria.queueing, criteria.max_delay, now);
        if (!out.selected && has_capacity &&
            routing::is_eligible(gateway.backends, *candidate.server, now) &&
            routing::admit_candidate(gateway.backends, *candidate.server, candidate.selected_cold,
                                     now))
        {
            out.selected = std::move(candidate);
        }
        else
        {
            count_if_unsuitable(gateway.backends, *candidate.server, has_capacity, now);
            gateway.backend_connections.put_back(*candidate.server, candidate.connection);
        }
    }
    out.all_full = !out.selected && !connected.empty();
    return out;
}

// Selects the best candidate by what is known of it. It gets the request on an idle connection that
// was used a moment ago, or on a new one.
asio::awaitable<backend_selection> select_unprobed(gateway& gateway,
                                                   const selection_criteria& criteria)
{
    ++gateway.counters.unprobed_selections;
    const core::time_point now = core::boot_clock_now();
    const std::vector<routing::backend_pointer> list = routing::select_candidates(
        gateway.backends, criteria.service, criteria.excluded, 1, now, gateway.random);
    if (list.empty())
    {
        co_return backend_selection();
    }
    connected_backend candidate{.server = list.front(),
                                .selected_cold =
                                    list.front()->state == routing::backend_state::cold};
    candidate.connection =
        gateway.backend_connections.take_idle(*candidate.server, now - max_unprobed_idle_time);
    if (!candidate.connection)
    {
        candidate.connection = co_await connect(gateway, candidate.server);
    }
    std::vector<connected_backend> connected;
    if (candidate.connection)
    {
        connected.push_back(std::move(candidate));
    }
    backend_selection out = select_best(gateway, connected, criteria);
    out.candidates = list.size();
    co_return out;
}

// Selects the best of the candidates that respond to a probe.
asio::awaitable<backend_selection>
select_probed(gateway& gateway, const selection_criteria& criteria, limits::probe_plan plan)
{
    const auto probes = std::make_shared<selection_probes>(gateway.io);
    std::vector<routing::backend_pointer> excluded(criteria.excluded.begin(),
                                                   criteria.excluded.end());
    const std::size_t first_size = limits::first_round_size(
        plan, routing::is_calm(gateway.backends.service_states[criteria.service].load,
                               core::boot_clock_now()));
    std::size_t probed_count = 0;
    for (std::size_t round = 0; round < plan.rounds; ++round)
    {
        const std::size_t started = start_probes(gateway, probes, criteria, excluded,
                                                 round == 0 ? first_size : plan.per_round);
        probed_count += started;
        if (started == 0)
        {
            break;
        }
        co_await wait_for_probes(
            *probes, std::min(criteria.deadline, core::boot_clock_now() + probe_round_timeout));
        if (has_free_and_fast(*probes, core::boot_clock_now()))
        {
            break;
        }
    }
    probes->decided = true;
    backend_selection out = select_best(gateway, probes->answered, criteria);
    out.candidates = probed_count;
    co_return out;
}

} // namespace

asio::awaitable<backend_selection> select_backend(gateway& gateway,
                                                  const selection_criteria& criteria)
{
    ++gateway.counters.selections;
    const limits::probe_plan plan =
        limits::plan_probes(gateway.probe_budget, core::boot_clock_now());
    return plan.rounds == 0 ? select_unprobed(gateway, criteria)
                            : select_probed(gateway, criteria, plan);
}

} // namespace zinniaferry::net
