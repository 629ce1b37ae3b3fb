/// Checks that a crowd of clients that send or read badly takes no daemon over the memory and the
/// descriptors that its settings allow. Each case starts a daemon of the operators' platform of its
/// own, with low limits, and stand-ins for the metadata store and a backend server, on loopback.
/// Prints "case NAME: pass" or "case NAME: fail REASON" for each case, and "N passed, N failed" as
/// the last line. Nothing that is checked depends on the machine's speed.
#include "core/command_line.hpp"
#include "test/support/daemon_process.hpp"
#include "test/support/store_stand_in.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>
#include <spdlog/fmt/fmt.h>

#include <atomic>
#include <cstdio>
#include <sstream>
#include <thread>

#include <sys/socket.h>

namespace
{

namespace asio = boost::asio;
namespace fs = std::filesystem;
using namespace zinniaferry;
using asio::ip::tcp;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// `memory-mb` of the daemon's settings, and the bound of its resident memory.
constexpr std::size_t memory_limit_mb = 64;
/// `max-fds` of the settings, of which the platform keeps `file_descriptors` for files. The rest is
/// the bound of open sockets and pipes.
constexpr std::size_t max_descriptors = 300;
constexpr std::size_t file_descriptors = 200;
/// `header-bytes` of the configuration.
constexpr std::size_t header_limit = 128UL * 1024UL;
/// `body-bytes` of the configuration; the most that the stand-in server reads.
constexpr std::size_t body_limit = 4UL * 1024UL * 1024UL;
constexpr std::size_t response_bytes = 12UL * 1024UL * 1024UL;
constexpr int body_clients = 48;
constexpr int reading_clients = 16;
constexpr int silent_clients = 300;
constexpr std::size_t piece_bytes = 64UL * 1024UL;
/// Bytes of a body that a stalled client keeps back.
constexpr std::size_t bytes_kept_back = 10;
/// A client that can't write or read for this long gives up. Above the time limits of the daemon.
constexpr seconds client_patience{12};
constexpr std::string_view key = "crowd-key";

asio::awaitable<stand_in::http_response> respond(stand_in::http_request request)
{
    const bool is_large = request.path == "/crowd/large";
    stand_in::http_response out;
    out.headers = {{"X-Zinniaferry-Instance-Load", "0,0,64,100"}, {"Keep-Alive", "timeout=10"}};
    if (request.path == "/health")
    {
        out.headers.emplace_back("X-Zinniaferry-Instance-Id", "i-1");
        co_return out;
    }
    const std::string id = stand_in::find_value(request.headers, "x-zinniaferry-request-id");
    out.headers.emplace_back("X-Zinniaferry-Request-Id", id);
    out.headers.emplace_back("X-Zinniaferry-Response-Signature", "1." + id);
    out.body = is_large ? std::string(response_bytes, 'r') : std::to_string(request.body.size());
    co_return out;
}

// The metadata store and a backend server, in a thread of their own.
class stand_ins
{
public:
    stand_ins() : store_(io_), acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io_, stand_in::serve(acceptor_, respond, connections_), asio::detached);
        store_.write("servers/i-1",
                     R"({"address":"127.0.0.1:)" +
                         std::to_string(acceptor_.local_endpoint().port()) +
                         R"(","born":1,"info":{"service":"s","version":"v1","zone":"z",)"
                         R"("slots":64},"status":{"state":"ready","seq":1,"warmup-left-s":0}})");
        store_.write(
            "op/config",
            R"({"version":"r1","routes":[{"name":"r-1","host":"crowd.example","prefix":"/",)"
            R"("kind":"safe","timeout-s":10,"slo-s":5,"priority":1,"service":"s","attempts":2,)"
            R"("no-auth":false}],"services":[{"name":"s","health-path":"/health",)"
            R"("max-conns":260,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":2.2}],)"
            R"("limits":{"header-bytes":)" +
                std::to_string(header_limit) + R"(,"body-bytes":)" + std::to_string(body_limit) +
                R"(,"header-timeout-s":10,"idle-timeout-s":15},"tenants":[{"name":"a",)"
                R"("api-keys":[")" +
                std::string(key) + R"("],"priority":1,"rate-per-s":0,"burst":0}]})");
        thread_ = std::thread([this] { io_.run(); });
    }
    ~stand_ins()
    {
        io_.stop();
        thread_.join();
        // Connections still refer to the members, so they end before these are destroyed.
        boost::system::error_code ignored;
        store_.stop();
        acceptor_.close(ignored);
        stand_in::reset_connections(connections_);
        io_.restart();
        io_.run_for(seconds(1));
    }
    stand_ins(const stand_ins&) = delete;
    stand_ins& operator=(const stand_ins&) = delete;
    std::string store_address() const { return store_.address(); }

