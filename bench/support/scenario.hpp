/// What a run in virtual time is given and what it gives back.
#pragma once

#include "backend_model.hpp"
#include "config/model.hpp"
#include "request/outcome.hpp"
#include "routing/admission_queue.hpp"
#include "routing/baselines.hpp"
#include "routing/cold_permits.hpp"
#include "routing/probe_budget.hpp"
#include "routing/selection.hpp"

#include <optional>
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

inline std::uint32_t centre_of(const scenario& plan, std::uint32_t server)
{
    return server % plan.data_centres;
}

/// Returns the requests a second that callers send, without repeats.
inline double offered(const scenario& plan, time_point now)
{
    const double capacity = plan.servers * plan.slots * mean_speed() / plan.mean_work;
    return capacity * (contains(plan.overload, now) ? plan.overload_load : plan.load);
}

inline config::request_class draw_class(const scenario& plan, core::random_generator& random)
{
    const double draw = core::uniform(random);
    return draw < plan.order_part                      ? config::request_class::order
           : draw < plan.order_part + plan.lookup_part ? config::request_class::lookup
                                                       : config::request_class::browse;
}

/// Returns the configuration that the daemons of the scenario start with.
inline config::configuration make_configuration(const scenario& plan)
{
    config::configuration out;
    out.version = 1;
    for (std::uint32_t i = 0; i < plan.data_centres; ++i)
    {
        out.data_centres.push_back({.name = "dc" + std::to_string(i), .region = "r"});
    }
    config::service service{.name = "service", .slots = plan.slots};
    for (std::uint32_t i = 0; i < plan.servers; ++i)
    {
        service.servers.push_back({.name = "s" + std::to_string(i),
                                   .data_centre = "dc" + std::to_string(centre_of(plan, i)),
                                   .address = "10.0.0." + std::to_string(i)});
    }
    out.services.push_back(service);
    return out;
}

inline void configure(daemon_model& daemon, const scenario& plan,
                      const config::configuration& published, time_point now)
{
    routing::apply_configuration(daemon.table, published, now);
    routing::apply_configuration(daemon.weights, published, now);
    routing::apply_configuration(daemon.permits, published, now);
    routing::apply_configuration(daemon.probes, published, now);
    if (plan.admission)
    {
        routing::set_fair_share(daemon.queue, plan.servers * plan.slots, published.max_vms);
    }
}

/// Returns a daemon that knows every server as serving.
inline daemon_model make_daemon(const scenario& plan, const config::configuration& published,
                                std::uint32_t index)
{
    daemon_model out;
    const std::string name = "vm" + std::to_string(index);
    out.data_centre = index % plan.data_centres;
    out.table = routing::make_server_table({.self_vm = name});
    out.weights = routing::make_data_centre_weights({});
    out.queue = routing::make_admission_queue(
        plan.admission
            ? routing::admission_options{}
            : routing::admission_options{
                  .capacity = 100000, .initial_limit = 1e5, .min_limit = 1e5, .max_limit = 1e5});
    out.permits = routing::make_cold_permits({.self = {.vm = name, .incarnation = index + 1}});
    out.probes = routing::make_probe_budget({});
    out.retries = request::make_retry_budget({});
    constexpr time_point now{};
    configure(out, plan, published, now);
    for (routing::server_index s = 0; s < plan.servers; ++s)
    {
        for (std::uint32_t i = 0; i < out.table.options.warm_answers; ++i)
        {
            routing::on_sent(out.table, s, now);
            routing::on_answered(out.table, s,
                                 {.latency = core::from_seconds(plan.mean_work),
                                  .report = routing::load_report{.slots = plan.slots}},
                                 now);
        }
    }
    return out;
}

} // namespace zinniaferry::bench
