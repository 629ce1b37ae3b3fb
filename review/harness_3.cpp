#include "harness_3.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review3
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(std::string text)
{
    text.erase(0, text.find_first_not_of(" \t"));
    text.erase(text.find_last_not_of(" \t\r") + 1);
    return text;
}

std::string base64(const std::string& bytes)
{
    static constexpr char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
        {
            group = group << 8U | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += k <= count ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

std::string query_value(const std::string& target, const std::string& name)
{
    const std::size_t question = target.find('?');
    std::stringstream query(question == std::string::npos ? "" : target.substr(question + 1));
    std::string part;
    while (std::getline(query, part, '&'))
    {
        if (part.starts_with(name + "="))
        {
            return part.substr(name.size() + 1);
        }
    }
    return "";
}

bool wait_readable(int socket, steady::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    pollfd entry{socket, POLLIN, 0};
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

} // namespace

void fail_to_run(const std::string& why)
{
    std::fprintf(stderr, "not run: %s\n", why.c_str());
    std::_Exit(exit_not_run);
}

std::uint16_t free_port()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        fail_to_run("no free port");
    }
    ::close(socket);
    return ntohs(address.sin_port);
}

void record::write(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    const double seconds = std::chrono::duration<double>(steady::now() - start_).count();
    std::array<char, 32> time;
    std::snprintf(time.data(), time.size(), "%9.3f ", seconds);
    out_ << time.data() << line << std::endl;
}

std::optional<message> reader::read(milliseconds limit)
{
    const steady::time_point until = steady::now() + limit;
    std::size_t end = std::string::npos;
    std::size_t wanted = std::string::npos;
    message out;
    while (true)
    {
        if (end == std::string::npos && (end = buffer_.find("\r\n\r\n")) != std::string::npos)
        {
            std::stringstream lines(buffer_.substr(0, end));
            std::string line;
            std::getline(lines, out.first_line);
            out.first_line = trim(out.first_line);
            while (std::getline(lines, line))
            {
                const std::size_t colon = line.find(':');
                if (colon != std::string::npos)
                {
                    out.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
                }
            }
            const auto length = out.headers.find("content-length");
            wanted = end + 4 + (length == out.headers.end() ? 0 : std::stoul(length->second));
        }
        if (end != std::string::npos && buffer_.size() >= wanted)
        {
            out.body = buffer_.substr(end + 4, wanted - end - 4);
            buffer_.erase(0, wanted);
            return out;
        }
        std::array<char, 16384> chunk;
        if (!wait_readable(socket_, until))
        {
            return std::nullopt;
        }
        const ssize_t received = ::recv(socket_, chunk.data(), chunk.size(), 0);
        if (received <= 0)
        {
            return std::nullopt;
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(received));
    }
}

bool write_all(int socket, std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void listen_on(std::uint16_t port, std::function<void(int socket)> serve)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = loopback(port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(listener, 1024) != 0)
    {
        fail_to_run("cannot listen on port " + std::to_string(port));
    }
    std::thread(
        [listener, serve = std::move(serve)]
        {
            while (true)
            {
                const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0)
                {
                    continue;
                }
                const int no_delay = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
                std::thread(
                    [socket, serve]
                    {
                        serve(socket);
                        ::close(socket);
                    })
                    .detach();
            }
        })
        .detach();
}

int connect_to(std::uint16_t port, milliseconds limit)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
    {
        return -1;
    }
    const timeval time{limit.count() / 1000, limit.count() % 1000 * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    const int no_delay = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
    const sockaddr_in address = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        ::close(socket);
        return -1;
    }
    return socket;
}

store::store() : port_(free_port())
{
    listen_on(port_, [this](int socket) { serve(socket); });
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    item& entry = items_[key];
    entry = {.value = value, .revision = ++revision_};
    history_.emplace_back(key, entry);
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) > 0)
    {
        history_.emplace_back(key, item{.value = "", .revision = ++revision_, .removed = true});
        changed_.notify_all();
    }
}

void store::serve(int socket)
{
    reader requests(socket);
    while (const auto request = requests.read(std::chrono::hours(1)))
    {
        std::stringstream line(request->first_line);
        std::string method, target;
        line >> method >> target;
        const std::string body = respond(target);
        if (!write_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body))
        {
            return;
        }
    }
}

