/// A fleet of daemons in virtual time in front of one service, with the real decision code.
#pragma once

#include "event_loop.hpp"
#include "scenario.hpp"

namespace zinniaferry::bench
{

/// Runs a scenario. The same scenario gives the same result each time.
class fleet_model
{
public:
    explicit fleet_model(const scenario& wanted) : plan(wanted), generator(wanted.seed)
    {
        published = make_configuration(plan);
        for (std::uint32_t i = 0; i < plan.servers; ++i)
        {
            backend server;
            server.slots = plan.slots;
            server.queue_limit = plan.slots * 16UL;
            const std::uint32_t from_end = plan.servers - 1 - i;
            server.reports = from_end < plan.misleading_servers ? report_kind::misleading
                             : from_end < plan.misleading_servers + plan.stale_servers
                                 ? report_kind::stale
                                 : report_kind::prompt;
            backends.push_back(server);
        }
        for (std::uint32_t i = 0; i < plan.vms; ++i)
        {
            daemons.push_back(make_daemon(plan, published, i));
        }
    }

    fleet_result run()
    {
        for (std::uint32_t i = 0; i < plan.servers; ++i)
        {
            change_noise(i);
        }
        for (std::uint32_t i = 0; i < plan.vms; ++i)
        {
            at(std::chrono::microseconds(500 * i), [this, i] { tick(i); });
        }
        schedule_windows();
        at(duration::zero(), [this] { arrive(); });
        const time_point end = time_point(plan.length + plan.timeout);
        run_until(loop, end);
        for (const daemon_model& daemon : daemons)
        {
            const routing::probe_totals sum = routing::totals(daemon.probes, loop.now);
            result.probe_time += sum.spent;
            result.probe_budget += sum.earned;
        }
        return std::move(result);
    }

private:
    void at(duration delay, std::function<void()> act) { schedule(loop, delay, std::move(act)); }

    void schedule_windows()
    {
        const auto set_slowdown = [this](double factor)
        {
            advance(backends[0], loop.now);
            backends[0].slowdown = factor;
            reschedule(0);
        };
        at(plan.slow.from,
           [this, set_slowdown] { set_slowdown(plan.slow.to > plan.slow.from ? 0.1 : 1.0); });
        at(plan.slow.to, [set_slowdown] { set_slowdown(1.0); });
        at(plan.fail_fast.from,
           [this] { backends[1].fails_fast = plan.fail_fast.to > plan.fail_fast.from; });
        at(plan.fail_fast.to, [this] { backends[1].fails_fast = false; });
        if (plan.centre_out.to > plan.centre_out.from)
        {
            at(plan.centre_out.from, [this] { publish(false); });
            at(plan.centre_out.to, [this] { publish(true); });
        }
    }

    /// The configuration reaches the daemons one after the other within two seconds.
    void publish(bool in_service)
    {
        for (std::uint32_t i = 0; i < plan.vms; ++i)
        {
            at(std::chrono::seconds(2) * i / plan.vms,
               [this, i, in_service]
               {
                   published.data_centres[0].in_service = in_service;
                   configure(daemons[i], plan, published, loop.now);
               });
        }
    }

    void change_noise(std::uint32_t index)
    {
        backend& server = backends[index];
        advance(server, loop.now);
        server.noise = draw_noise(generator);
        reschedule(index);
        const duration stay = draw_noise_length(generator);
        at(stay, [this, index] { change_noise(index); });
    }

    void reschedule(std::uint32_t index)
    {
        backend& server = backends[index];
        const std::uint64_t version = ++server.version;
        const time_point when = next_completion(server);
        if (when != time_point::max())
        {
            at(when - loop.now, [this, index, version] { complete(index, version); });
        }
    }

    void complete(std::uint32_t index, std::uint64_t version)
    {
        backend& server = backends[index];
        if (server.version != version)
        {
            return;
        }
        advance(server, loop.now);
        const auto done =
            std::min_element(server.running.begin(), server.running.end(),
                             [](const task& a, const task& b) { return a.work < b.work; });
        const task finished = *done;
        server.running.erase(done);
        fill_slots(server);
        reschedule(index);
        reply(index, finished, request::request_event::answer, false);
    }

