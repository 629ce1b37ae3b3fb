/// A crowd of callers that sends requests with large bodies of legal size and stops just short of
/// their end. The header of each is of legal size too. Counts how often the platform has to end a
/// daemon because it takes more memory than its machine gives it.
#include "../harness_3.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

using namespace review3;

constexpr int daemon_count = 2;
constexpr int wave_count = 3;
/// Below the callers that a daemon accepts: half of max-fds less 200.
constexpr int callers_per_wave = 1900;
constexpr std::size_t header_bytes = 16384; ///< `header-bytes` of the configuration.
constexpr std::size_t body_bytes = 62000;   ///< Legal: `body-bytes` is 64 MiB.
constexpr std::size_t missing_bytes = 10;
constexpr milliseconds wave_time = milliseconds(4000);
constexpr milliseconds calm_time = milliseconds(2000);
constexpr milliseconds restart_delay = milliseconds(500);

/// A daemon, and what the platform and the callers saw of it.
struct machine_state
{
    std::unique_ptr<daemon_process> process;
    std::atomic<int> ends_for_memory = 0;
    std::atomic<int> other_ends = 0;
    std::atomic<long> peak_kib = 0;
    std::atomic<int> served = 0;
    std::atomic<int> not_served = 0;
};

/// Ends the process when it exceeds the machine's memory, and starts it again after a short delay.
void supervise(machine_state& state, record& log, const std::atomic<bool>& done)
{
    const long limit_kib = state.process->where.memory_mb * 1024L;
    while (!done)
    {
        const long used = state.process->resident_kib();
        state.peak_kib = std::max(state.peak_kib.load(), used);
        const bool over = used > limit_kib;
        if (over || state.process->has_ended())
        {
            log.write("platform: " + state.process->where.name +
                      (over ? " has " + std::to_string(used) + " KiB of " +
                                  std::to_string(limit_kib) + " and is killed"
                            : " has ended by itself"));
            ++(over ? state.ends_for_memory : state.other_ends);
            state.process->kill();
            std::this_thread::sleep_for(restart_delay);
            state.process->start();
            log.write("platform: " + state.process->where.name + " is started again");
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
}

/// Sends an ordinary request five times a second.
void call_regularly(machine_state& state, record& log, const std::atomic<bool>& done)
{
    for (int number = 0; !done; ++number)
    {
        const std::string id = state.process->where.name + "-" + std::to_string(number);
        const int status =
            send_request(state.process->where.front, "GET", "/read/" + id, id, milliseconds(1500));
        ++(status == 200 ? state.served : state.not_served);
        log.write("caller: " + id + " got " + std::to_string(status));
        std::this_thread::sleep_for(milliseconds(200));
    }
}

std::string crowd_request()
{
    std::string header = "POST /order/papers HTTP/1.1\r\nHost: case.example\r\n"
                         "X-Zinniaferry-Timeout-Remaining: 1500\r\n"
                         "Authorization: Bearer key-1\r\nContent-Length: " +
                         std::to_string(body_bytes) + "\r\n";
    const std::size_t id_bytes = 50;
    for (int number = 1; header.size() + id_bytes + 22 < header_bytes; ++number)
    {
        std::array<char, 32> line;
        std::snprintf(line.data(), line.size(), "X-Item-%03d: abcdef\r\n", number % 1000);
        header += line.data();
    }
    return header;
}

/// Opens the connections, sends each request up to just before its end, and stays.
void send_wave(machine_state& state, record& log, int wave)
{
    const std::string header = crowd_request();
    const std::string body(body_bytes - missing_bytes, 'x');
    std::vector<int> sockets;
    const steady::time_point until = steady::now() + wave_time;
    std::size_t sent = 0;
    for (int number = 0; number < callers_per_wave && steady::now() < until; ++number)
    {
        const int socket = connect_to(state.process->where.front, milliseconds(500));
        if (socket < 0)
        {
            continue;
        }
        sockets.push_back(socket);
        const std::string id = "crowd-" + std::to_string(wave) + "-" + std::to_string(number);
        const std::string request = header + "X-Zinniaferry-Request-Id: " + id + "\r\n\r\n" + body;
        sent += write_all(socket, request) ? 1 : 0;
    }
    log.write("crowd: " + std::to_string(sockets.size()) + " connections to " +
              state.process->where.name + ", " + std::to_string(sent) +
              " requests sent up to their last " + std::to_string(missing_bytes) + " bytes");
    std::this_thread::sleep_until(until);
    for (const int socket : sockets)
    {
        ::close(socket);
    }
}

void play(machine_state& state, record& log)
{
    for (int wave = 0; wave < wave_count; ++wave)
    {
        if (with_trouble())
        {
            send_wave(state, log, wave);
        }
        else
        {
            std::this_thread::sleep_for(wave_time);
        }
        std::this_thread::sleep_for(calm_time);
        if (!state.process->wait_until_ready(milliseconds(5000)))
        {
            log.write("platform: " + state.process->where.name + " is not ready");
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        fail_to_run("usage: case PROGRAM RECORD");
    }
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    if (files.rlim_max < 8192)
    {
        fail_to_run("needs 8192 descriptors");
    }
    files.rlim_cur = 8192;
    ::setrlimit(RLIMIT_NOFILE, &files);
    record log(argv[2]);
    const std::string folder = temporary_folder();
    store platform;
    const instance reads("i-reads", log, milliseconds(20));
    const instance orders("i-orders", log, milliseconds(20));
    platform.put("op/config", configuration(2));
    platform.put("servers/" + reads.id(), instance_entry(reads.port(), "reads", 1700000000000));
    platform.put("servers/" + orders.id(), instance_entry(orders.port(), "orders", 1700000000000));
    std::vector<machine_state> machines(daemon_count);
    std::vector<std::uint16_t> seeds;
    for (int i = 0; i < daemon_count; ++i)
    {
        seeds.push_back(free_port());
    }
    for (int i = 0; i < daemon_count; ++i)
    {
        machine where{.name = "front-" + std::to_string(i + 1), .seeds = seeds};
        where.control = seeds[static_cast<std::size_t>(i)];
        auto& state = machines[static_cast<std::size_t>(i)];
        state.process = std::make_unique<daemon_process>(where, platform, argv[1], folder);
        state.process->start();
    }
    for (machine_state& state : machines)
    {
        const std::string id = "first-" + state.process->where.name;
        if (!state.process->wait_until_ready(milliseconds(5000)) ||
            send_request(state.process->where.front, "GET", "/read/first", id,
                         milliseconds(1500)) != 200)
        {
            fail_to_run(state.process->where.name + " does not serve");
        }
    }
    std::atomic<bool> done = false;
    std::vector<std::thread> threads;
    for (machine_state& state : machines)
    {
        threads.emplace_back([&] { supervise(state, log, done); });
        threads.emplace_back([&] { call_regularly(state, log, done); });
    }
    std::vector<std::thread> plays;
    for (machine_state& state : machines)
    {
        plays.emplace_back([&] { play(state, log); });
    }
    for (std::thread& thread : plays)
    {
        thread.join();
    }
    done = true;
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    int broken = 0;
    for (machine_state& state : machines)
    {
        const int ends = state.ends_for_memory + state.other_ends;
        const std::string line = state.process->where.name + ": ended " + std::to_string(ends) +
                                 " times, " + std::to_string(state.ends_for_memory) +
                                 " for memory; peak " + std::to_string(state.peak_kib) +
                                 " KiB; ordinary requests: " + std::to_string(state.served) +
                                 " served, " + std::to_string(state.not_served) + " not";
        log.write(line);
        std::printf("%s\n", line.c_str());
        broken += ends >= wave_count ? 1 : 0;
    }
    machines.clear();
    // The rule: on two machines at least, processes end by themselves three times.
    const int result = broken >= daemon_count ? 1 : 0;
    log.write(result == 1 ? "verdict: broken" : "verdict: held");
    std::fflush(stdout);
    std::_Exit(result);
}
