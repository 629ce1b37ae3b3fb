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

/// Candidates that are asked at once. The best of two already avoids most full servers; each more
/// costs its server the time of a probe.
constexpr std::size_t candidates_per_round = 2;
/// Rounds in which candidates are asked.
constexpr int max_probe_rounds = 2;
/// A server whose work takes longer than this factor at the moment is passed over if another is
/// not.
constexpr double max_fast_slowdown = 1.5;
/// A choice waits no longer for candidates. A server that is full answers when a slot is free.
constexpr core::duration selection_timeout = std::chrono::milliseconds(40);
/// A server that told its load this recently is not asked again; an answer to a request tells it
/// too.
constexpr core::duration max_reading_age = std::chrono::milliseconds(15);
/// A question that is open for longer is given up with its connection.
constexpr core::duration probe_timeout = std::chrono::milliseconds(1000);

/// The selection_probes of one choice. It outlives the choice while slow candidates are still asked.
struct selection_probes
{
    explicit selection_probes(asio::io_context& io) : probe_ended(io) {}

    asio::steady_timer probe_ended;
    std::vector<connected_backend> answered;
    std::size_t pending = 0;
    bool decided = false; ///< The choice is made; later answers only update what is known.
};

void record_failure(gateway& gateway, const routing::backend_pointer& server,
                   routing::failure_kind kind)
{
    routing::on_sent(*server);
    routing::on_failed(*server, kind, core::elapsed_now());
    gateway.log.write("servers", "unusable",
                      {{"server", server->listed.id},
                       {"service", server->listed.service},
                       {"why", routing::to_string(kind)}});
}

// Returns the connection when the server answered on it and the request may take it.
asio::awaitable<backend_connection_pointer> probe_candidate(gateway& gateway,
                                                    routing::backend_pointer server)
{
    const core::time_point now = core::elapsed_now();
    if (server->reading && now - server->reading->at < max_reading_age)
    {
        if (auto idle_connection = gateway.backend_connections.take_idle(*server, now - max_reading_age))
        {
            co_return idle_connection;
        }
    }
    // A idle_connection connection may have gone silent or been forgotten by the server, which says nothing
    // about the server itself; only a failure on a new one does.
    routing::on_asked(*server, core::elapsed_now());
    backend_connection_pointer connection = gateway.backend_connections.take_idle(*server, core::time_point());
    const std::string path = health_path(gateway, server->listed.service);
    probe_result result;
    if (connection)
    {
        result = co_await gateway.backend_connections.probe(connection, server->listed.id, path, probe_timeout);
    }
    if (!result.answered && !(connection && connection->timer.expired()))
    {
        connection = co_await gateway.backend_connections.connect(*server);
        if (!connection)
        {
            record_failure(gateway, server, routing::failure_kind::unreachable);
            co_return nullptr;
        }
        result = co_await gateway.backend_connections.probe(connection, server->listed.id, path, probe_timeout);
    }
    if (!result.answered)
    {
        routing::on_silence(*server, core::elapsed_now());
        co_return nullptr;
    }
    if (!result.is_expected_server)
    {
        record_failure(gateway, server, routing::failure_kind::wrong_server);
        co_return nullptr;
    }
    const routing::load_reading reading = result.load.value_or(
        routing::load_reading{.slots = server->listed.slots, .at = core::elapsed_now()});
    routing::on_reading(*server, reading, result.warmup_left);
    co_return connection->reusable ? connection : nullptr;
}

asio::awaitable<void> probe_and_collect(gateway& gateway, std::shared_ptr<selection_probes> probes,
                                   routing::backend_pointer server)
{
    connected_backend probed{.server = server};
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

bool is_free_and_fast(const connected_backend& candidate, core::time_point now)
{
    return candidate.server->reading && !routing::is_full(*candidate.server, now) &&
           candidate.server->reading->slowdown <= max_fast_slowdown;
}

bool has_free_and_fast(const selection_probes& probes, core::time_point now)
{
    return std::any_of(probes.answered.begin(), probes.answered.end(),
                       [&](const connected_backend& candidate) { return is_free_and_fast(candidate, now); });
}

bool has_idle(const selection_probes& probes, core::time_point now)
{
    return std::any_of(probes.answered.begin(), probes.answered.end(),
                       [&](const connected_backend& candidate)
                       { return is_free_and_fast(candidate, now) && candidate.server->reading->running == 0; });
}

// Waits until all candidates have answered, one is idle, or the limit has passed.
asio::awaitable<void> wait_for_probes(selection_probes& probes, core::time_point deadline)
{
    while (probes.pending > 0 && !has_idle(probes, core::elapsed_now()))
    {
        const core::duration left = deadline - core::elapsed_now();
        if (left <= core::duration::zero())
        {
            co_return;
        }
        probes.probe_ended.expires_after(left);
        boost::system::error_code ignored;
        co_await probes.probe_ended.async_wait(redirect_error_to(ignored));
    }
}

// Asks the next candidates. Returns how many there were.
std::size_t start_probes(gateway& gateway, const std::shared_ptr<selection_probes>& probes,
                           const selection_criteria& criteria,
                           std::vector<routing::backend_pointer>& excluded)
{
    const std::vector<routing::backend_pointer> list =
        routing::candidates(gateway.backends, criteria.service, excluded, candidates_per_round,
                            core::elapsed_now(), gateway.random);
    probes->pending += list.size();
    for (const routing::backend_pointer& server : list)
    {
        excluded.push_back(server);
        asio::co_spawn(gateway.io, probe_and_collect(gateway, probes, server), asio::detached);
    }
    return list.size();
}

backend_selection select_best(gateway& gateway, selection_probes& probes, const selection_criteria& criteria)
{
    backend_selection out;
    const core::time_point now = core::elapsed_now();
    std::sort(probes.answered.begin(), probes.answered.end(),
              [&](const connected_backend& a, const connected_backend& b)
              {
                  return routing::expected_cost(gateway.backends, *a.server, now) <
                         routing::expected_cost(gateway.backends, *b.server, now);
              });
    for (connected_backend& candidate : probes.answered)
    {
        const bool has_room = routing::has_room(gateway.backends, *candidate.server, criteria.queueing,
                                            criteria.max_queue_time, now);
        if (!out.selected && has_room && routing::may_send(gateway.backends, *candidate.server, now))
        {
            out.selected = std::move(candidate);
        }
        else
        {
            gateway.backend_connections.put_back(*candidate.server, candidate.connection);
        }
    }
    out.all_full = !out.selected && !probes.answered.empty();
    return out;
}

} // namespace

asio::awaitable<backend_selection> select_backend(gateway& gateway, const selection_criteria& criteria)
{
    const auto probes = std::make_shared<selection_probes>(gateway.io);
    std::vector<routing::backend_pointer> excluded(criteria.excluded.begin(),
                                                      criteria.excluded.end());
    std::size_t probed_count = 0;
    for (int round = 0; round < max_probe_rounds; ++round)
    {
        const std::size_t started = start_probes(gateway, probes, criteria, excluded);
        probed_count += started;
        if (started == 0)
        {
            break;
        }
        co_await wait_for_probes(*probes,
                                  std::min(criteria.deadline, core::elapsed_now() + selection_timeout));
        if (has_free_and_fast(*probes, core::elapsed_now()))
        {
            break;
        }
    }
    probes->decided = true;
    backend_selection out = select_best(gateway, *probes, criteria);
    out.candidates = probed_count;
    co_return out;
}

} // namespace zinniaferry::net
