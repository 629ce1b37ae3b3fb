/// Account limiters and majority leases of several processes in virtual time, connected by a
/// network that loses, delays and repeats messages. Used by the property test and the benchmark.
#pragma once

#include "fleet/majority_lease.hpp"
#include "limits/account_limiter.hpp"

#include <functional>
#include <queue>

namespace zinniaferry::limits
{

/// How the network treats messages.
struct network_options
{
    core::duration shortest_delay = std::chrono::microseconds(1000);
    core::duration longest_delay = std::chrono::microseconds(2000);
    double loss = 0.0;      ///< Part of the messages.
    double duplicate = 0.0; ///< Part of the messages; the second copy takes its own delay.
    double late = 0.0;      ///< Part of the messages that take up to `latest` instead.
    core::duration latest = std::chrono::seconds(6);
};

/// How often each fault occurred.
struct fault_counts
{
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t late = 0;
    std::uint64_t cut = 0; ///< Messages between processes that are split from each other.
    std::uint64_t pauses = 0;
    std::uint64_t restarts = 0;
    std::uint64_t planned_stops = 0;
    std::uint64_t configurations = 0;
};

struct virtual_process
{
    core::process_id id;
    bool running = false;
    bool stopping = false;
    int side = 0; ///< Processes of different sides do not reach each other.
    core::time_point paused_until{};
    core::duration clock_offset{}; ///< Of its steady clock.
    fleet::majority_lease lease;
    account_limiter limiter;
    std::map<std::string, core::time_point> last_heard;
    std::uint64_t bytes_sent = 0;
};

/// The end of one request.
struct request_end
{
    std::string account;
    std::uint64_t request_id = 0;
    bool admitted = false;
    core::duration retry_after{};
    core::time_point at{};
};

struct virtual_event
{
    core::time_point at{};
    std::uint64_t sequence = 0;
    std::size_t process = 0;
    std::uint64_t incarnation = 0; ///< Of a tick; 0 for messages, which go to whoever runs there.
    std::variant<std::monostate, fleet::message, std::pair<std::string, std::uint64_t>> what;
};

struct later_event
{
    bool operator()(const virtual_event& a, const virtual_event& b) const
    {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

struct virtual_fleet
{
    account_limiter_options limiter_options;
    network_options network;
    config::configuration config; ///< That new processes start with.
    core::random_generator random;
    core::time_point now{};
    std::uint64_t next_sequence = 1;
    std::vector<virtual_process> processes;
    std::priority_queue<virtual_event, std::vector<virtual_event>, later_event> events;
    std::function<void(const request_end&)> on_end;
    fault_counts faults;
    std::uint64_t messages_sent = 0;
    std::uint64_t loan_messages_sent = 0;
};

/// Returns a fleet of `size` running processes named "vm0", "vm1" and so on. Thread safe.
virtual_fleet make_virtual_fleet(std::size_t size, account_limiter_options limiter_options,
                                 network_options network, const config::configuration& config,
                                 std::uint64_t seed);

/// Lets a request arrive at a process at `at`. A process that does not run refuses nothing; the
/// request ends refused without being counted anywhere else.
void arrive(virtual_fleet& fleet, std::size_t process, std::string account,
            std::uint64_t request_id, core::time_point at);

/// Carries out all events up to `until` and sets the time to it.
void run_until(virtual_fleet& fleet, core::time_point until);

/// Ends a process without notice. Its memory is lost.
void kill(virtual_fleet& fleet, std::size_t process);

/// Starts a process with a new incarnation. Precondition: it does not run.
void start(virtual_fleet& fleet, std::size_t process);

/// Begins a planned stop: borrowed shares are returned and leases given up once unused. The caller
/// ends it with `kill`.
void stop(virtual_fleet& fleet, std::size_t process);

/// Keeps a process from doing anything until `until`; its messages wait.
void pause(virtual_fleet& fleet, std::size_t process, core::time_point until);

/// Puts a configuration in force at one process.
void configure(virtual_fleet& fleet, std::size_t process, const config::configuration& config);

/// Returns the bytes of a message on a connection: its encoding and the header of its frame; 0 for
/// a message beyond the codec's bounds, which is never sent. Thread safe.
std::uint64_t wire_bytes(const fleet::message& message);

/// Checks that no window admits more than rate x window + burst: the least bucket of that rate
/// that would have borne all admissions. Copyable.
struct bound_meter
{
    double rate = 0.0;
    double burst = 0.0;
    double level = 0.0;
    double highest = 0.0;
    core::time_point last{};
};

/// Counts one admission. Precondition: `at` is not before the last one.
void record(bound_meter& meter, core::time_point at);

/// Returns by how much the worst window exceeded the bound; not above 0 when it held.
double excess(const bound_meter& meter);

} // namespace zinniaferry::limits