private:
    asio::io_context io_{1};
    test_support::store_stand_in store_;
    stand_in::connection_set connections_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

// A daemon with low limits.
class limited_daemon
{
public:
    limited_daemon(const std::string& program, const fs::path& folder,
                   const std::string& store_address)
        : front_(asio::ip::make_address("127.0.0.1"), test_support::free_port()),
          process_(program, folder, settings(store_address))
    {
    }

    bool alive() { return process_.alive(); }

    // Largest resident memory so far.
    double peak_mb() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", process_.pid()));
        std::string line;
        while (std::getline(status, line))
        {
            if (line.starts_with("VmHWM:"))
            {
                return std::stod(line.substr(6)) / 1024.0;
            }
        }
        return 0.0;
    }

    // Open sockets and pipes, with those that Asio needs itself.
    std::size_t descriptors() const
    {
        std::error_code error;
        std::size_t count = 0;
        for (fs::directory_iterator entry(fmt::format("/proc/{}/fd", process_.pid()), error), end;
             !error && entry != end; entry.increment(error))
        {
            std::error_code gone;
            const std::string target = fs::read_symlink(entry->path(), gone).string();
            count += target.starts_with("socket:") || target.starts_with("pipe:") ? 1 : 0;
        }
        return count;
    }

    tcp::endpoint front() const { return front_; }

private:
    std::string settings(const std::string& store_address) const
    {
        const std::string ready = fmt::format("127.0.0.1:{}", test_support::free_port());
        const std::string control = fmt::format("127.0.0.1:{}", test_support::free_port());
        std::ostringstream out;
        out << R"({"node":"front-1","role":"ferry","ip":"127.0.0.1","zone":"z","listen":{"front":")"
            << "127.0.0.1:" << front_.port() << R"(","ready":")" << ready << R"(","control":")"
            << control << R"("},"seeds":[")" << control << R"("],"limits":{"memory-mb":)"
            << memory_limit_mb << R"(,"max-fds":)" << max_descriptors
            << R"(,"link-mbps":1000.0},"bounds":["grace-s=6"],"provider":{"address":")"
            << store_address << R"("}})";
        return out.str();
    }

    tcp::endpoint front_;
    test_support::daemon_process process_;
};

// A client with blocking operations that fail after `client_patience`.
class client
{
public:
    explicit client(const tcp::endpoint& to) : socket_(io_)
    {
        socket_.connect(to, error_);
        const timeval limit = {.tv_sec = client_patience.count(), .tv_usec = 0};
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }

    // Returns false if the connection failed.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && !error_)
        {
            const ssize_t sent =
                ::send(socket_.native_handle(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
            {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return !error_;
    }

    // Returns what arrives until the response's header is complete, at least.
    std::string read_header()
    {
        std::string out;
        std::array<char, 4096> part;
        while (!error_ && out.find("\r\n\r\n") == std::string::npos)
        {
            const ssize_t count = ::recv(socket_.native_handle(), part.data(), part.size(), 0);
            if (count <= 0)
            {
                break;
            }
            out.append(part.data(), static_cast<std::size_t>(count));
        }
        return out;
    }

private:
    asio::io_context io_;
    tcp::socket socket_;
    boost::system::error_code error_;
};

std::string header(std::string_view method, std::string_view path, std::size_t length)
{
    static std::atomic<int> next_id = 0;
    return fmt::format("{} {} HTTP/1.1\r\nHost: crowd.example\r\nX-Zinniaferry-Request-Id: c-{}\r\n"
                       "X-Zinniaferry-Timeout-Remaining: 10000\r\nAuthorization: Bearer {}\r\n"
                       "Content-Length: {}\r\n\r\n",
                       method, path, ++next_id, key, length);
}

bool is_served(const tcp::endpoint& to, std::size_t body_bytes)
{
    client one(to);
    one.send(header(body_bytes > 0 ? "POST" : "GET", "/crowd/one", body_bytes));
    one.send(std::string(body_bytes, 'x'));
    return one.read_header().starts_with("HTTP/1.1 200");
}

/// The crowd of a case: returns when all of its clients have sent what they send. Clients that stay
/// open are kept until the checks are over.
using crowd = std::function<std::vector<std::unique_ptr<client>>(const tcp::endpoint&)>;

// Runs `act` for a number of clients at once, and returns the clients.
std::vector<std::unique_ptr<client>> run_clients(int count, const tcp::endpoint& to,
                                                 const std::function<void(client&)>& act)
{
    std::vector<std::unique_ptr<client>> clients;
    clients.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        clients.push_back(std::make_unique<client>(to));
    }
    std::vector<std::thread> threads;
    threads.reserve(clients.size());
    for (auto& own : clients)
    {
        threads.emplace_back([&act, &own] { act(*own); });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return clients;
}

// Guards against a daemon that holds whole bodies without a common bound.
std::vector<std::unique_ptr<client>> whole_bodies(const tcp::endpoint& to)
{
    return run_clients(body_clients, to,
                       [](client& own)
                       {
                           own.send(header("POST", "/crowd/one", body_limit));
                           own.send(std::string(body_limit, 'x'));
                           own.read_header();
                       });
}

// Guards against a bound that counts a body only when it is complete.
std::vector<std::unique_ptr<client>> bodies_in_pieces(const tcp::endpoint& to)
{
    return run_clients(body_clients, to,
                       [](client& own)
                       {
                           own.send(header("POST", "/crowd/one", body_limit));
                           const std::string piece(piece_bytes, 'x');
                           for (std::size_t sent = 0; sent < body_limit; sent += piece.size())
                           {
                               if (!own.send(piece))
                               {
                                   return;
                               }
                               std::this_thread::sleep_for(std::chrono::milliseconds(10));
                           }
                           own.read_header();
                       });
}

// Guards against bodies that never become complete and leave no room for those of other callers.
std::vector<std::unique_ptr<client>> stalled_bodies(const tcp::endpoint& to)
{
    return run_clients(body_clients, to,
                       [](client& own)
                       {
                           own.send(header("POST", "/crowd/one", body_limit));
                           own.send(std::string(body_limit - bytes_kept_back, 'x'));
                       });
}

// Guards against headers of many short fields, which take many times their size in memory.
std::vector<std::unique_ptr<client>> many_short_fields(const tcp::endpoint& to)
{
    return run_clients(body_clients, to,
                       [](client& own)
                       {
                           std::string sent = header("POST", "/crowd/one", piece_bytes);
                           sent.resize(sent.size() - std::string_view("\r\n").size());
                           // The response shows that the header has been parsed.
                           sent += "Expect: 100-continue\r\n";
                           while (sent.size() < header_limit - 1024)
                           {
                               sent += "f:\r\n";
                           }
                           own.send(sent + "\r\n");
                           if (own.read_header().starts_with("HTTP/1.1 100"))
                           {
                               own.send(std::string(piece_bytes - bytes_kept_back, 'x'));
                           }
                       });
}

// Guards against responses that are held without a bound for callers that do not read them.
std::vector<std::unique_ptr<client>> unread_responses(const tcp::endpoint& to)
{
    return run_clients(reading_clients, to,
                       [](client& own)
                       {
                           own.send(header("GET", "/crowd/large", 0));
                           own.read_header();
                       });
}

// Guards against connections that take all descriptors; half of them send a part of a header.
std::vector<std::unique_ptr<client>> silent_connections(const tcp::endpoint& to)
{
    std::vector<std::unique_ptr<client>> clients;
    for (int i = 0; i < silent_clients; ++i)
    {
        clients.push_back(std::make_unique<client>(to));
        if (i % 2 == 0)
        {
            clients.back()->send("GET /crowd/one HTTP/1.1\r\nHost: crowd");
        }
    }
    return clients;
}

struct crowd_case
{
    const char* name;
    crowd act;
};

bool wait_until_served(limited_daemon& daemon)
{
    const auto until = steady_clock::now() + seconds(30);
    while (daemon.alive() && steady_clock::now() < until)
    {
        if (is_served(daemon.front(), 0))
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
}

// Returns why the case fails, empty if it passes.
std::string run_case(const crowd_case& which, const std::string& program)
{
    const test_support::temporary_folder folder("crowd");
    const stand_ins servers;
    limited_daemon daemon(program, folder.path, servers.store_address());
    if (!wait_until_served(daemon))
    {
        return "the daemon did not begin to serve";
    }
    std::string out;
    if (!is_served(daemon.front(), body_limit))
    {
        out += "a single request of the largest size was not served in calm; ";
    }
    std::atomic<bool> crowd_over = false;
    std::atomic<std::size_t> descriptors = 0;
    std::thread watcher(
        [&]
        {
            while (!crowd_over)
            {
                descriptors = std::max(descriptors.load(), daemon.descriptors());
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            }
        });
    const auto clients = which.act(daemon.front());
    const bool is_served_afterwards = is_served(daemon.front(), 0);
    crowd_over = true;
    watcher.join();
    const double peak = daemon.peak_mb();
    if (!daemon.alive())
    {
        out += "the daemon ended; ";
    }
    if (peak > static_cast<double>(memory_limit_mb))
    {
        out += fmt::format("{:.0f} MB resident, limit {}; ", peak, memory_limit_mb);
    }
    if (descriptors > max_descriptors - file_descriptors)
    {
        out += fmt::format("{} sockets and pipes, limit {}; ", descriptors.load(),
                           max_descriptors - file_descriptors);
    }
    if (!is_served_afterwards)
    {
        out += "an ordinary request was not answered afterwards; ";
    }
    std::printf("  %s: at most %.0f MB resident, %zu sockets and pipes\n", which.name, peak,
                descriptors.load());
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<crowd_case> cases = {
        {"whole_bodies", whole_bodies},         {"bodies_in_pieces", bodies_in_pieces},
        {"stalled_bodies", stalled_bodies},     {"many_short_fields", many_short_fields},
        {"unread_responses", unread_responses}, {"silent_connections", silent_connections}};
    cxxopts::Options options("crowd_check", "Checks a daemon against crowds of bad clients.");
    options.add_options()(
        "daemon", "program of the daemon",
        cxxopts::value<std::string>()->default_value("build/bin/zinniaferry-platform"))(
        "case", "case to run (default: all)",
        cxxopts::value<std::string>())("help", "help")("version", "version");
    const auto parsed = options.parse(argc, argv);
    if (core::print_help_or_version(options, parsed))
    {
        return 0;
    }
    const std::string only = parsed.count("case") > 0 ? parsed["case"].as<std::string>() : "";
    int passed = 0;
    int failed = 0;
    for (const crowd_case& which : cases)
    {
        if (!only.empty() && only != which.name)
        {
            continue;
        }
        const std::string reason = run_case(which, parsed["daemon"].as<std::string>());
        std::printf("case %s: %s%s\n", which.name, reason.empty() ? "pass" : "fail ",
                    reason.c_str());
        std::fflush(stdout);
        reason.empty() ? ++passed : ++failed;
    }
    std::printf("%d passed, %d failed\n", passed, failed);
    return failed > 0 || passed == 0 ? 1 : 0;
}
