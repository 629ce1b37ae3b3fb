/// Checks real daemons of the operators' platform while its store is restored from backups. Runs a
/// fleet, stand-ins for the store and the backend servers, an operator and callers on loopback for
/// some seconds, with overlapping restorations, outages, configurations, replaced servers and
/// signals that a seed chooses. Checks CONFIG, DENIED, ROUTE and DRAIN by the checks of the model.
/// Prints the violations and a summary of each run; exit code 1: there were violations. It depends
/// on the machine's speed, so it is run by hand.
#include "model/checks.hpp"
#include "net/await_error.hpp"
#include "platform/decode.hpp"
#include "stand_in/program.hpp"
#include "test/support/daemon_process.hpp"
#include "test/support/store_stand_in.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <deque>

namespace
{

namespace asio = boost::asio;
using namespace zinniaferry;
using namespace std::chrono_literals;
using asio::ip::tcp;
using core::boot_clock_now;

/// Time in which the daemons find each other before the disturbances begin.
constexpr core::duration calm_time = 5s;
/// Between disturbances: some calm seconds, in which the promises bind, follow some of them.
constexpr core::duration longest_pause = 5s;
constexpr core::duration request_interval = 60ms; ///< Of each daemon's caller.
constexpr core::duration work_time = 3ms;
constexpr core::duration heartbeat_interval = 1500ms;
constexpr core::duration entry_lifetime = 3 * heartbeat_interval;
/// A server that leaves serves for so long after its entry says so.
constexpr core::duration leaving_time = 4s;
constexpr core::duration backup_interval = 400ms;
constexpr std::size_t max_backups = 15;
constexpr std::size_t servers_per_service = 10;
constexpr std::array services = {"orarend", "jovahagyas"};
constexpr const char* account = "school";
constexpr const char* lasting_key = "lasting-key";

struct run_options
{
    std::string program;
    std::size_t daemons = 16;
    std::uint64_t seed = 1;
    core::duration length = 40s;
    std::string log_folder; ///< The daemons' logs are kept there; empty for none.
    /// Of the daemons, in sequence. Below the ports that the system assigns to the stand-ins.
    std::uint16_t first_port = 27000;
};

std::string passing_key(std::size_t version)
{
    return fmt::format("key-{}", version);
}

std::string passing_path(std::size_t version)
{
    return fmt::format("/version/{}/", version);
}

std::string route_text(const std::string& prefix, const std::string& service)
{
    return fmt::format(
        R"({{"name":"{0}","host":"","prefix":"{0}","kind":"safe","timeout-s":3,"slo-s":1,)"
        R"("priority":1,"service":"{1}","attempts":2,"no-auth":false}})",
        prefix, service);
}

// Each version moves a route to the other service, and adds and drops a route and a key.
std::string configuration_text(std::size_t index)
{
    std::string routes = route_text("/keep/", services[0]) + "," +
                         route_text("/flip/", services[index % services.size()]);
    std::string keys = fmt::format(R"("{}")", lasting_key);
    for (std::size_t version = index > 0 ? index - 1 : 0; version <= index; ++version)
    {
        routes += "," + route_text(passing_path(version), services[0]);
        keys += fmt::format(R"(,"{}")", passing_key(version));
    }
    std::string listed;
    for (const char* name : services)
    {
        listed += fmt::format(R"({}{{"name":"{}","health-path":"/health","max-conns":260,)"
                              R"("warmup-s":3.0,"warmup-per-s":50.0}})",
                              listed.empty() ? "" : ",", name);
    }
    return fmt::format(
        R"({{"version":"r{}","routes":[{}],"services":[{}],"limits":{{"header-bytes":16384,)"
        R"("body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":15}},"tenants":[{{)"
        R"("name":"{}","api-keys":[{}],"priority":1,"rate-per-s":0,"burst":0}}]}})",
        index + 1, routes, listed, account, keys);
}

/// A backend server with a listener of its own.
struct server
{
    server(asio::io_context& io, std::string server_id, std::string server_service)
        : id(std::move(server_id)), service(std::move(server_service)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
          port(acceptor.local_endpoint().port())
    {
    }

    std::string key() const { return "servers/" + id; }

    std::string entry() const
    {
        return fmt::format(
            R"({{"address":"127.0.0.1:{}","born":1,"info":{{"service":"{}","version":"v1",)"
            R"("zone":"z","slots":16}},"status":{{"state":"{}","seq":{},"warmup-left-s":{}}}}})",
            port, service, is_leaving ? "draining" : "ready", sequence,
            core::to_seconds(warmup_left));
    }

    std::string id;
    std::string service;
    tcp::acceptor acceptor;
    std::uint16_t port;
    stand_in::connection_set connections;
    bool is_leaving = false;
    core::duration warmup_left{};
    std::uint64_t sequence = 1;
};

/// A daemon with the addresses that it keeps over restarts.
struct fleet_member
{
    test_support::temporary_folder folder{"restore"};
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::unique_ptr<test_support::daemon_process> process;
    std::uint64_t starts = 0;
};

/// One run, on one thread.
class restore_run
{
public:
    explicit restore_run(run_options options) : options_(std::move(options))
    {
        random_.seed(options_.seed);
        history_.daemon_disturbances.resize(options_.daemons);
        std::uint16_t port = options_.first_port;
        for (std::size_t i = 0; i < options_.daemons; ++i)
        {
            fleet_member& member = *members_.emplace_back(std::make_unique<fleet_member>());
            member.front = port++;
            member.ready = port++;
            member.control = port++;
        }
    }

