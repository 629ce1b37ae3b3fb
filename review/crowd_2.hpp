/// A crowd of clients that sends bodies of legal size which stop just short of their end, for cases
/// 7 and 9. The stand-in of the platform ends a daemon that exceeds the memory of its machine, as
/// the platform does. The case holds if none is ended.
#pragma once

#include "case_main_2.hpp"

#include <csignal>

namespace review::crowd
{

constexpr const char* host = "patterns.example";
constexpr const char* key = "key-a";
/// As on all machines of kmh-ferry, and on most of kmh-ferry-grown.
constexpr int max_fds = 4100;
constexpr std::size_t bytes_kept_back = 10;
/// `body-bytes`.
constexpr std::size_t largest_body_bytes = 67'108'864;

struct crowd_options
{
    int memory_mb;
    std::size_t clients;
    std::size_t header_bytes; ///< `header-bytes` is 16,384.
    std::size_t field_bytes;  ///< Of each of the further fields.
    std::size_t body_bytes;
    bool with_large_body; ///< A further client sends one body of the largest legal size whole.
};

/// Defined by the case.
const crowd_options& chosen();

std::vector<std::unique_ptr<instance>> instances;

void set_up(case_context& context)
{
    for (int i = 0; i < 4; ++i)
    {
        instances.push_back(std::make_unique<instance>(
            context.io, context.record, context.runs,
            instance::options{.id = "i-" + std::to_string(i),
                              .service = "patterns",
                              .zone = "kandy",
                              .born = 1'700'000'000'000ULL + static_cast<std::uint64_t>(i)}));
        context.platform.write(instances.back()->key(), instances.back()->describe());
    }
    context.platform.write("op/config",
                           configuration(10, {{"r-read", host, "/read/", "safe", "patterns"}},
                                         {"patterns"}, {{"tenant-a", {key}}}));
}

pid_t pid_of(const case_context& context, const daemon_place& place)
{
    pid_t pid = 0;
    std::ifstream(context.folder + "/" + place.node + ".pid") >> pid;
    return pid;
}

// Largest resident memory so far in MB; 0 if the process has ended.
double peak_resident_mb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
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

/// What the platform has seen of a daemon's memory.
struct memory_watch
{
    double peak_mb = 0.0;
    bool ended = false;
};

// "A process that exceeds `memory-mb` is killed" (DEPLOY.md).
asio::awaitable<void> watch_memory(case_context& context, memory_watch& watch)
{
    const pid_t pid = pid_of(context, context.places.front());
    while (!watch.ended)
    {
        const double now_mb = peak_resident_mb(pid);
        watch.peak_mb = std::max(watch.peak_mb, now_mb);
        if (now_mb > chosen().memory_mb)
        {
            context.record.write("the daemon takes " + std::to_string(now_mb) + " MB of " +
                                 std::to_string(chosen().memory_mb) + ": the platform kills it");
            ::kill(pid, SIGKILL);
            watch.ended = true;
        }
        co_await sleep_for(milliseconds(10));
    }
}

std::string crowd_header(std::size_t number)
{
    std::string out = "POST /read/sheet HTTP/1.1\r\nHost: " + std::string(host) +
                      "\r\nX-Zinniaferry-Request-Id: crowd-" + std::to_string(number) +
                      "\r\nX-Zinniaferry-Timeout-Remaining: 3000\r\nAuthorization: Bearer " + key +
                      "\r\nContent-Length: " + std::to_string(chosen().body_bytes) + "\r\n";
    const std::size_t field_bytes = chosen().field_bytes;
    for (int field = 0; out.size() + field_bytes + 8 < chosen().header_bytes; ++field)
    {
        const std::string name = "f" + std::to_string(field) + ":";
        out += name + std::string(field_bytes - std::min(field_bytes, name.size() + 2) + 1, '1') +
               "\r\n";
    }
    return out + "\r\n";
}

// Sends a request, without the last bytes of its body, and stays open.
asio::awaitable<void> stall(case_context& context, std::size_t number,
                            std::shared_ptr<tcp::socket> socket)
{
    beast::error_code error;
    co_await socket->async_connect(to_endpoint(context.places.front().front_address()),
                                   asio::redirect_error(asio::use_awaitable, error));
    const std::string sent =
        crowd_header(number) + std::string(chosen().body_bytes - bytes_kept_back, 'x');
    if (!error)
    {
        co_await asio::async_write(*socket, asio::buffer(sent),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    context.record.write("sent: crowd-" + std::to_string(number) + ", " +
                         std::to_string(sent.size()) + " bytes" + (error ? ", not all" : ""));
    std::array<char, 1024> answer{};
    const std::size_t size = co_await socket->async_read_some(
        asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    context.record.write("crowd: crowd-" + std::to_string(number) + " got " +
                         (size > 0 ? std::string(answer.data(), std::min<std::size_t>(size, 12))
                                   : "a closed connection"));
}

// Sends a body of the largest legal size whole.
asio::awaitable<void> send_large_body(case_context& context)
{
    client_request sent;
    sent.to = context.places.front().front_address();
    sent.id = "large-1";
    sent.method = "POST";
    sent.host = host;
    sent.target = "/read/sheet";
    sent.key = key;
    sent.body.assign(largest_body_bytes, 'x');
    sent.time_left_ms = 3000;
    context.record.write("sent: large-1, " + std::to_string(largest_body_bytes) + " bytes of body");
    const client_answer answer = co_await send(std::move(sent));
    context.record.write("the large body got status " + std::to_string(answer.status));
}

// An ordinary caller that sends a request every 100 ms.
asio::awaitable<void> send_steadily(case_context& context, std::map<unsigned, int>& answers)
{
    for (int n = 0;; ++n)
    {
        client_request sent;
        sent.to = context.places.front().front_address();
        sent.id = "ordinary-" + std::to_string(n);
        sent.host = host;
        sent.target = "/read/sheet";
        sent.key = key;
        const std::string id = sent.id;
        context.record.write("sent: " + id);
        const client_answer answer = co_await send(std::move(sent));
        ++answers[answer.status];
        context.record.write("answer: " + id + " status " + std::to_string(answer.status));
        co_await sleep_for(milliseconds(100));
    }
}

// One request of the crowd's kind, but whole.
asio::awaitable<bool> is_single_request_served(case_context& context)
{
    tcp::socket socket(context.io);
    beast::error_code error;
    co_await socket.async_connect(to_endpoint(context.places.front().front_address()),
                                  asio::redirect_error(asio::use_awaitable, error));
    const std::string sent = crowd_header(999'999) + std::string(chosen().body_bytes, 'x');
    co_await asio::async_write(socket, asio::buffer(sent),
                               asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 1024> answer{};
    const std::size_t size = co_await socket.async_read_some(
        asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    const std::string got(answer.data(), std::min<std::size_t>(size, 12));
    context.record.write("one whole request of the crowd's kind got " + got);
    co_return got == "HTTP/1.1 200";
}

asio::awaitable<verdict> run_crowd(case_context& context)
{
    static std::map<unsigned, int> answers;
    static memory_watch watch;
    asio::co_spawn(context.io, send_steadily(context, answers), asio::detached);
    asio::co_spawn(context.io, watch_memory(context, watch), asio::detached);
    co_await sleep_for(milliseconds(1000));
    const bool single_served = co_await is_single_request_served(context);
    if (!single_served || answers[200] == 0)
    {
        co_return verdict::could_not_run;
    }
    for (std::size_t i = 0; context.trouble && i < chosen().clients; ++i)
    {
        asio::co_spawn(context.io, stall(context, i, std::make_shared<tcp::socket>(context.io)),
                       asio::detached);
        if (i % 50 == 49)
        {
            co_await sleep_for(milliseconds(5));
        }
    }
    if (context.trouble && chosen().with_large_body)
    {
        co_await sleep_for(milliseconds(200));
        asio::co_spawn(context.io, send_large_body(context), asio::detached);
    }
    co_await sleep_for(milliseconds(8000));
    context.record.write("peak " + std::to_string(watch.peak_mb) + " MB of " +
                         std::to_string(chosen().memory_mb) +
                         "; ordinary requests: " + std::to_string(answers[200]) + " got 200, " +
                         std::to_string(answers[0]) + " no answer");
    co_return watch.ended ? verdict::broken : verdict::held;
}

int run(int argc, char** argv)
{
    return run_case(argc, argv,
                    {.zones = {"kandy"}, .memory_mb = chosen().memory_mb, .max_fds = max_fds},
                    set_up, run_crowd);
}

} // namespace review::crowd
