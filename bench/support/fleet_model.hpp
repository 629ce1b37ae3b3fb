/// A fleet of daemons in virtual time in front of one service, with the real decision code.
#pragma once

#include "backend_model.hpp"
#include "config/model.hpp"
#include "request/outcome.hpp"
#include "routing/admission_queue.hpp"
#include "routing/baselines.hpp"
#include "routing/cold_permits.hpp"
#include "routing/probe_budget.hpp"
#include "routing/selection.hpp"

#include <array>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace zinniaferry::bench
{

using core::duration;
using core::time_point;

/// A span of virtual time since the start.
struct window
{
    duration from{};
    duration to{};
};

inline bool contains(const window& span, time_point now)
{
    return now.time_since_epoch() >= span.from && now.time_since_epoch() < span.to;
}

struct scenario
{
    std::uint32_t servers = 8;
    std::uint32_t slots = 2;
    std::uint32_t vms = 18;
    std::uint32_t data_centres = 4;
    duration between_centres = std::chrono::microseconds(1500); ///< One way.
    double mean_work = 0.005;                                   ///< Seconds at full speed.
    double load = 0.7;                                          ///< Part of the capacity.
    double order_part = 0.3;
    double lookup_part = 0.4;
    duration timeout = std::chrono::milliseconds(500);
    duration length = std::chrono::seconds(30);
    window overload; ///< Time in which `overload_load` is offered.
    double overload_load = 2.0;
    std::uint32_t caller_retries = 0; ///< Times that a caller repeats a failed request.
    window slow;                      ///< Server 0 runs at a tenth of its speed.
    window fail_fast;                 ///< Server 1 answers each request with an error at once.
    window centre_out;                ///< Data centre 0 is out.
    std::uint32_t stale_servers = 2;
    std::uint32_t misleading_servers = 1;
    std::optional<routing::baseline> baseline; ///< Nothing for routing::select.
    bool admission = true; ///< False: no queue limit and no adaptive limit, for comparison.
    routing::selection_options selection;
    std::uint64_t seed = 1;
};

struct sent_request
{
    config::request_class priority = config::request_class::lookup;
    std::uint32_t vm = 0;
    routing::server_index server = 0;
    std::uint32_t attempt = 0;
    std::uint32_t repeats_left = 0;
    bool in_flight = false;
    std::uint64_t permit = 0;
    time_point arrived;
    time_point sent;
    request::request_life life;
    std::vector<routing::server_index> avoid;
};

/// Decision state of one daemon.
struct daemon_model
{
    routing::server_table table;
    routing::data_centre_weights weights;
    routing::admission_queue queue;
    routing::cold_permits permits;
    routing::probe_budget probes;
    request::retry_budget retries;
    routing::baseline_state baseline;
    std::uint32_t data_centre = 0;
};

/// One finished request.
struct finished_request
{
    config::request_class priority = config::request_class::lookup;
    time_point arrived;
    duration latency{};
    bool good = false; ///< Answered without an error within the deadline.
};

struct fleet_result
{
    std::vector<finished_request> finished;
    std::vector<time_point> work_at_centre_0; ///< When new work was sent there.
    duration probe_time{};
    duration probe_budget{};
};

/// Runs a scenario. The same scenario gives the same result each time.
class fleet_model
{
public:
    explicit fleet_model(const scenario& plan) : plan_(plan), random_(plan.seed)
    {
        config_ = make_configuration();
        for (std::uint32_t i = 0; i < plan_.servers; ++i)
        {
            backend server;
            server.slots = plan_.slots;
            server.queue_limit = plan_.slots * 16UL;
            const std::uint32_t from_end = plan_.servers - 1 - i;
            server.reports = from_end < plan_.misleading_servers ? report_kind::misleading
                             : from_end < plan_.misleading_servers + plan_.stale_servers
                                 ? report_kind::stale
                                 : report_kind::prompt;
            backends_.push_back(server);
        }
        for (std::uint32_t i = 0; i < plan_.vms; ++i)
        {
            daemons_.push_back(make_daemon(i));
        }
    }

    fleet_result run()
    {
        for (std::uint32_t i = 0; i < plan_.servers; ++i)
        {
            change_noise(i);
        }
        for (std::uint32_t i = 0; i < plan_.vms; ++i)
        {
            at(std::chrono::microseconds(500 * i), [this, i] { tick(i); });
        }
        schedule_windows();
        at(duration::zero(), [this] { arrive(); });
        const time_point end = time_point(plan_.length + plan_.timeout);
        while (!events_.empty() && events_.top().when <= end)
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            const std::function<void()> act = std::move(actions_[next.action]);
            free_actions_.push_back(next.action);
            act();
        }
        for (const daemon_model& daemon : daemons_)
        {
            const routing::probe_totals sum = routing::totals(daemon.probes, now_);
            result_.probe_time += sum.spent;
            result_.probe_budget += sum.earned;
        }
        return std::move(result_);
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::size_t action = 0;
        bool operator>(const event& other) const
        {
            return std::pair(when, order) > std::pair(other.when, other.order);
        }
    };

    void at(duration delay, std::function<void()> act)
    {
        std::size_t place = actions_.size();
        if (free_actions_.empty())
        {
            actions_.push_back(std::move(act));
        }
        else
        {
            place = free_actions_.back();
            free_actions_.pop_back();
            actions_[place] = std::move(act);
        }
        events_.push({.when = now_ + delay, .order = order_++, .action = place});
    }

    config::configuration make_configuration() const
    {
        config::configuration out;
        out.version = 1;
        for (std::uint32_t i = 0; i < plan_.data_centres; ++i)
        {
            out.data_centres.push_back({.name = "dc" + std::to_string(i), .region = "r"});
        }
        config::service service{.name = "service", .slots = plan_.slots};
        for (std::uint32_t i = 0; i < plan_.servers; ++i)
        {
            service.servers.push_back({.name = "s" + std::to_string(i),
                                       .data_centre = "dc" + std::to_string(centre_of(i)),
                                       .address = "10.0.0." + std::to_string(i)});
        }
        out.services.push_back(service);
        return out;
    }

    std::uint32_t centre_of(std::uint32_t server) const { return server % plan_.data_centres; }

    daemon_model make_daemon(std::uint32_t index)
    {
        daemon_model out;
        const std::string name = "vm" + std::to_string(index);
        out.data_centre = index % plan_.data_centres;
        out.table = routing::make_server_table({.self_vm = name});
        out.weights = routing::make_data_centre_weights({});
        out.queue = routing::make_admission_queue(
            plan_.admission ? routing::admission_options{}
                            : routing::admission_options{.capacity = 100000,
                                                         .initial_limit = 1e5,
                                                         .min_limit = 1e5,
                                                         .max_limit = 1e5});
        out.permits = routing::make_cold_permits({.self = {.vm = name, .incarnation = index + 1}});
        out.probes = routing::make_probe_budget({});
        out.retries = request::make_retry_budget({});
        configure(out);
        for (routing::server_index s = 0; s < plan_.servers; ++s)
        {
            for (std::uint32_t i = 0; i < out.table.options.warm_answers; ++i)
            {
                routing::on_sent(out.table, s, now_);
                routing::on_answered(out.table, s,
                                     {.latency = core::from_seconds(plan_.mean_work),
                                      .report = load_of(backends_[s])},
                                     now_);
            }
        }
        return out;
    }

    void configure(daemon_model& daemon)
    {
        routing::apply_configuration(daemon.table, config_, now_);
        routing::apply_configuration(daemon.weights, config_, now_);
        routing::apply_configuration(daemon.permits, config_, now_);
        routing::apply_configuration(daemon.probes, config_, now_);
        if (plan_.admission)
        {
            routing::set_fair_share(daemon.queue, plan_.servers * plan_.slots, config_.max_vms);
        }
    }

    void schedule_windows()
    {
        const auto set_slowdown = [this](double factor)
        {
            advance(backends_[0], now_);
            backends_[0].slowdown = factor;
            reschedule(0);
        };
        at(plan_.slow.from,
           [this, set_slowdown] { set_slowdown(plan_.slow.to > plan_.slow.from ? 0.1 : 1.0); });
        at(plan_.slow.to, [set_slowdown] { set_slowdown(1.0); });
        at(plan_.fail_fast.from,
           [this] { backends_[1].fails_fast = plan_.fail_fast.to > plan_.fail_fast.from; });
        at(plan_.fail_fast.to, [this] { backends_[1].fails_fast = false; });
        if (plan_.centre_out.to > plan_.centre_out.from)
        {
            at(plan_.centre_out.from, [this] { publish(false); });
            at(plan_.centre_out.to, [this] { publish(true); });
        }
    }

    /// The configuration reaches the daemons one after the other within two seconds.
    void publish(bool in_service)
    {
        for (std::uint32_t i = 0; i < plan_.vms; ++i)
        {
            at(std::chrono::seconds(2) * i / plan_.vms,
               [this, i, in_service]
               {
                   config_.data_centres[0].in_service = in_service;
                   configure(daemons_[i]);
               });
        }
    }

    void change_noise(std::uint32_t index)
    {
        backend& server = backends_[index];
        advance(server, now_);
        double draw = core::uniform(random_);
        for (const noise_level& level : noise_levels)
        {
            server.noise = level.speed;
            draw -= level.part;
            if (draw < 0.0)
            {
                break;
            }
        }
        reschedule(index);
        const duration stay =
            noise_min +
            core::from_seconds(core::to_seconds(noise_max - noise_min) * core::uniform(random_));
        at(stay, [this, index] { change_noise(index); });
    }

    void reschedule(std::uint32_t index)
    {
        backend& server = backends_[index];
        const std::uint64_t version = ++server.version;
        const time_point when = next_completion(server);
        if (when != time_point::max())
        {
            at(when - now_, [this, index, version] { complete(index, version); });
        }
    }

    void complete(std::uint32_t index, std::uint64_t version)
    {
        backend& server = backends_[index];
        if (server.version != version)
        {
            return;
        }
        advance(server, now_);
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
        const routing::load_report report = stated_load(backends_[index], now_);
        const std::uint32_t vm = requests_[finished.request].vm;
        at(delay(vm, index),
           [this, finished, how, error, report] { answered(finished, how, error, report); });
    }

    duration delay(std::uint32_t vm, std::uint32_t server) const
    {
        constexpr duration inside = std::chrono::microseconds(100);
        return daemons_[vm].data_centre == centre_of(server) ? inside : plan_.between_centres;
    }

    double offered() const
    {
        const double capacity = plan_.servers * plan_.slots * mean_speed() / plan_.mean_work;
        return capacity * (contains(plan_.overload, now_) ? plan_.overload_load : plan_.load);
    }

    void arrive()
    {
        if (now_.time_since_epoch() >= plan_.length)
        {
            return;
        }
        const double draw = core::uniform(random_);
        const config::request_class priority =
            draw < plan_.order_part                       ? config::request_class::order
            : draw < plan_.order_part + plan_.lookup_part ? config::request_class::lookup
                                                          : config::request_class::browse;
        submit(priority, plan_.caller_retries);
        at(core::from_seconds(-std::log(1.0 - core::uniform(random_)) / offered()),
           [this] { arrive(); });
    }

    void submit(config::request_class priority, std::uint32_t repeats_left)
    {
        const std::uint64_t id = requests_.size();
        const bool idempotent = priority != config::request_class::order;
        sent_request entry;
        entry.priority = priority;
        entry.vm = static_cast<std::uint32_t>(core::uniform_index(random_, plan_.vms));
        entry.repeats_left = repeats_left;
        entry.arrived = now_;
        entry.life = request::make_request_life(idempotent, now_ + plan_.timeout);
        requests_.push_back(entry);
        daemon_model& daemon = daemons_[entry.vm];
        request::on_request(daemon.retries);
        step(id, request::request_event::admit);
        step(id, request::request_event::enqueue);
        at(plan_.timeout, [this, id] { expire(id); });
        wait(id);
        pump(entry.vm);
    }

    request::decision step(std::uint64_t id, request::request_event event)
    {
        sent_request& entry = requests_[id];
        return request::apply(entry.life, event, daemons_[entry.vm].retries, now_);
    }

    void wait(std::uint64_t id)
    {
        sent_request& entry = requests_[id];
        routing::admission_queue& queue = daemons_[entry.vm].queue;
        for (const routing::queued_request& out : routing::enqueue(
                 queue, {.id = id, .priority = entry.priority, .deadline = entry.life.deadline},
                 now_))
        {
            finish(out.id, step(out.id, request::request_event::refuse));
        }
    }

    std::optional<routing::server_index> choose(sent_request& entry)
    {
        daemon_model& daemon = daemons_[entry.vm];
        // Trials of a server that is not known to serve go to requests that may be repeated.
        for (routing::server_index s = 0; entry.life.idempotent && s < plan_.servers; ++s)
        {
            const routing::server& server = daemon.table.servers[s];
            if (!routing::accepts_work(server) ||
                !routing::needs_permit(daemon.table, server, now_) ||
                routing::weight_of(daemon.weights, server.data_centre, now_) <= 0.0)
            {
                continue;
            }
            if (const auto use = routing::use_permit(daemon.permits, server.name, now_))
            {
                entry.permit = use->permit_id;
                return s;
            }
        }
        if (plan_.baseline)
        {
            return routing::select_baseline(*plan_.baseline, daemon.baseline, daemon.table,
                                            daemon.weights, 0, now_, random_);
        }
        return routing::select(daemon.table, daemon.weights, plan_.selection, 0, entry.avoid, now_,
                               random_);
    }

    void pump(std::uint32_t vm)
    {
        daemon_model& daemon = daemons_[vm];
        for (const routing::queued_request& out : routing::take_expired(daemon.queue, now_))
        {
            finish(out.id, step(out.id, request::request_event::refuse));
        }
        while (const auto next = routing::dequeue(daemon.queue, now_))
        {
            const auto server = choose(requests_[next->id]);
            if (!server)
            {
                routing::on_finished(daemon.queue, routing::finish::ignored, {}, now_);
                wait(next->id);
                return;
            }
            dispatch(next->id, *server);
        }
    }

    void dispatch(std::uint64_t id, routing::server_index index)
    {
        sent_request& entry = requests_[id];
        daemon_model& daemon = daemons_[entry.vm];
        step(id, request::request_event::dispatch);
        step(id, request::request_event::bytes_left);
        routing::on_sent(daemon.table, index, now_);
        entry.server = index;
        entry.in_flight = true;
        entry.sent = now_;
        ++entry.attempt;
        duration way = delay(entry.vm, index);
        if (daemon.table.servers[index].in_flight > daemon.table.servers[index].connections)
        {
            constexpr duration connect = std::chrono::milliseconds(1);
            way += connect;
            routing::on_connection_opened(daemon.table, index);
        }
        if (centre_of(index) == 0)
        {
            result_.work_at_centre_0.push_back(now_);
        }
        const task work{
            .request = id, .attempt = entry.attempt, .work = draw_work(plan_.mean_work, random_)};
        at(way, [this, index, work] { receive(index, work); });
    }

    void receive(std::uint32_t index, const task& work)
    {
        backend& server = backends_[index];
        advance(server, now_);
        if (requests_[work.request].attempt != work.attempt || !requests_[work.request].in_flight)
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
        sent_request& entry = requests_[finished.request];
        if (!entry.in_flight || entry.attempt != finished.attempt)
        {
            return;
        }
        daemon_model& daemon = daemons_[entry.vm];
        const duration latency = now_ - entry.sent;
        const bool not_run = how == request::request_event::server_did_not_run;
        routing::on_answered(
            daemon.table, entry.server,
            {.latency = latency, .error = error, .not_run = not_run, .report = report}, now_);
        leave_server(entry, routing::permit_end::finished);
        routing::on_finished(daemon.queue,
                             not_run ? routing::finish::refused
                             : error ? routing::finish::ignored
                                     : routing::finish::answered,
                             latency, now_);
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
            send(entry.vm, routing::return_permit(daemons_[entry.vm].permits, entry.permit, how,
                                                  false, now_));
            entry.permit = 0;
        }
    }

    void expire(std::uint64_t id)
    {
        sent_request& entry = requests_[id];
        const request::decision end = step(id, request::request_event::deadline);
        if (!end.accepted)
        {
            return;
        }
        daemon_model& daemon = daemons_[entry.vm];
        if (entry.in_flight)
        {
            const duration latency = now_ - entry.sent;
            routing::on_failed(daemon.table, entry.server, routing::failure::timeout, latency,
                               now_);
            routing::on_connection_closed(daemon.table, entry.server);
            routing::on_finished(daemon.queue, routing::finish::failed, latency, now_);
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
        backend& server = backends_[index];
        advance(server, now_);
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
        const sent_request& entry = requests_[id];
        const bool good = end.result == request::outcome::answered && !error;
        // A request without a good answer counts as long as its timeout.
        result_.finished.push_back({.priority = entry.priority,
                                    .arrived = entry.arrived,
                                    .latency = good ? now_ - entry.arrived : plan_.timeout,
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
        daemon_model& daemon = daemons_[vm];
        routing::tick(daemon.table, now_);
        send(vm, routing::tick(daemon.permits, now_));
        if (vm == 0)
        {
            constexpr duration lease = std::chrono::seconds(10);
            for (std::uint32_t group = 0; group < config_.pool_groups; ++group)
            {
                routing::set_held_until(daemon.permits, group, now_ + lease, now_);
            }
        }
        if (const auto cold = routing::select_cold(daemon.table, daemon.weights, 0, now_, random_))
        {
            send(vm, routing::request_permit(daemon.permits, daemon.table.servers[*cold].name,
                                             "vm0", now_ + plan_.timeout, now_));
        }
        probe(vm);
        pump(vm);
        at(std::chrono::milliseconds(10), [this, vm] { tick(vm); });
    }

    void probe(std::uint32_t vm)
    {
        daemon_model& daemon = daemons_[vm];
        for (routing::server_index s = 0; s < plan_.servers; ++s)
        {
            const routing::server& server = daemon.table.servers[s];
            if (!routing::wants_probe(daemon.table, server, now_) ||
                !routing::try_start_probe(daemon.probes, server.name, now_))
            {
                continue;
            }
            routing::on_probe_sent(daemon.table, s);
            constexpr double cost = 0.006;
            const duration took = core::from_seconds(cost / speed(backends_[s]));
            const duration limit = daemon.probes.options.probe_timeout;
            at(std::min(took, limit),
               [this, vm, s, took, limit]
               {
                   daemon_model& asker = daemons_[vm];
                   routing::on_probe_finished(asker.probes, asker.table.servers[s].name,
                                              std::min(took, limit), now_);
                   std::optional<routing::load_report> report;
                   if (took <= limit)
                   {
                       report = stated_load(backends_[s], now_);
                   }
                   routing::on_probe_result(asker.table, s, report, now_);
               });
        }
    }

    void send(std::uint32_t from, const std::vector<fleet::outgoing>& messages)
    {
        for (const fleet::outgoing& message : messages)
        {
            at(plan_.between_centres, [this, from, message] { deliver(from, message); });
        }
    }

    void deliver(std::uint32_t from, const fleet::outgoing& message)
    {
        const auto to = static_cast<std::uint32_t>(std::stoul(message.to_vm.substr(2)));
        routing::cold_permits& permits = daemons_[to].permits;
        const core::process_id sender = daemons_[from].permits.options.self;
        if (const auto* ask = std::get_if<fleet::permit_request>(&message.body))
        {
            send(to, routing::handle(permits, sender, *ask, now_));
        }
        else if (const auto* reply = std::get_if<fleet::permit_reply>(&message.body))
        {
            send(to, routing::handle(permits, sender, *reply, now_));
            pump(to);
        }
        else if (const auto* back = std::get_if<fleet::permit_return>(&message.body))
        {
            send(to, routing::handle(permits, sender, *back, now_));
        }
    }

    scenario plan_;
    core::random_generator random_;
    config::configuration config_;
    std::vector<backend> backends_;
    std::vector<daemon_model> daemons_;
    std::vector<sent_request> requests_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::function<void()>> actions_;
    std::vector<std::size_t> free_actions_;
    std::uint64_t order_ = 0;
    time_point now_{};
    fleet_result result_;
};

} // namespace zinniaferry::bench