    ~restore_run()
    {
        is_over_ = true;
        for (const auto& member : members_)
        {
            member->process.reset();
        }
        store_.stop();
        for (const auto& entry : servers_)
        {
            stop(*entry);
        }
        io_.restart();
        io_.run_for(200ms);
    }
    restore_run(const restore_run&) = delete;
    restore_run& operator=(const restore_run&) = delete;

    // Returns the number of violations.
    std::size_t run()
    {
        for (const char* service : services)
        {
            for (std::size_t i = 0; i < servers_per_service; ++i)
            {
                add_server(service);
            }
        }
        publish();
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            start(i);
        }
        spawn(take_backups());
        spawn(disturb());
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            spawn(call(i));
        }
        io_.run_for(options_.length);
        return report();
    }

private:
    void spawn(asio::awaitable<void> task) { asio::co_spawn(io_, std::move(task), asio::detached); }

    asio::awaitable<void> pause(core::duration time)
    {
        asio::steady_timer timer(io_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    // Runs the action after a delay.
    void after(core::duration delay, std::function<void()> action)
    {
        spawn(
            [](restore_run& run, core::duration time,
               std::function<void()> act) -> asio::awaitable<void>
            {
                co_await run.pause(time);
                if (!run.is_over_)
                {
                    act();
                }
            }(*this, delay, std::move(action)));
    }

    core::duration between(core::duration low, core::duration high)
    {
        return low + core::from_seconds(core::to_seconds(high - low) * core::uniform(random_));
    }

    std::string settings_of(std::size_t index) const
    {
        const fleet_member& member = *members_[index];
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, members_.size()); ++i)
        {
            seeds +=
                fmt::format(R"({}"127.0.0.1:{}")", seeds.empty() ? "" : ",", members_[i]->control);
        }
        return fmt::format(
            R"({{"node":"front-{}","role":"ferry","ip":"127.0.0.1","zone":"z","listen":{{)"
            R"("front":"127.0.0.1:{}","ready":"127.0.0.1:{}","control":"127.0.0.1:{}"}},)"
            R"("seeds":[{}],"heartbeat-s":1.5,"limits":{{"memory-mb":260,"max-fds":4100,)"
            R"("link-mbps":1000.0}},"bounds":["grace-s=6"],"provider":{{"address":"{}"}}}})",
            index + 1, member.front, member.ready, member.control, seeds, store_.address());
    }

    void start(std::size_t index)
    {
        fleet_member& member = *members_[index];
        ++member.starts;
        member.process = std::make_unique<test_support::daemon_process>(
            options_.program, member.folder.path, settings_of(index));
    }

    void record_disturbance(std::size_t index, core::duration time)
    {
        const core::time_point now = boot_clock_now();
        history_.daemon_disturbances[index].push_back({now, now + time});
    }

