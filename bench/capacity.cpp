// Cost of one decider against the number of servers, accounts, peers, requests and claims, for the
// slopes of docs/CAPACITY.md. Memory is what the allocator handed out; time is processor time, and
// its ratio to the smallest size of the same run is the baseline.
#include "config/printer.hpp"
#include "node/decider.hpp"
#include "support/figure.hpp"

#include <array>
#include <ctime>
#include <functional>
#include <optional>

#include <malloc.h>

namespace
{

using namespace zinniaferry;
using namespace std::chrono_literals;

constexpr std::uint32_t servers_per_service = 8; // 17,000 instances in 2,000 services.
constexpr auto settle_time = 40s; // Quarantine, first leases and first permits are over by then.

struct size
{
    std::uint32_t servers = 80;
    std::uint32_t accounts = 8;
    std::uint32_t peers = 18;
};

double processor_seconds()
{
    std::timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double allocated_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

config::configuration make_configuration(const size& what)
{
    // The decider is its own majority, so that the leases need no answers of peers.
    config::configuration out{.version = 1, .max_vms = 1};
    out.regions = {{.name = "r"}};
    out.data_centres = {{.name = "dc-1", .region = "r"}, {.name = "dc-2", .region = "r"}};
    for (std::uint32_t i = 0; i < what.accounts; ++i)
    {
        const std::string name = "account-" + std::to_string(i);
        out.accounts.push_back(
            {.name = name, .keys = {core::sha256(name)}, .rate = 1e6, .burst = 1e6});
    }
    for (std::uint32_t i = 0; i < what.servers; ++i)
    {
        const std::string service = "service-" + std::to_string(i / servers_per_service);
        if (i % servers_per_service == 0)
        {
            out.services.push_back({.name = service, .slots = 6});
            out.routes.push_back({.prefix = "/" + service, .service = service});
        }
        out.services.back().servers.push_back({.name = "server-" + std::to_string(i),
                                               .data_centre = i % 2 == 0 ? "dc-1" : "dc-2",
                                               .address = "10.0.0.1:" + std::to_string(1024 + i)});
    }
    return out;
}

/// A decider whose peers are silent but listed and whose servers answer at once.
struct subject
{
    std::unique_ptr<node::decider> decider;
    core::time_point now{1h};
    node::request_id next_id = 1;

    void answer(const node::action_list& actions)
    {
        for (const node::action& action : actions)
        {
            if (const auto* sent = std::get_if<node::dispatch>(&action))
            {
                node::bytes_leaving(*decider, sent->request, now);
                answer(
                    node::attempt_ended(*decider, sent->request,
                                        {.end = node::attempt_end::answered,
                                         .status = 200,
                                         .load_report = "inflight=0;queue=0;slots=6;state=serving"},
                                        now));
            }
            else if (const auto* probe = std::get_if<node::send_probe>(&action))
            {
                answer(node::probe_ended(*decider, probe->server,
                                         "inflight=0;queue=0;slots=6;state=serving", 1ms, now));
            }
        }
    }
    void tick()
    {
        now += node::tick_interval;
        answer(node::tick(*decider, {}, now));
    }
    void request()
    {
        answer(node::start_request(*decider, next_id++,
                                   {.path = "/service-0", .presented_key = "account-0"}, now));
    }
};

subject make_subject(const size& what)
{
    subject out;
    out.decider = node::make_decider({.self = {"vm-0", 1}}, out.now, {});
    std::vector<node::listed_vm> list;
    for (std::uint32_t i = 1; i <= what.peers; ++i)
    {
        list.push_back({.name = "vm-" + std::to_string(i), .data_centre = "dc-1"});
    }
    node::set_vm_list(*out.decider, list, out.now);
    out.answer(
        node::service_replied(*out.decider, config::print(make_configuration(what)), out.now));
    return out;
}

// Every peer grants leases and shows signs of life, as a fleet without faults does.
void let_peers_answer(subject& subject, std::uint32_t peers)
{
    const fleet::config_version& current = *fleet::in_force(subject.decider->spread);
    for (std::uint32_t i = 1; i <= peers; ++i)
    {
        const core::process_id from{"vm-" + std::to_string(i), i};
        subject.answer(
            node::handle_message(*subject.decider,
                                 {from, fleet::heartbeat{.config_version = current.version,
                                                         .config_digest = current.digest,
                                                         .service_age = 0s}},
                                 subject.now));
    }
}

void settle(subject& subject, std::uint32_t peers)
{
    const core::time_point end = subject.now + settle_time;
    while (subject.now < end)
    {
        let_peers_answer(subject, peers);
        node::service_unchanged(*subject.decider, subject.now);
        for (int i = 0; i < 100; ++i)
        {
            subject.tick();
        }
    }
}

double seconds_per_call(std::size_t count, const std::function<void()>& call)
{
    const double begun = processor_seconds();
    for (std::size_t i = 0; i < count; ++i)
    {
        call();
    }
    return (processor_seconds() - begun) / static_cast<double>(count);
}

struct cost
{
    double bytes = 0.0;
    double tick_core_percent = 0.0; ///< Ticks at their interval, no requests, of one core.
    double heartbeat_us = 0.0;
    double request_us = 0.0; ///< All decisions of one answered request.
    bool all_answered = false;
};

cost measure(const size& what)
{
    constexpr std::size_t ticks = 2000;
    constexpr std::size_t heartbeats = 5000;
    constexpr std::size_t requests = 20000;
    const double before = allocated_bytes();
    subject subject = make_subject(what);
    settle(subject, what.peers);
    cost out;
    out.bytes = allocated_bytes() - before;
    const double tick = seconds_per_call(ticks, [&] { subject.tick(); });
    out.tick_core_percent = 100.0 * tick / core::to_seconds(node::tick_interval);
    out.heartbeat_us =
        1e6 / what.peers *
        seconds_per_call(heartbeats / what.peers, [&] { let_peers_answer(subject, what.peers); });
    const std::uint64_t answered = subject.decider->counters.answered;
    out.request_us = 1e6 * seconds_per_call(requests,
                                            [&]
                                            {
                                                subject.now += 20us;
                                                subject.request();
                                            });
    out.all_answered = subject.decider->counters.answered - answered == requests;
    return out;
}

void print_costs(const std::string& name, const cost& value, const cost& smallest)
{
    const auto print = [&](const char* what, double figure, double base, const char* unit)
    {
        bench::print({.name = "capacity/" + name + "/" + what,
                      .value = figure,
                      .unit = unit,
                      .baseline = base});
    };
    print("memory", value.bytes / 1e6, smallest.bytes / 1e6, "MB");
    print("ticks", value.tick_core_percent, smallest.tick_core_percent, "% of a core");
    print("heartbeat", value.heartbeat_us, smallest.heartbeat_us, "us");
    print("request", value.request_us, smallest.request_us, "us");
}

// Returns whether every request was answered; a cost of refusals would say nothing.
template <std::size_t count>
bool run_sizes(const char* dimension, const std::array<std::uint32_t, count>& values,
               std::uint32_t size::*member)
{
    bool valid = true;
    std::optional<cost> smallest;
    for (const std::uint32_t value : values)
    {
        size what;
        what.*member = value;
        const cost measured = measure(what);
        smallest = smallest.value_or(measured);
        print_costs(std::string(dimension) + "_" + std::to_string(value), measured, *smallest);
        valid = valid && measured.all_answered;
    }
    return valid;
}

void measure_claims()
{
    constexpr std::array<std::size_t, 3> sizes{1000, 10000, 100000};
    core::random_generator random;
    for (const std::size_t count : sizes)
    {
        const double before = allocated_bytes();
        fleet::claims claims = fleet::make_claims({.self = {"vm-0", 1}}, core::time_point(1h), {});
        const core::time_point now = core::time_point(1h) + 200s;
        fleet::tick(claims, core::unix_time(200s), now,
                    *std::make_unique<core::random_generator>());
        const double seconds =
            seconds_per_call(count,
                             [&, id = std::uint64_t{0}]() mutable
                             {
                                 ++id;
                                 const fleet::claim_key key =
                                     fleet::make_claim_key("a", std::to_string(id));
                                 fleet::handle(claims, {"vm-1", 1},
                                               fleet::claim_request{.claim_id = id,
                                                                    .key_hash = key.first,
                                                                    .key_hash2 = key.second,
                                                                    .max_vms = 20},
                                               now);
                             });
        const std::string name = "capacity/claims_" + std::to_string(count);
        bench::print({.name = name + "/memory",
                      .value = (allocated_bytes() - before) / static_cast<double>(count),
                      .unit = "bytes per record"});
        bench::print({.name = name + "/vote", .value = seconds * 1e6, .unit = "us"});
    }
}

} // namespace

int main()
{
    const bool servers =
        run_sizes("servers", std::array<std::uint32_t, 4>{80, 800, 4000, 8000}, &size::servers);
    const bool accounts =
        run_sizes("accounts", std::array<std::uint32_t, 3>{8, 80, 800}, &size::accounts);
    const bool peers =
        run_sizes("peers", std::array<std::uint32_t, 4>{18, 47, 94, 188}, &size::peers);
    measure_claims();
    return servers && accounts && peers ? 0 : 1;
}