std::string store::respond(const std::string& target)
{
    if (target.starts_with("/-/kv-watch"))
    {
        return watch(std::stoull(query_value(target, "after")),
                     milliseconds(std::stoul(query_value(target, "wait-ms"))));
    }
    const std::lock_guard lock(mutex_);
    return range(query_value(target, "prefix"), query_value(target, "after"));
}

std::string store::range(const std::string& prefix, const std::string& after) const
{
    std::string list;
    for (const auto& [key, entry] : items_)
    {
        if (key.starts_with(prefix) && key > after)
        {
            const std::string revision = std::to_string(entry.revision);
            list += std::string(list.empty() ? "" : ",") + R"({"key":")" + key + R"(","value":")" +
                    base64(entry.value) + R"(","rev":)" + revision + R"(,"created":)" + revision +
                    R"(,"lease":0})";
        }
    }
    return R"({"items":[)" + list + R"(],"has-more":false,"current-rev":)" +
           std::to_string(revision_) + "}";
}

std::string store::watch(std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return revision_ > after; });
    std::string list;
    for (const auto& [key, entry] : history_)
    {
        if (entry.revision <= after)
        {
            continue;
        }
        const std::string revision = std::to_string(entry.revision);
        list +=
            std::string(list.empty() ? "" : ",") + R"({"key":")" + key + R"(","rev":)" + revision;
        list += entry.removed ? R"(,"removed":true})"
                              : R"(,"value":")" + base64(entry.value) + R"(","created":)" +
                                    revision + R"(,"lease":0})";
    }
    return R"({"events":[)" + list + R"(],"current-rev":)" + std::to_string(revision_) + "}";
}

daemon_process::daemon_process(machine at, const store& from, std::string program,
                               std::string folder)
    : where(std::move(at)), program_(std::move(program)), folder_(std::move(folder))
{
    const auto address = [](std::uint16_t port)
    {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    std::string seeds;
    for (const std::uint16_t seed : where.seeds)
    {
        seeds += (seeds.empty() ? "" : ",") + address(seed);
    }
    std::ofstream out(folder_ + "/" + where.name + ".json");
    out << R"({"node":")" << where.name << R"(","role":"ferry","class":"front",)"
        << R"("serves":["front","control"],"ip":"127.0.0.1","zone":"kandy",)"
        << R"("region":"lk-central","zones":{"kandy":"lk-central"},"listen":{"front":)"
        << address(where.front) << R"(,"ready":)" << address(where.ready) << R"(,"control":)"
        << address(where.control) << R"(},"seeds":[)" << seeds
        << R"(],"bootstrap":true,"limits":{"cpu-share":0.2,"cores":1,"memory-mb":)"
        << where.memory_mb << R"(,"max-fds":)" << where.max_fds << R"(,"link-mbps":)"
        << where.link_mbps << R"(,"disk-mb":0},"heartbeat-s":1.5,"bounds":["stable-s=3",)"
        << R"("drain-s=2","grace-s=6","config-apply-s=2","retry-budget-ratio=0.2",)"
        << R"("budget-slack=64","quota-window-s=5","quota-overage=0.25","quota-slack=20",)"
        << R"("warmup-overage=1.5","warmup-slack=5","probes-per-s=60"],"provider":{"address":)"
        << address(from.port()) << R"(,"form":"read","reads-per-s":2000,"history-s":20}})";
}

daemon_process::~daemon_process()
{
    kill();
}

void daemon_process::start()
{
    const std::string settings = "ZINNIAFERRY_SETTINGS=" + folder_ + "/" + where.name + ".json";
    const std::string log = folder_ + "/" + where.name + ".log";
    const std::string port = std::to_string(where.metrics);
    pid_ = ::fork();
    if (pid_ == 0)
    {
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        char* const environment[] = {const_cast<char*>(settings.c_str()), nullptr};
        ::execle(program_.c_str(), program_.c_str(), "--metrics-port", port.c_str(), nullptr,
                 environment);
        std::_Exit(127);
    }
    if (pid_ < 0)
    {
        fail_to_run("fork failed");
    }
}

void daemon_process::signal(int number) const
{
    if (pid_ > 0)
    {
        ::kill(pid_, number);
    }
}

bool daemon_process::has_ended()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ < 0;
}

void daemon_process::kill()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

long daemon_process::resident_kib() const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with("VmRSS:"))
        {
            return std::stol(line.substr(6));
        }
    }
    return 0;
}