    void record_disturbance_of_all(core::duration time)
    {
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            record_disturbance(i, time);
        }
    }

    bool is_store_up() const { return !store_.forced_status; }

    // Writes now, or as soon as the store is up.
    void write(const std::string& key, std::function<std::optional<std::string>()> value)
    {
        if (!is_store_up())
        {
            after(100ms, [this, key, value] { write(key, value); });
            return;
        }
        const auto text = value();
        text ? store_.write(key, *text) : store_.remove(key);
        written_since_restoration_.insert(key);
    }

    void publish()
    {
        write("op/config",
              [this]
              {
                  const std::size_t index = history_.configurations.size();
                  const std::string text = configuration_text(index);
                  const auto decoded = platform::decode_configuration(text);
                  history_.configurations.push_back(
                      {std::make_shared<const config::configuration_index>(
                           config::make_configuration_index(decoded)),
                       boot_clock_now()});
                  return std::optional(text);
              });
    }

    server& add_server(const std::string& service, core::duration warmup_left = {})
    {
        server& added = *servers_.emplace_back(std::make_unique<server>(
            io_, fmt::format("i-{}-{}", service, servers_.size()), service));
        added.warmup_left = warmup_left;
        spawn(stand_in::serve(
            added.acceptor,
            [this,
             &added](stand_in::http_request request) -> asio::awaitable<stand_in::http_response>
            { return respond(added, std::move(request)); },
            added.connections));
        write(added.key(), [&added] { return std::optional(added.entry()); });
        return added;
    }

    static void stop(server& ended)
    {
        boost::system::error_code ignored;
        ended.acceptor.close(ignored);
        stand_in::reset_connections(ended.connections);
    }

    asio::awaitable<stand_in::http_response> respond(server& own, stand_in::http_request request)
    {
        const auto value = [&](std::string_view name)
        {
            return stand_in::find_value(request.headers, name);
        };
        stand_in::http_response out;
        out.headers = {{"X-Zinniaferry-Instance-Load", "0,0,16,100"}, {"Keep-Alive", "timeout=10"}};
        if (request.path == "/health")
        {
            out.headers.emplace_back("X-Zinniaferry-Instance-Id", own.id);
            co_return out;
        }
        const std::string id = value("x-zinniaferry-request-id");
        out.headers.emplace_back("X-Zinniaferry-Request-Id", id);
        const std::string expected = value("x-zinniaferry-expect-instance");
        if (!expected.empty() && expected != own.id)
        {
            out.headers.emplace_back("X-Zinniaferry-Not-Executed", "1");
            out.status = 421;
            co_return out;
        }
        const std::uint64_t request_number = std::stoull(id);
        history_.arrivals.push_back({.request = request_number,
                                     .daemon = history_.requests[request_number].daemon,
                                     .server = own.id,
                                     .incarnation = 1,
                                     .service = own.service,
                                     .data_centre = "z",
                                     .account = value("x-zinniaferry-tenant"),
                                     .sent_at = boot_clock_now(),
                                     .arrived_at = boot_clock_now(),
                                     .ran = true});
        co_await pause(work_time);
        out.headers.emplace_back("X-Zinniaferry-Response-Signature", "1." + id);
        out.body = "done";
        co_return out;
    }

    // Chooses among the last four versions, so that some have been replaced.
    void choose_path_and_key(model::request_record& record)
    {
        const std::size_t count = history_.configurations.size();
        const std::size_t version =
            count - 1 - core::uniform_index(random_, std::min<std::size_t>(count, 4));
        const double kind = core::uniform(random_);
        record.path = kind < 0.3 ? "/keep/1" : kind < 0.7 ? "/flip/1" : passing_path(version) + "1";
        record.key = kind < 0.3 ? passing_key(version) : lasting_key;
    }

    asio::awaitable<void> call(std::size_t daemon)
    {
        co_await pause(2s);
        while (!is_over_)
        {
            co_await pause(request_interval);
            const std::uint64_t number = history_.requests.size();
            model::request_record record = {.id = number,
                                            .daemon = daemon,
                                            .process = daemon * 1000 + members_[daemon]->starts,
                                            .sent_at = boot_clock_now()};
            choose_path_and_key(record);
            history_.requests.push_back(record);
            spawn(send(number));
        }
    }

    asio::awaitable<void> send(std::uint64_t number)
    {
        const model::request_record record = history_.requests[number];
        const std::string text = fmt::format(
            "GET {} HTTP/1.1\r\nHost: school.example\r\nX-Zinniaferry-Request-Id: {}\r\n"
            "X-Zinniaferry-Timeout-Remaining: 2500\r\nAuthorization: Bearer {}\r\n"
            "Connection: close\r\n\r\n",
            record.path, number, record.key);
        tcp::socket socket(io_);
        boost::system::error_code error;
        co_await socket.async_connect(
            {asio::ip::make_address("127.0.0.1"), members_[record.daemon]->front},
            net::redirect_error_to(error));
        if (!error)
        {
            co_await asio::async_write(socket, asio::buffer(text), net::redirect_error_to(error));
        }
        std::string line;
        if (!error)
        {
            co_await asio::async_read_until(socket, asio::dynamic_buffer(line), "\r\n",
                                            net::redirect_error_to(error));
        }
        if (!error && line.size() > 12)
        {
            history_.requests[number].status =
                static_cast<unsigned>(std::strtoul(line.c_str() + 9, nullptr, 10));
            history_.requests[number].answered_at = boot_clock_now();
        }
    }

    asio::awaitable<void> take_backups()
    {
        while (!is_over_)
        {
            if (is_store_up())
            {
                backups_.push_back(store_.back_up());
            }
            if (backups_.size() > max_backups)
            {
                backups_.pop_front();
            }
            co_await pause(backup_interval);
        }
    }

    // The store answers nothing but refusals for a time, and may come back from a backup.
    void interrupt_store(core::duration time, bool is_restored)
    {
        if (!is_store_up())
        {
            return;
        }
        record_disturbance_of_all(time);
        if (is_restored)
        {
            const core::time_point now = boot_clock_now();
            history_.store_restorations.push_back({now, now + time});
        }
        store_.forced_status = 503;
        after(time,
              [this, is_restored]
              {
                  store_.forced_status.reset();
                  if (is_restored)
                  {
                      restore();
                  }
              });
    }

    void restore()
    {
        const auto lost = store_.back_up();
        const auto backup = backups_[core::uniform_index(random_, backups_.size())];
        // A later backup holds what is lost now.
        std::erase_if(backups_,
                      [&](const auto& entry) { return entry.revision > backup.revision; });
        store_.restore(backup);
        ++restorations_;
        written_since_restoration_.clear();
        std::set<std::string> keys;
        for (const auto& [key, item] : lost.items)
        {
            const auto kept = backup.items.find(key);
            if (kept == backup.items.end() || kept->second.first != item.first)
            {
                keys.insert(key);
                write_again(key, item.first);
            }
        }
        for (const auto& [key, item] : backup.items)
        {
            if (!lost.items.contains(key))
            {
                write_again(key, std::nullopt);
            }
        }
    }

    // The operator writes at once, a server with its next heartbeat; the entry of one that has left
    // expires.
    void write_again(const std::string& key, const std::optional<std::string>& value)
    {
        const core::duration delay = key == "op/config" ? 50ms
                                     : value            ? between(0s, heartbeat_interval)
                                                        : entry_lifetime;
        const std::size_t restoration = restorations_;
        after(delay,
              [this, key, value, restoration]
              {
                  if (restoration == restorations_ && !written_since_restoration_.contains(key))
                  {
                      write(key, [value] { return value; });
                  }
              });
    }

    void replace_server()
    {
        std::vector<server*> listed;
        for (const auto& entry : servers_)
        {
            if (!entry->is_leaving)
            {
                listed.push_back(entry.get());
            }
        }
        server& old = *listed[core::uniform_index(random_, listed.size())];
        warm_up(add_server(old.service, 2 * heartbeat_interval));
        old.is_leaving = true;
        ++old.sequence;
        write(old.key(),
              [this, &old]
              {
                  history_.departures.push_back({old.id, 1, boot_clock_now()});
                  return std::optional(old.entry());
              });
        after(leaving_time,
              [this, &old]
              {
                  write(old.key(), [] { return std::optional<std::string>(); });
                  after(leaving_time, [&old] { stop(old); });
              });
    }

    // A server that has started is cold, and states with each heartbeat for how long.
    void warm_up(server& started)
    {
        for (int beats = 1; beats <= 2; ++beats)
        {
            after(beats * heartbeat_interval,
                  [this, &started]
                  {
                      started.warmup_left -= heartbeat_interval;
                      ++started.sequence;
                      if (is_store_up())
                      {
                          write(started.key(),
                                [&started] { return std::optional(started.entry()); });
                      }
                  });
        }
    }

    void publish_several()
    {
        const std::size_t count = 1 + core::uniform_index(random_, 4);
        for (std::size_t i = 0; i < count; ++i)
        {
            after(i * 300ms, [this] { publish(); });
        }
    }

    void stop_or_kill(std::size_t index, int number)
    {
        constexpr core::duration longest_stop = 8s;
        record_disturbance(index, longest_stop);
        members_[index]->process->send_signal(number);
        spawn(restart_when_ended(index));
    }

    asio::awaitable<void> restart_when_ended(std::size_t index)
    {
        while (!is_over_ && members_[index]->process->alive())
        {
            co_await pause(50ms);
        }
        co_await pause(between(100ms, 1s));
        if (!is_over_ && !members_[index]->process->alive())
        {
            start(index);
        }
    }

    void disturb_once()
    {
        const std::size_t daemon = core::uniform_index(random_, members_.size());
        switch (core::uniform_index(random_, 14))
        {
        case 0:
        case 1:
        case 2:
            interrupt_store(between(100ms, 1500ms), true);
            break;
        case 3:
            interrupt_store(between(200ms, 4s), false);
            break;
        case 4:
            stop_or_kill(daemon, SIGTERM);
            break;
        case 5:
            stop_or_kill(daemon, SIGKILL);
            break;
        case 6:
            members_[daemon]->process->send_signal(SIGHUP);
            break;
        case 7:
        case 8:
            replace_server();
            break;
        default:
            publish_several();
        }
    }

    asio::awaitable<void> disturb()
    {
        co_await pause(calm_time);
        while (!is_over_)
        {
            disturb_once();
            co_await pause(between(200ms, longest_pause));
        }
    }

    std::size_t report()
    {
        std::vector<model::violation> found;
        model::check_configurations(history_, {}, found);
        model::check_servers(history_, {}, found);
        for (const model::violation& entry : found)
        {
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(options_.seed),
                        model::to_string(entry).c_str());
        }
        const auto served = std::count_if(history_.requests.begin(), history_.requests.end(),
                                          [](const auto& entry) { return entry.status == 200; });
        std::printf("seed %llu: %zu violations; %zu requests, %td served, %zu versions, "
                    "%zu restorations, %zu calls to the store\n",
                    static_cast<unsigned long long>(options_.seed), found.size(),
                    history_.requests.size(), served, history_.configurations.size(), restorations_,
                    store_.call_count);
        keep_logs();
        return found.size();
    }

    void keep_logs() const
    {
        for (std::size_t i = 0; i < members_.size() && !options_.log_folder.empty(); ++i)
        {
            std::filesystem::create_directories(options_.log_folder);
            std::error_code ignored;
            std::filesystem::copy_file(members_[i]->folder.path / "daemon.log",
                                       std::filesystem::path(options_.log_folder) /
                                           fmt::format("{}-front-{}.log", options_.seed, i + 1),
                                       std::filesystem::copy_options::overwrite_existing, ignored);
        }
    }

    run_options options_;
    core::random_generator random_;
    asio::io_context io_{1};
    test_support::store_stand_in store_{io_};
    model::history history_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<fleet_member>> members_;
    std::deque<test_support::store_stand_in::backup> backups_;
    std::set<std::string> written_since_restoration_;
    std::size_t restorations_ = 0;
    bool is_over_ = false;
};

