/// Case: the configuration's limits allow headers of 128 KiB, and a client sends a request with a
/// header of 70,000 bytes. Checks that the daemon does not end.
#include "case_main.hpp"

#include <csignal>

namespace
{

using namespace review;

constexpr const char* host = "branch.example";
constexpr const char* key = "key-a";
constexpr int header_bytes = 131'072;
constexpr std::size_t cookie_bytes = 70'000;
constexpr std::size_t shorter_cookie_bytes = 60'000;

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
                                         {"patterns"}, {{"tenant-a", {key}}}, header_bytes));
}

bool is_alive(const case_context& context, const daemon_place& place)
{
    pid_t pid = 0;
    std::ifstream(context.folder + "/" + place.node + ".pid") >> pid;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with("State:"))
        {
            return line.find('Z') == std::string::npos;
        }
    }
    return false;
}

// An ordinary caller that sends a request every 50 ms.
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
        const client_answer answer = co_await send(std::move(sent));
        ++answers[answer.status];
        context.record.write("answer: " + id + " status " + std::to_string(answer.status));
        co_await sleep_for(milliseconds(50));
    }
}

asio::awaitable<std::string> send_cookie(case_context& context, std::size_t bytes)
{
    tcp::socket socket(context.io);
    beast::error_code error;
    co_await socket.async_connect(to_endpoint(context.places.front().front_address()),
                                  asio::redirect_error(asio::use_awaitable, error));
    const std::string sent = "GET /read/sheet HTTP/1.1\r\nHost: " + std::string(host) +
                             "\r\nX-Zinniaferry-Request-Id: cookie-" + std::to_string(bytes) +
                             "\r\nX-Zinniaferry-Timeout-Remaining: 2000\r\nAuthorization: Bearer " +
                             key + "\r\nCookie: " + std::string(bytes, 'y') + "\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(sent),
                               asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 1024> answer{};
    const std::size_t size = co_await socket.async_read_some(
        asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
    const std::string got = size > 0 ? std::string(answer.data(), std::min<std::size_t>(size, 12))
                                     : "a closed connection";
    context.record.write("a header with a cookie of " + std::to_string(bytes) + " bytes got " +
                         got);
    co_return got;
}

asio::awaitable<verdict> run(case_context& context)
{
    static std::map<unsigned, int> answers;
    asio::co_spawn(context.io, send_steadily(context, answers), asio::detached);
    co_await sleep_for(milliseconds(1000));
    const std::string shorter = co_await send_cookie(context, shorter_cookie_bytes);
    if (shorter != "HTTP/1.1 200" || answers[200] == 0)
    {
        co_return verdict::could_not_run;
    }
    if (context.trouble)
    {
        co_await send_cookie(context, cookie_bytes);
    }
    co_await sleep_for(milliseconds(3000));
    const bool alive = is_alive(context, context.places.front());
    context.record.write(std::string("the daemon ") + (alive ? "runs" : "has ended") +
                         "; ordinary requests: " + std::to_string(answers[200]) + " got 200, " +
                         std::to_string(answers[0]) + " no answer");
    co_return alive ? verdict::held : verdict::broken;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, {.zones = {"kandy"}}, set_up, run);
}
