/// A fleet of real deciders in virtual time: the clock, the network between them, the published
/// configuration and VM list, and the callers' requests on their way through. The faults are set
/// by `faults.hpp`, the checks are in `observer.hpp`.
#pragma once

#include "history/backend.hpp"
#include "node/decider.hpp"

#include <deque>
#include <map>
#include <set>

namespace zinniaferry::history
{

struct observer;

/// Deliberate faults, which the checks must catch.
enum class injection
{
    none,
    double_grant,   ///< Loans arrive with twice what the lender gave up.
    blind_retry,    ///< A lost order is sent to another server.
    version_revert, ///< A process goes back to an older configuration.
    stale_key       ///< A process keeps checking keys against its first configuration.
};

/// One request of a caller.
struct call
{
    std::string path;
    std::string account; ///< Empty on an open route.
    std::string key;     ///< As presented.
    std::string idempotency_key;
    bool idempotent = true;
    bool labelled = false;
    core::time_point first_sent{};
    std::size_t slot = 0;
    std::uint64_t incarnation = 0;
    bool open = true;
    std::uint32_t ends = 0;
    std::uint32_t executions = 0;
    bool refused_not_run = false;
    bool answered = false;
    attempt_pointer current;        ///< The newest attempt.
    std::uint32_t repeats_left = 0; ///< Times that the caller repeats it after an unknown outcome.
};

/// What a process knows of a server, from what the simulation delivered to it.
struct server_evidence
{
    bool present = false;
    bool stated_cold = false;
    core::time_point at{};
    std::uint32_t connections = 0;
    std::uint32_t idle = 0;
    std::uint64_t server_run = 0; ///< That the connections were opened to.
};

struct process
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::unique_ptr<node::decider> node;
    bool running = false;
    bool ready = false;
    bool stopping = false;
    bool taking_calls = false; ///< The platform's balancer sends callers here.
    core::time_point started{};
    core::time_point paused_until{};
    core::duration clock_offset{}; ///< Of its steady clock against virtual time.
    core::duration wall_offset{};
    std::vector<std::function<void()>> held; ///< What waits for the end of a pause.
    std::set<std::uint64_t> open_calls;
    std::map<std::string, server_evidence> evidence;
    std::uint64_t boot_version = 0; ///< That a majority had accepted when it started.
    std::map<std::string, std::uint64_t> admitted; ///< Admissions of each account seen so far.
    fleet::key_index first_keys;                   ///< For injection::stale_key.
};

struct network_faults
{
    double loss = 0.0;
    double duplication = 0.0;
    core::duration extra_delay{}; ///< Up to this, drawn for each message, so that they cross.
};

enum class service_mode
{
    up,
    down,
    stale,
    slow
};

struct published_version
{
    config::configuration configuration;
    std::string text;
    core::time_point served_from = core::time_point::max(); ///< By a service that is not stale.
};

struct vm_list_version
{
    core::time_point at{};
    std::vector<node::listed_vm> vms;
};

/// When every run begins. The epoch of the logical clock means "never" in the decision code.
inline constexpr core::time_point beginning{std::chrono::seconds(1000)};

struct simulation_options
{
    std::uint64_t seed = 1;
    std::size_t vms = 17;
    limits::strategy way = limits::seats_pool_and_loans;
    injection inject = injection::none;
    core::duration tick = node::tick_interval;
};

struct simulation
{
    simulation_options options;
    event_queue queue;
    core::random_generator random; ///< Of the network, servers and processes.
    core::random_generator traffic_random;
    std::vector<process> processes;    ///< One per VM that may run at once.
    std::vector<std::vector<int>> cut; ///< From slot to slot; faults that cut the way at present.
    std::vector<int> service_cut;      ///< By slot, likewise.
    network_faults network;
    service_mode mode = service_mode::up;
    std::uint64_t stale_version = 0;         ///< Served in service_mode::stale.
    std::vector<published_version> versions; ///< Version 1 first.
    std::deque<vm_list_version> vm_lists;
    core::duration list_lag{};
    std::map<std::string, std::unique_ptr<backend>> servers;
    std::map<std::string, std::string> keys;                     ///< Present key of each account.
    std::map<std::string, std::vector<std::string>> former_keys; ///< Withdrawn, still in use.
    std::vector<call> calls;
    std::map<std::string, double> counters;
    std::map<std::string, double> demand; ///< Factor of an account's usual traffic.
    std::uint64_t next_vm = 0;
    std::uint64_t digest = 0; ///< Over all ends and executions, for the comparison of two runs.
    observer* watcher = nullptr;
};

/// Builds a fleet whose processes start together at the present time. Precondition: `watcher`
/// outlives the simulation. Not thread safe, as all functions below.
std::unique_ptr<simulation> make_simulation(const simulation_options& options,
                                            const config::configuration& first,
                                            std::map<std::string, std::string> keys,
                                            observer& watcher);

/// Returns the time on the steady clock of the process.
core::time_point local_time(const simulation& sim, const process& at);

/// Returns the wall clock of a perfect observer.
core::unix_time wall_time(core::time_point at);

/// Starts a process in a free slot; the VM has a new name unless one is given.
void start_process(simulation& sim, std::size_t slot, std::string vm = {});

/// Ends a process without notice.
void kill_process(simulation& sim, std::size_t slot);

/// Keeps a process from running; what is for it waits.
void pause_process(simulation& sim, std::size_t slot, core::duration length);

/// Begins a planned stop; the process ends when its requests have ended and its leases are given
/// up.
void stop_process(simulation& sim, std::size_t slot);

/// Publishes a new version that `edit` makes from the newest one. Returns its number.
std::uint64_t publish(simulation& sim, const std::function<void(config::configuration&)>& edit);

/// Changes what the configuration service does.
void set_service_mode(simulation& sim, service_mode mode);

/// Returns the version that the service gives out at present, 0 when it gives none.
std::uint64_t served_version(const simulation& sim);

/// Notes a change of the list of VMs.
void note_vm_list(simulation& sim);

/// Sends a request to the process. Returns its number.
std::uint64_t start_call(simulation& sim, std::size_t slot, call request);

/// Hangs up a caller.
void hang_up(simulation& sim, std::uint64_t number);

/// Ends a server's run; it starts again, cold, after `down_time`.
void restart_server(simulation& sim, backend& server, core::duration down_time);

/// Returns a running process that takes callers, at random, or the number of processes.
std::size_t choose_process(simulation& sim, core::random_generator& random);

/// Runs `event` at the process, or when its pause has ended, unless this run of it has ended.
void at_process(simulation& sim, std::size_t slot, std::uint64_t incarnation,
                std::function<void()> event);

/// Carries out what a decider returned.
void carry_out(simulation& sim, std::size_t slot, const node::action_list& actions);

/// Sends the request of a dispatch to its server (in `requests.cpp`).
void start_attempt(simulation& sim, std::size_t slot, const node::dispatch& order);
void start_probe(simulation& sim, std::size_t slot, const node::send_probe& order);

/// Notes the end of a request that a decider returned (in `requests.cpp`).
void end_call(simulation& sim, std::size_t slot, std::uint64_t number,
              const node::refusal* refusal);

} // namespace zinniaferry::history