core::result<int> check(const cxxopts::ParseResult& options)
{
    const auto first = options["seed"].as<std::uint64_t>();
    std::size_t violations = 0;
    for (std::uint64_t i = 0; i < options["seeds"].as<std::uint64_t>(); ++i)
    {
        restore_run run({.program = options["daemon"].as<std::string>(),
                         .daemons = options["daemons"].as<std::size_t>(),
                         .seed = first + i,
                         .length = core::from_seconds(options["seconds"].as<double>()),
                         .log_folder = options["logs"].as<std::string>(),
                         .first_port = options["port"].as<std::uint16_t>()});
        violations += run.run();
        std::fflush(stdout);
    }
    return violations > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("restore_check",
                             "Checks real daemons while their platform's store is restored.\n"
                             "Exit code 1: violations were found; 2: invalid options");
    // clang-format off
    options.add_options()
        ("daemon", "Program of the daemon",
            cxxopts::value<std::string>()->default_value("build/bin/zinniaferry-platform"))
        ("seed", "Seed of the first run", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("seeds", "Number of runs, with consecutive seeds",
            cxxopts::value<std::uint64_t>()->default_value("1"))
        ("daemons", "Daemons of the fleet", cxxopts::value<std::size_t>()->default_value("16"))
        ("seconds", "Length of a run", cxxopts::value<double>()->default_value("40"))
        ("port", "First port of the daemons",
            cxxopts::value<std::uint16_t>()->default_value("27000"))
        ("logs", "Folder for the daemons' logs", cxxopts::value<std::string>()->default_value(""));
    // clang-format on
    return stand_in::run_program(options, argc, argv, check);
}