    void reply(std::uint32_t index, const task& finished, request::request_event how, bool error)
    {
        const routing::load_report report = stated_load(backends[index], loop.now);
        const std::uint32_t vm = requests[finished.request].vm;
        at(delay(vm, index),
           [this, finished, how, error, report] { answered(finished, how, error, report); });
    }

    duration delay(std::uint32_t vm, std::uint32_t server) const
    {
        constexpr duration inside = std::chrono::microseconds(100);
        return daemons[vm].data_centre == centre_of(plan, server) ? inside : plan.between_centres;
    }

    void arrive()
    {
        if (loop.now.time_since_epoch() >= plan.length)
        {
            return;
        }
        submit(draw_class(plan, generator), plan.caller_retries);
        at(core::from_seconds(-std::log(1.0 - core::uniform(generator)) / offered(plan, loop.now)),
           [this] { arrive(); });
    }

    void submit(config::request_class priority, std::uint32_t repeats_left)
    {
        const std::uint64_t id = requests.size();
        const bool idempotent = priority != config::request_class::order;
        sent_request entry;
        entry.priority = priority;
        entry.vm = static_cast<std::uint32_t>(core::uniform_index(generator, plan.vms));
        entry.repeats_left = repeats_left;
        entry.arrived = loop.now;
        entry.life = request::make_request_life(idempotent, loop.now + plan.timeout);
        requests.push_back(entry);
        daemon_model& daemon = daemons[entry.vm];
        request::on_request(daemon.retries);
        step(id, request::request_event::admit);
        step(id, request::request_event::enqueue);
        at(plan.timeout, [this, id] { expire(id); });
        wait(id);
        pump(entry.vm);
    }

    request::decision step(std::uint64_t id, request::request_event event)
    {
        sent_request& entry = requests[id];
        return request::apply(entry.life, event, daemons[entry.vm].retries, loop.now);
    }

    void wait(std::uint64_t id)
    {
        sent_request& entry = requests[id];
        routing::admission_queue& queue = daemons[entry.vm].queue;
        for (const routing::queued_request& out : routing::enqueue(
                 queue, {.id = id, .priority = entry.priority, .deadline = entry.life.deadline},
                 loop.now))
        {
            finish(out.id, step(out.id, request::request_event::refuse));
        }
    }

    std::optional<routing::server_index> choose(sent_request& entry)
    {
        daemon_model& daemon = daemons[entry.vm];
        // Trials of a server that is not known to serve go to requests that may be repeated.
        for (routing::server_index s = 0; entry.life.idempotent && s < plan.servers; ++s)
        {
            const routing::server& server = daemon.table.servers[s];
            if (!routing::accepts_work(server) ||
                !routing::needs_permit(daemon.table, server, loop.now) ||
                routing::weight_of(daemon.weights, server.data_centre, loop.now) <= 0.0)
            {
                continue;
            }
            if (const auto use = routing::use_permit(daemon.permits, server.name, loop.now))
            {
                entry.permit = use->permit_id;
                return s;
            }
        }
        if (plan.baseline)
        {
            return routing::select_baseline(*plan.baseline, daemon.baseline, daemon.table,
                                            daemon.weights, 0, loop.now, generator);
        }
        return routing::select(daemon.table, daemon.weights, plan.selection, 0, entry.avoid,
                               loop.now, generator);
    }

    void pump(std::uint32_t vm)
    {
        daemon_model& daemon = daemons[vm];
        for (const routing::queued_request& out : routing::take_expired(daemon.queue, loop.now))
        {
            finish(out.id, step(out.id, request::request_event::refuse));
        }
        while (const auto next = routing::dequeue(daemon.queue, loop.now))
        {
            const auto server = choose(requests[next->id]);
            if (!server)
            {
                routing::on_finished(daemon.queue, routing::finish::ignored, {}, loop.now);
                wait(next->id);
                return;
            }
            dispatch(next->id, *server);
        }
    }

