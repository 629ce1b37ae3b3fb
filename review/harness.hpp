/// Stand-ins for the operators' platform, its instances and its clients, and functions that start
/// the project's daemons, for the cases of the review. Plain blocking sockets and threads; every
/// address is a loopback address.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review
{

using clock = std::chrono::steady_clock;

/// Seconds since the start of the program.
double now_s();
void sleep_s(double seconds);

/// Appends lines to the file record.txt. Thread safe.
class record
{
public:
    explicit record(const std::string& path);
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

private:
    std::mutex mutex_;
    std::shared_ptr<FILE> file_;
};

/// A parsed HTTP/1.1 message.
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false; ///< All bytes that the framing states have arrived.

    std::string header(const std::string& name) const;
    std::string method() const; ///< Of a request.
    std::string target() const; ///< Of a request.
    int status() const;         ///< Of a response; 0 if there is none.
};

/// A TCP connection. Owns the descriptor.
class connection
{
public:
    connection() = default;
    explicit connection(int fd) : fd_(fd) {}
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    ~connection();

    bool open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    bool send(const std::string& bytes); ///< Returns false if the connection failed.
    /// Reads one message. `deadline` bounds the whole read. An incomplete message has complete =
    /// false.
    message read_message(clock::time_point deadline, bool is_response, bool is_head = false);
    bool peer_has_closed() const;
    void close();
    void reset(); ///< Closes with a TCP reset.

    std::string buffer; ///< Bytes read and not parsed.

private:
    bool fill(clock::time_point deadline);
    int fd_ = -1;
};

/// Connects from the loopback address `from`, or from any if it is empty.
connection connect_to(const std::string& address, double timeout_s);

/// Listens on a loopback IP and serves each connection in a thread.
class server
{
public:
    using serve = std::function<void(connection&)>;
    server(const std::string& ip, serve handler);
    ~server();
    std::string address() const { return address_; }
    void stop();

private:
    std::string address_;
    int fd_ = -1;
    serve handler_;
    std::thread accept_thread_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> active_{0};
};

/// Builds a response with a length.
std::string make_response(int status,
                          const std::vector<std::pair<std::string, std::string>>& headers,
                          const std::string& body);

/// The platform's metadata store: kv-range, kv-watch and kv-key of the pages.
class store
{
public:
    explicit store(const std::string& ip);
    std::string address() const { return server_->address(); }
    void write(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void stop();

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value;
    };
    std::string answer(const std::string& target);
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::uint64_t revision_ = 1;
    bool stopping_ = false;
    std::unique_ptr<server> server_;
};

/// A run of a request at an instance.
struct run
{
    std::string instance;
    std::string id;
    double began = 0.0;
    double ended = 0.0;
    bool cut = false; ///< The connection closed before the answer was ready.
};

/// All runs at the instances of a case.
struct run_log
{
    std::mutex mutex;
    std::vector<run> runs;
    std::size_t begin(const std::string& instance, const std::string& id);
    void end(std::size_t index, bool cut);
    std::vector<run> of(const std::string& id);
};

/// An instance of a service: health path, slots, load header, signature; runs each request for
/// work_s().
class instance
{
public:
    struct options
    {
        std::string id;
        std::string service;
        std::string zone = "kandy";
        unsigned slots = 8;
        std::function<double(const message&)> work_s;
        /// Writes the answer to a request that has run. Default: 200 with the signature and a body.
        std::function<void(connection&, const message&)> respond;
        bool drop_when_closed = true; ///< Ends a run whose connection has closed.
    };
    instance(const std::string& ip, options options, run_log& runs);
    std::string address() const { return server_->address(); }
    std::string store_key() const { return "servers/" + options_.id; }
    std::string store_entry(const std::string& state = "ready") const;
    void stop() { server_->stop(); }
    const options& settings() const { return options_; }

private:
    void serve(connection& from);
    std::string load_header() const;
    options options_;
    run_log& runs_;
    std::uint64_t born_ms_ = 0;
    std::atomic<unsigned> running_{0};
    std::unique_ptr<server> server_;
};

/// The headers that an instance adds to an answer to `request`.
std::vector<std::pair<std::string, std::string>> answer_headers(const message& request);
std::string answer_body(const std::string& id);

/// A daemon of the project, started with the command of the deploy file.
class daemon_process
{
public:
    struct options
    {
        std::string node;
        std::string zone = "kandy";
        std::string ip;
        std::string store_address;
    };
    daemon_process(options options, const std::string& folder);
    ~daemon_process();

    void choose_ports(); ///< Once, before the settings of any daemon are written.
    void set_store_address(const std::string& address) { options_.store_address = address; }
    void write_settings(const std::vector<std::string>& seeds);
    void start();
    void signal(int number);
    bool running(); ///< Reaps the process if it has ended.
    bool wait_until_ready(double timeout_s);
    void kill_and_wait();
    std::string front() const { return front_; }
    std::string ready() const { return ready_; }
    std::string control() const { return control_; }
    const std::string& name() const { return options_.node; }
    pid_t pid() const { return pid_; }
    /// Resident memory in MB now, 0 if the process has ended.
    double resident_mb() const;
    int exit_status() const { return exit_status_; }

private:
    options options_;
    std::string folder_;
    std::string front_, ready_, control_;
    pid_t pid_ = -1;
    int exit_status_ = 0;
};

/// A TCP proxy in front of an address. While it is cut it forwards nothing, in either direction,
/// and resets nothing.
class proxy
{
public:
    proxy(const std::string& ip, const std::string& target);
    std::string address() const { return server_->address(); }
    void set_cut(bool cut) { cut_ = cut; }

private:
    std::string target_;
    std::atomic<bool> cut_{false};
    std::unique_ptr<server> server_;
};

/// The platform's balancer in front of the daemons of one zone, as the pages tell it: it asks each
/// daemon's `ready` address once a second; after two misses the daemon gets no new connections
/// until it answers with 200 again; if fewer than half are in rotation, all are used.
class balancer
{
public:
    explicit balancer(std::vector<daemon_process*> daemons);
    ~balancer();
    daemon_process& choose(std::uint64_t hash);

private:
    void probe(std::size_t index);
    std::vector<daemon_process*> daemons_;
    std::vector<std::atomic<int>> misses_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

/// A temporary folder, which finish() removes.
std::string temporary_folder();
/// A loopback IP of this program: 127.A.B.n with A and B from the process id.
std::string loopback_ip(int n);
/// Kills the daemons that still run, removes the temporary folder and ends the program. Threads of
/// stand-ins may still run, so nothing is destroyed.
[[noreturn]] void finish(int code);
/// False if TROUBLE=0 is in the environment.
bool trouble();

/// Limits and a tenant as in the examples of the pages; `routes` and `services` are JSON lists.
/// `rate` and `burst` are those of the tenant; 0 is no limit.
std::string configuration(int version, const std::string& routes, const std::string& services,
                          int rate = 0, int burst = 0);
std::string service_entry(const std::string& name);
inline const char* const client_key = "ctnfzs989anu6wsjnban";
/// A request of a sound client.
std::string client_request(const std::string& method, const std::string& host,
                           const std::string& path, const std::string& id, int timeout_ms,
                           const std::string& body = "");
std::string new_id();

} // namespace review