bool daemon_process::wait_until_ready(milliseconds limit) const
{
    const steady::time_point until = steady::now() + limit;
    while (steady::now() < until)
    {
        const int socket = connect_to(where.ready);
        if (socket >= 0)
        {
            write_all(socket, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto answer = reader(socket).read(milliseconds(500));
            ::close(socket);
            if (answer && answer->first_line.starts_with("HTTP/1.1 200"))
            {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
}

std::string configuration(int version)
{
    const auto route = [](const std::string& name, const std::string& prefix,
                          const std::string& kind, const std::string& service)
    {
        return R"({"name":")" + name + R"(","host":"case.example","prefix":")" + prefix +
               R"(","kind":")" + kind + R"(","timeout-s":1.5,"slo-s":0.6,"priority":1,)" +
               R"("service":")" + service + R"(","attempts":2,"no-auth":false})";
    };
    const auto service = [](const std::string& name)
    {
        return R"({"name":")" + name + R"(","health-path":"/health","max-conns":260,)" +
               R"("protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":2.2})";
    };
    return R"({"version":"r)" + std::to_string(version) + R"(","routes":[)" +
           route("r-read", "/read/", "safe", "reads") + "," +
           route("r-order", "/order/", "unsafe", "orders") + R"(],"services":[)" +
           service("reads") + "," + service("orders") +
           R"(],"limits":{"header-bytes":16384,"body-bytes":67108864,"header-timeout-s":3,)" +
           R"("idle-timeout-s":15},"tenants":[{"name":"tenant-1","api-keys":["key-1"],)" +
           R"("priority":1,"rate-per-s":0,"burst":0}]})";
}

std::string instance_entry(std::uint16_t port, const std::string& service, std::int64_t born,
                           const std::string& state)
{
    return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","born":)" +
           std::to_string(born) + R"(,"info":{"service":")" + service +
           R"(","version":"v1","zone":"kandy","slots":4},"status":{"state":")" + state +
           R"(","seq":1,"warmup-left-s":0}})";
}

instance::instance(std::string id, record& log, milliseconds work)
    : id_(std::move(id)), log_(log), work_(work), port_(free_port())
{
    listen_on(port_, [this](int socket) { serve(socket); });
}

void instance::serve(int socket)
{
    reader requests(socket);
    while (const auto request = requests.read(std::chrono::seconds(10)))
    {
        const auto id = request->headers.find("x-zinniaferry-request-id");
        int running = 0;
        {
            const std::lock_guard lock(mutex_);
            running = running_;
            running_ += id == request->headers.end() ? 0 : 1;
        }
        const std::string load =
            "X-Zinniaferry-Instance-Load: " + std::to_string(running) + ",0,4,100\r\n";
        std::string answer;
        if (id == request->headers.end())
        {
            answer = "HTTP/1.1 200 OK\r\nX-Zinniaferry-Instance-Id: " + id_ + "\r\n" + load +
                     "Content-Length: 0\r\n\r\n";
        }
        else
        {
            log_.write("instance " + id_ + " runs " + id->second + " (" + request->first_line +
                       ")");
            std::this_thread::sleep_for(work_);
            const std::string body = "done " + id->second;
            answer = "HTTP/1.1 200 OK\r\nX-Zinniaferry-Request-Id: " + id->second +
                     "\r\nX-Zinniaferry-Response-Signature: " + id_ + "." + id->second + "\r\n" +
                     load + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const std::lock_guard lock(mutex_);
            --running_;
        }
        if (!write_all(socket, answer))
        {
            return;
        }
    }
}

int send_request(std::uint16_t port, const std::string& method, const std::string& path,
                 const std::string& id, milliseconds limit)
{
    const int socket = connect_to(port);
    if (socket < 0)
    {
        return 0;
    }
    write_all(socket, method + " " + path + " HTTP/1.1\r\nHost: case.example\r\n" +
                          "X-Zinniaferry-Request-Id: " + id +
                          "\r\nX-Zinniaferry-Timeout-Remaining: " + std::to_string(limit.count()) +
                          "\r\nAuthorization: Bearer key-1\r\n" +
                          (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n");
    const auto answer = reader(socket).read(limit);
    ::close(socket);
    return answer ? std::atoi(answer->first_line.substr(9, 3).c_str()) : 0;
}

std::string temporary_folder()
{
    std::string name = "/tmp/review-3-XXXXXX";
    if (::mkdtemp(name.data()) == nullptr)
    {
        fail_to_run("no temporary folder");
    }
    return name;
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review3