    void dispatch(std::uint64_t id, routing::server_index index)
    {
        sent_request& entry = requests[id];
        daemon_model& daemon = daemons[entry.vm];
        step(id, request::request_event::dispatch);
        step(id, request::request_event::bytes_left);
        routing::on_sent(daemon.table, index, loop.now);
        entry.server = index;
        entry.in_flight = true;
        entry.sent = loop.now;
        ++entry.attempt;
        duration way = delay(entry.vm, index);
        if (daemon.table.servers[index].in_flight > daemon.table.servers[index].connections)
        {
            constexpr duration connect = std::chrono::milliseconds(1);
            way += connect;
            routing::on_connection_opened(daemon.table, index);
        }
        if (centre_of(plan, index) == 0)
        {
            result.work_at_centre_0.push_back(loop.now);
        }
        const task work{
            .request = id, .attempt = entry.attempt, .work = draw_work(plan.mean_work, generator)};
        at(way, [this, index, work] { receive(index, work); });
    }

    void receive(std::uint32_t index, const task& work)
    {
        backend& server = backends[index];
        advance(server, loop.now);
        if (requests[work.request].attempt != work.attempt || !requests[work.request].in_flight)
        {
            return;
        }
        if (server.fails_fast)
        {
            reply(index, work, request::request_event::answer, true);
        }
        else if (server.running.size() >= server.slots && server.queue.size() >= server.queue_limit)
        {
            reply(index, work, request::request_event::server_did_not_run, false);
        }
        else
        {
            server.queue.push_back(work);
            fill_slots(server);
            reschedule(index);
        }
    }

    void answered(const task& finished, request::request_event how, bool error,
                  const routing::load_report& report)
    {
        sent_request& entry = requests[finished.request];
        if (!entry.in_flight || entry.attempt != finished.attempt)
        {
            return;
        }
        daemon_model& daemon = daemons[entry.vm];
        const duration latency = loop.now - entry.sent;
        const bool not_run = how == request::request_event::server_did_not_run;
        routing::on_answered(
            daemon.table, entry.server,
            {.latency = latency, .error = error, .not_run = not_run, .report = report}, loop.now);
        leave_server(entry, routing::permit_end::finished);
        routing::on_finished(daemon.queue,
                             not_run ? routing::finish::refused
                             : error ? routing::finish::ignored
                                     : routing::finish::answered,
                             latency, loop.now);
        // An error answer of an idempotent request is repeated like a lost one.
        const bool repeat = error && entry.life.idempotent;
        entry.avoid.push_back(entry.server);
        const request::decision next =
            step(finished.request, repeat ? request::request_event::lost : how);
        if (next.send_again)
        {
            wait(finished.request);
        }
        else
        {
            finish(finished.request, next, error);
        }
        pump(entry.vm);
    }

    void leave_server(sent_request& entry, routing::permit_end how)
    {
        entry.in_flight = false;
        if (entry.permit != 0)
        {
            send(entry.vm, routing::return_permit(daemons[entry.vm].permits, entry.permit, how,
                                                  false, loop.now));
            entry.permit = 0;
        }
    }

    void expire(std::uint64_t id)
    {
        sent_request& entry = requests[id];
        const request::decision end = step(id, request::request_event::deadline);
        if (!end.accepted)
        {
            return;
        }
        daemon_model& daemon = daemons[entry.vm];
        if (entry.in_flight)
        {
            const duration latency = loop.now - entry.sent;
            routing::on_failed(daemon.table, entry.server, routing::failure::timeout, latency,
                               loop.now);
            routing::on_connection_closed(daemon.table, entry.server);
            routing::on_finished(daemon.queue, routing::finish::failed, latency, loop.now);
            leave_server(entry, routing::permit_end::unknown);
            at(delay(entry.vm, entry.server),
               [this, id, index = entry.server] { cancel(index, id); });
        }
        else
        {
            routing::remove(
                daemon.queue,
                {.id = id, .priority = entry.priority, .deadline = entry.life.deadline});
        }
        finish(id, end);
        pump(entry.vm);
    }

    void cancel(std::uint32_t index, std::uint64_t id)
    {
        backend& server = backends[index];
        advance(server, loop.now);
        const auto same = [id](const task& entry)
        {
            return entry.request == id;
        };
        std::erase_if(server.queue, same);
        std::erase_if(server.running, same);
        fill_slots(server);
        reschedule(index);
    }

