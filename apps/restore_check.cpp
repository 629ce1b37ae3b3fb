/// Checks real daemons of the operators' platform while its store is restored from backups. Runs a
/// fleet, stand-ins for the store and the backend servers, an operator and callers on loopback for
/// some seconds, with overlapping restorations, outages, configurations, replaced servers and
/// signals that a seed chooses. Checks CONFIG, DENIED, ROUTE and DRAIN by the checks of the model.
/// Prints the violations and a summary of each run; exit code 1: there were violations. It depends
/// on the machine's speed, so it is run by hand.
#include "model/checks.hpp"
#include "platform/decode.hpp"
#include "stand_in/program.hpp"
#include "test/support/daemon_process.hpp"
#include "test/support/platform_entries.hpp"
#include "test/support/restorable_store.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>

namespace
{

namespace asio = boost::asio;
using namespace zinniaferry;
using namespace std::chrono_literals;
using core::boot_clock_now;
using test_support::listed_server;

/// Time in which the daemons find each other before the disturbances begin.
constexpr core::duration calm_time = 5s;
/// Between disturbances: some calm seconds, in which the promises bind, follow some of them.
constexpr core::duration longest_pause = 5s;
constexpr core::duration request_interval = 60ms; ///< Of each daemon's caller.
constexpr core::duration work_time = 3ms;
/// A server that leaves serves for so long after its entry says so.
constexpr core::duration leaving_time = 4s;
constexpr std::size_t servers_per_service = 10;
constexpr std::size_t max_seeds = 3;

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

/// A daemon with the addresses that it keeps over restarts.
struct fleet_member
{
    test_support::temporary_folder folder{"restore"};
    test_support::daemon_ports ports;
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
            member.ports = {.front = port++, .ready = port++, .control = port++};
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
        for (const char* service : test_support::services)
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
        std::string seeds;
        for (std::size_t i = 0; i < std::min(max_seeds, members_.size()); ++i)
        {
            seeds += fmt::format(R"({}"127.0.0.1:{}")", seeds.empty() ? "" : ",",
                                 members_[i]->ports.control);
        }
        return test_support::settings_text(fmt::format("front-{}", index + 1),
                                           members_[index]->ports, seeds, store_.address());
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

    void publish()
    {
        store_.write("op/config",
                     [this]
                     {
                         const std::size_t index = history_.configurations.size();
                         const std::string text = test_support::configuration_text(index);
                         const auto decoded = platform::decode_configuration(text);
                         history_.configurations.push_back(
                             {std::make_shared<const config::configuration_index>(
                                  config::make_configuration_index(decoded)),
                              boot_clock_now()});
                         return std::optional(text);
                     });
    }

    listed_server& add_server(const std::string& service, core::duration warmup_left = {})
    {
        listed_server& added = *servers_.emplace_back(std::make_unique<listed_server>(
            io_, fmt::format("i-{}-{}", service, servers_.size()), service));
        added.warmup_left = warmup_left;
        spawn(stand_in::serve(
            added.acceptor,
            [this, &added](stand_in::http_request request)
            {
                return test_support::respond(
                    added, std::move(request), work_time,
                    [this, &added](const std::string& id, const std::string& stated_account)
                    { record_arrival(added, std::stoull(id), stated_account); });
            },
            added.connections));
        store_.write(added.key(), [&added] { return std::optional(added.entry()); });
        return added;
    }

    static void stop(listed_server& ended)
    {
        boost::system::error_code ignored;
        ended.acceptor.close(ignored);
        stand_in::reset_connections(ended.connections);
    }

    void record_arrival(const listed_server& own, std::uint64_t request,
                        const std::string& stated_account)
    {
        history_.arrivals.push_back({.request = request,
                                     .daemon = history_.requests[request].daemon,
                                     .server = own.id,
                                     .incarnation = 1,
                                     .service = own.service,
                                     .data_centre = "z",
                                     .account = stated_account,
                                     .sent_at = boot_clock_now(),
                                     .arrived_at = boot_clock_now(),
                                     .ran = true});
    }

    // Chooses among the last four versions, so that some have been replaced.
    void choose_path_and_key(model::request_record& record)
    {
        const std::size_t count = history_.configurations.size();
        const std::size_t version =
            count - 1 - core::uniform_index(random_, std::min<std::size_t>(count, 4));
        const double kind = core::uniform(random_);
        record.path = kind < 0.3   ? "/keep/1"
                      : kind < 0.7 ? "/flip/1"
                                   : test_support::passing_path(version) + "1";
        record.key = kind < 0.3 ? test_support::passing_key(version) : test_support::lasting_key;
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
        const std::string text =
            test_support::request_text(record.path, std::to_string(number), record.key);
        const auto status =
            co_await test_support::send_request(members_[record.daemon]->ports.front, text);
        if (status)
        {
            history_.requests[number].status = *status;
            history_.requests[number].answered_at = boot_clock_now();
        }
    }

    void interrupt_store(core::duration time, bool is_restored)
    {
        if (!store_.is_up())
        {
            return;
        }
        record_disturbance_of_all(time);
        if (is_restored)
        {
            const core::time_point now = boot_clock_now();
            history_.store_restorations.push_back({now, now + time});
        }
        store_.interrupt(time, is_restored);
    }

    void replace_server()
    {
        std::vector<listed_server*> listed;
        for (const auto& entry : servers_)
        {
            if (!entry->is_leaving)
            {
                listed.push_back(entry.get());
            }
        }
        listed_server& old = *listed[core::uniform_index(random_, listed.size())];
        warm_up(add_server(old.service, 2 * test_support::heartbeat_interval));
        old.is_leaving = true;
        ++old.sequence;
        store_.write(old.key(),
                     [this, &old]
                     {
                         history_.departures.push_back({old.id, 1, boot_clock_now()});
                         return std::optional(old.entry());
                     });
        after(leaving_time,
              [this, &old]
              {
                  store_.write(old.key(), [] { return std::optional<std::string>(); });
                  after(leaving_time, [&old] { stop(old); });
              });
    }

    // A server that has started is cold, and states with each heartbeat for how long.
    void warm_up(listed_server& started)
    {
        for (int beats = 1; beats <= 2; ++beats)
        {
            after(beats * test_support::heartbeat_interval,
                  [this, &started]
                  {
                      started.warmup_left -= test_support::heartbeat_interval;
                      ++started.sequence;
                      if (store_.is_up())
                      {
                          store_.write(started.key(),
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
                    history_.requests.size(), served, history_.configurations.size(),
                    store_.restorations(), store_.calls());
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
    test_support::restorable_store store_{io_, random_};
    model::history history_;
    std::vector<std::unique_ptr<listed_server>> servers_;
    std::vector<std::unique_ptr<fleet_member>> members_;
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
