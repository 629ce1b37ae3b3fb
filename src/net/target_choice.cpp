#include "net/target_choice.hpp"

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
constexpr std::size_t asked_candidates = 2;
/// Rounds in which candidates are asked.
constexpr int max_rounds = 2;
/// A server whose work takes longer than this factor at the moment is passed over if another is
/// not.
constexpr double slow_factor = 1.5;
/// A choice waits no longer for candidates. A server that is full answers when a slot is free.
constexpr core::duration choice_limit = std::chrono::milliseconds(40);
/// A server that told its load this recently is not asked again; an answer to a request tells it
/// too.
constexpr core::duration recent_reading = std::chrono::milliseconds(15);
/// A question that is open for longer is given up with its connection.
constexpr core::duration answer_limit = std::chrono::milliseconds(1000);

/// The measurements of one choice. It outlives the choice while slow candidates are still asked.
struct measurements
{
    explicit measurements(asio::io_context& io) : done(io) {}

    asio::steady_timer done;
    std::vector<target> answered;
    std::size_t pending = 0;
    bool closed = false; ///< The choice is made; later answers only update what is known.
};

void note_unusable(gateway& gateway, const routing::backend_pointer& server,
                   routing::failure_kind kind)
{
    routing::on_sent(*server);
    routing::on_failed(*server, kind, core::boot_clock_now());
    gateway.log.write("servers", "unusable",
                      {{"server", server->listed.id},
                       {"service", server->listed.service},
                       {"why", routing::to_string(kind)}});
}

// Returns the connection when the server answered on it and the request may take it.
asio::awaitable<backend_connection_pointer> measure(gateway& gateway,
                                                    routing::backend_pointer server)
{
    const core::time_point now = core::boot_clock_now();
    if (server->reading && now - server->reading->received_at < recent_reading)
    {
        if (auto kept = gateway.pool.take_idle(*server, now - recent_reading))
        {
            co_return kept;
        }
    }
    // A kept connection may have gone silent or been forgotten by the server, which says nothing
    // about the server itself; only a failure on a new one does.
    routing::on_load_probe_sent(*server, core::boot_clock_now());
    backend_connection_pointer connection = gateway.pool.take_idle(*server, core::time_point());
    const std::string path = health_path(gateway, server->listed.service);
    probe_result result;
    if (connection)
    {
        result = co_await gateway.pool.probe(connection, server->listed.id, path, answer_limit);
    }
    if (!result.answered && !(connection && connection->timer.expired()))
    {
        connection = co_await gateway.pool.connect(*server);
        if (!connection)
        {
            note_unusable(gateway, server, routing::failure_kind::unreachable);
            co_return nullptr;
        }
        result = co_await gateway.pool.probe(connection, server->listed.id, path, answer_limit);
    }
    if (!result.answered)
    {
        routing::on_load_probe_unanswered(*server, core::boot_clock_now());
        co_return nullptr;
    }
    if (!result.right_server)
    {
        note_unusable(gateway, server, routing::failure_kind::wrong_server);
        co_return nullptr;
    }
    const routing::load_reading reading = result.load.value_or(routing::load_reading{
        .slots = server->listed.slots, .received_at = core::boot_clock_now()});
    routing::on_load_reading(*server, reading, result.warmup_left);
    co_return connection->reusable ? connection : nullptr;
}

asio::awaitable<void> measure_into(gateway& gateway, std::shared_ptr<measurements> all,
                                   routing::backend_pointer server)
{
    target measured{.server = server};
    measured.connection = co_await measure(gateway, server);
    --all->pending;
    if (measured.connection && all->closed)
    {
        gateway.pool.put_back(*server, measured.connection);
    }
    else if (measured.connection)
    {
        all->answered.push_back(std::move(measured));
    }
    all->done.cancel();
}

bool is_good(const target& entry, core::time_point now)
{
    return entry.server->reading && !routing::is_full(*entry.server, now) &&
           entry.server->reading->slowdown <= slow_factor;
}

bool has_good_answer(const measurements& all, core::time_point now)
{
    return std::any_of(all.answered.begin(), all.answered.end(),
                       [&](const target& entry) { return is_good(entry, now); });
}

bool has_idle_answer(const measurements& all, core::time_point now)
{
    return std::any_of(all.answered.begin(), all.answered.end(),
                       [&](const target& entry)
                       { return is_good(entry, now) && entry.server->reading->running == 0; });
}

// Waits until all candidates have answered, one is idle, or the limit has passed.
asio::awaitable<void> wait_for_answers(measurements& all, core::time_point limit)
{
    while (all.pending > 0 && !has_idle_answer(all, core::boot_clock_now()))
    {
        const core::duration left = limit - core::boot_clock_now();
        if (left <= core::duration::zero())
        {
            co_return;
        }
        all.done.expires_after(left);
        boost::system::error_code ignored;
        co_await all.done.async_wait(into(ignored));
    }
}

// Asks the next candidates. Returns how many there were.
std::size_t ask_candidates(gateway& gateway, const std::shared_ptr<measurements>& all,
                           const target_request& request,
                           std::vector<routing::backend_pointer>& passed_over)
{
    const std::vector<routing::backend_pointer> list =
        routing::select_candidates(gateway.backends, request.service, passed_over, asked_candidates,
                                   core::boot_clock_now(), gateway.random);
    all->pending += list.size();
    for (const routing::backend_pointer& server : list)
    {
        passed_over.push_back(server);
        asio::co_spawn(gateway.io, measure_into(gateway, all, server), asio::detached);
    }
    return list.size();
}

target_choice take_best(gateway& gateway, measurements& all, const target_request& request)
{
    target_choice out;
    const core::time_point now = core::boot_clock_now();
    std::sort(all.answered.begin(), all.answered.end(),
              [&](const target& a, const target& b)
              {
                  return routing::expected_cost(gateway.backends, *a.server, now) <
                         routing::expected_cost(gateway.backends, *b.server, now);
              });
    for (target& entry : all.answered)
    {
        const bool room = routing::has_capacity(gateway.backends, *entry.server, request.queueing,
                                                request.patience, now);
        if (!out.chosen && room && routing::is_eligible(gateway.backends, *entry.server, now))
        {
            out.chosen = std::move(entry);
        }
        else
        {
            gateway.pool.put_back(*entry.server, entry.connection);
        }
    }
    out.all_full = !out.chosen && !all.answered.empty();
    return out;
}

} // namespace

asio::awaitable<target_choice> choose_target(gateway& gateway, const target_request& request)
{
    const auto all = std::make_shared<measurements>(gateway.io);
    std::vector<routing::backend_pointer> passed_over(request.excluded.begin(),
                                                      request.excluded.end());
    std::size_t asked = 0;
    for (int round = 0; round < max_rounds; ++round)
    {
        const std::size_t next = ask_candidates(gateway, all, request, passed_over);
        asked += next;
        if (next == 0)
        {
            break;
        }
        co_await wait_for_answers(
            *all, std::min(request.deadline, core::boot_clock_now() + choice_limit));
        if (has_good_answer(*all, core::boot_clock_now()))
        {
            break;
        }
    }
    all->closed = true;
    target_choice out = take_best(gateway, *all, request);
    out.candidates = asked;
    co_return out;
}

} // namespace zinniaferry::net
