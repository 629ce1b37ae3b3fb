/// Stand-ins for the platform's store, for instances and for clients, and the start of daemons, for
/// the cases of the third review. Blocking sockets and a thread for each connection. All addresses
/// are loopback addresses.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace review3
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// A script exits with this if the case could not run.
inline constexpr int exit_not_run = 2;

/// Prints `why` and ends the process with exit_not_run.
[[noreturn]] void fail_to_run(const std::string& why);

/// Returns a port on 127.0.0.1 that nothing listens on.
std::uint16_t free_port();

/// Lines of record.txt, each with the time since the start. Thread safe.
class record
{
public:
    explicit record(const std::string& file) : out_(file), start_(steady::now()) {}
    void write(const std::string& line);

private:
    std::mutex mutex_;
    std::ofstream out_;
    steady::time_point start_;
};

/// A header section and a body. Header names are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Reads messages with a Content-Length, or without a body, from a socket.
class reader
{
public:
    explicit reader(int socket) : socket_(socket) {}
    /// Returns nothing at the end of the connection, after an error, or after the time limit.
    std::optional<message> read(milliseconds limit);

private:
    int socket_;
    std::string buffer_;
};

bool write_all(int socket, std::string_view bytes);

/// Listens on a port of 127.0.0.1 until the process ends, and calls `serve` in a thread for each
/// connection. `serve` does not close the socket.
void listen_on(std::uint16_t port, std::function<void(int socket)> serve);

/// Returns a connected socket, or -1.
int connect_to(std::uint16_t port, milliseconds limit = milliseconds(1000));

/// The platform's metadata store: kv-range and kv-watch over linearizable items.
class store
{
public:
    /// Starts to listen on a free port.
    store();
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::uint16_t port() const { return port_; }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    void serve(int socket);
    std::string respond(const std::string& target);
    std::string range(const std::string& prefix, const std::string& after) const;
    std::string watch(std::uint64_t after, milliseconds wait);

    std::uint16_t port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 100;
    std::map<std::string, item> items_;
    std::vector<std::pair<std::string, item>> history_;
};

/// Limits and bounds of the small deployment, as its pages state them.
struct machine
{
    std::string name = "front-1";
    int memory_mb = 260;
    int max_fds = 4100;
    int link_mbps = 1000;
    std::vector<std::uint16_t> seeds;
    std::uint16_t front = free_port();
    std::uint16_t ready = free_port();
    std::uint16_t control = free_port();
    std::uint16_t metrics = free_port();
};

/// A daemon, started with the command of the deploy file but for the metrics port, which is free.
class daemon_process
{
public:
    /// Preconditions: `folder` exists; `program` is the deploy file's.
    daemon_process(machine where, const store& from, std::string program, std::string folder);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    void start();
    void signal(int number) const;
    /// Returns whether the process has ended.
    bool has_ended();
    /// Sends SIGKILL and waits for the end.
    void kill();
    /// Returns the resident memory in KiB, 0 after the end.
    long resident_kib() const;
    /// Returns whether the ready address answers 200 within the limit.
    bool wait_until_ready(milliseconds limit) const;

    const machine where;

private:
    std::string program_;
    std::string folder_;
    pid_t pid_ = -1;
};

/// Returns a configuration with one safe route "/read/" and one unsafe route "/order/" of host
/// "case.example", to the services "reads" and "orders", for the key "key-1" of tenant "tenant-1".
std::string configuration(int version);

/// Returns the entry of an instance in the store.
std::string instance_entry(std::uint16_t port, const std::string& service, std::int64_t born,
                           const std::string& state = "ready");

/// A sound instance: answers health checks, runs each request for `work`, and counts runs by id.
class instance
{
public:
    instance(std::string id, record& log, milliseconds work);
    std::uint16_t port() const { return port_; }
    const std::string& id() const { return id_; }

private:
    void serve(int socket);

    std::string id_;
    record& log_;
    milliseconds work_;
    std::uint16_t port_;
    std::mutex mutex_;
    int running_ = 0;
};

/// Status of an answer, 0 for none within the limit.
int send_request(std::uint16_t port, const std::string& method, const std::string& path,
                 const std::string& id, milliseconds limit);

/// Returns a new temporary folder.
std::string temporary_folder();

/// Returns whether the environment asks for the disruption: TROUBLE is not "0".
bool with_trouble();

} // namespace review3