    void finish(std::uint64_t id, const request::decision& end, bool error = false)
    {
        const sent_request& entry = requests[id];
        const bool good = end.result == request::outcome::answered && !error;
        // A request without a good answer counts as long as its timeout.
        result.finished.push_back({.priority = entry.priority,
                                   .arrived = entry.arrived,
                                   .latency = good ? loop.now - entry.arrived : plan.timeout,
                                   .good = good});
        const bool may_repeat = entry.life.idempotent || end.result == request::outcome::not_run;
        if (!good && may_repeat && entry.repeats_left > 0)
        {
            const config::request_class priority = entry.priority;
            const std::uint32_t left = entry.repeats_left - 1;
            constexpr duration pause = std::chrono::milliseconds(100);
            at(pause, [this, priority, left] { submit(priority, left); });
        }
    }

    void tick(std::uint32_t vm)
    {
        daemon_model& daemon = daemons[vm];
        routing::tick(daemon.table, loop.now);
        send(vm, routing::tick(daemon.permits, loop.now));
        if (vm == 0)
        {
            constexpr duration lease = std::chrono::seconds(10);
            for (std::uint32_t group = 0; group < published.pool_groups; ++group)
            {
                routing::set_held_until(daemon.permits, group, loop.now + lease, loop.now);
            }
        }
        if (const auto cold =
                routing::select_cold(daemon.table, daemon.weights, 0, loop.now, generator))
        {
            send(vm, routing::request_permit(daemon.permits, daemon.table.servers[*cold].name,
                                             "vm0", loop.now + plan.timeout, loop.now));
        }
        probe(vm);
        pump(vm);
        at(std::chrono::milliseconds(10), [this, vm] { tick(vm); });
    }

    void probe(std::uint32_t vm)
    {
        daemon_model& daemon = daemons[vm];
        for (routing::server_index s = 0; s < plan.servers; ++s)
        {
            const routing::server& server = daemon.table.servers[s];
            if (!routing::wants_probe(daemon.table, server, loop.now) ||
                !routing::try_start_probe(daemon.probes, server.name, loop.now))
            {
                continue;
            }
            routing::on_probe_sent(daemon.table, s);
            constexpr double cost = 0.006;
            const duration took = core::from_seconds(cost / speed(backends[s]));
            const duration limit = daemon.probes.options.probe_timeout;
            at(std::min(took, limit),
               [this, vm, s, took, limit]
               {
                   daemon_model& asker = daemons[vm];
                   routing::on_probe_finished(asker.probes, asker.table.servers[s].name,
                                              std::min(took, limit), loop.now);
                   std::optional<routing::load_report> report;
                   if (took <= limit)
                   {
                       report = stated_load(backends[s], loop.now);
                   }
                   routing::on_probe_result(asker.table, s, report, loop.now);
               });
        }
    }

    void send(std::uint32_t from, const std::vector<fleet::outgoing>& messages)
    {
        for (const fleet::outgoing& message : messages)
        {
            at(plan.between_centres, [this, from, message] { deliver(from, message); });
        }
    }

    void deliver(std::uint32_t from, const fleet::outgoing& message)
    {
        const auto to = static_cast<std::uint32_t>(std::stoul(message.to_vm.substr(2)));
        routing::cold_permits& permits = daemons[to].permits;
        const core::process_id sender = daemons[from].permits.options.self;
        if (const auto* ask = std::get_if<fleet::permit_request>(&message.body))
        {
            send(to, routing::handle(permits, sender, *ask, loop.now));
        }
        else if (const auto* reply = std::get_if<fleet::permit_reply>(&message.body))
        {
            send(to, routing::handle(permits, sender, *reply, loop.now));
            pump(to);
        }
        else if (const auto* back = std::get_if<fleet::permit_return>(&message.body))
        {
            send(to, routing::handle(permits, sender, *back, loop.now));
        }
    }

    scenario plan;
    core::random_generator generator;
    config::configuration published;
    std::vector<backend> backends;
    std::vector<daemon_model> daemons;
    std::vector<sent_request> requests;
    event_loop loop;
    fleet_result result;
};

} // namespace zinniaferry::bench
