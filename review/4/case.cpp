/// A daemon that is cut off from the others and starts again takes itself for the whole fleet: it
/// grants each tenant's whole rate, which the hub of the others grants as well.
#include "../harness.hpp"

#include <algorithm>
#include <cstdio>
#include <signal.h>

using namespace review;

namespace
{

constexpr int rate = 40;
constexpr int burst = 40;
constexpr double quota_window_s = 5.0, quota_overage = 0.25,
                 quota_slack = 20.0; // `bounds` of the settings.
constexpr double bound = (rate * quota_window_s + burst) * (1.0 + quota_overage) + quota_slack;
constexpr int daemon_count = 4;
constexpr int clients_per_daemon = 4;
constexpr double requests_per_client_s = 15.0; // The tenant sends 240 a second, 6 times its rate.
constexpr double cut_s = 12.0;
constexpr double traffic_s = 30.0;
constexpr int limit_ms = 1500;

struct sent_request
{
    std::string id;
    int daemon = 0;
    double sent = 0.0;
    int status = 0;
};

} // namespace

int main()
{
    record out("review/4/record.txt");
    const std::string folder = temporary_folder();
    store store(loopback_ip(2));
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    for (int i = 0; i < 4; ++i)
    {
        instance::options options;
        options.id = "i-" + new_id().substr(0, 8);
        options.service = "catalogue";
        options.slots = 16;
        options.work_s = [](const message&)
        {
            return 0.005;
        };
        instances.push_back(std::make_unique<instance>(loopback_ip(10 + i), options, runs));
        store.write(instances.back()->store_key(), instances.back()->store_entry());
    }
    store.write(
        "op/config",
        configuration(
            7,
            R"([{"name":"r-1","host":"jepu9.example","prefix":"/cat/","kind":"safe","timeout-s":1.5,"slo-s":0.6,"priority":2,"service":"catalogue","attempts":1,"no-auth":false}])",
            "[" + service_entry("catalogue") + "]", rate, burst));
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::string> seeds;
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_process::options{"front-kandy-" + std::to_string(i + 1), "kandy",
                                    loopback_ip(30 + i), store.address()},
            folder));
        daemons.back()->choose_ports();
    }
    // Three seeds, as the pages have it. The last daemon reaches them through proxies.
    daemon_process& last = *daemons.back();
    std::vector<std::unique_ptr<proxy>> proxies;
    std::vector<std::string> proxied_seeds;
    for (int i = 0; i < 3; ++i)
    {
        seeds.push_back(daemons[i]->control());
        proxies.push_back(std::make_unique<proxy>(loopback_ip(50 + i), daemons[i]->control()));
        proxied_seeds.push_back(proxies.back()->address());
    }
    for (auto& daemon : daemons)
    {
        daemon->write_settings(daemon.get() == &last ? proxied_seeds : seeds);
        daemon->start();
    }
    for (auto& daemon : daemons)
    {
        if (!daemon->wait_until_ready(10.0))
        {
            std::fprintf(stderr, "%s is not ready\n", daemon->name().c_str());
            finish(2);
        }
    }
    sleep_s(6.0);
    std::atomic<bool> over{false};
    std::mutex mutex;
    std::vector<sent_request> all;
    std::vector<std::thread> clients;
    for (int i = 0; i < daemon_count * clients_per_daemon; ++i)
    {
        clients.emplace_back(
            [&, index = i % daemon_count]
            {
                connection to;
                double next = now_s();
                while (!over)
                {
                    next = std::max(next + 1.0 / requests_per_client_s, now_s() - 1.0);
                    sleep_s(next - now_s());
                    if (!to.open())
                    {
                        to = connect_to(daemons[index]->front(), 0.5);
                        if (!to.open())
                        {
                            continue;
                        }
                    }
                    sent_request own{new_id(), index, now_s(), 0};
                    to.send(client_request("GET", "jepu9.example", "/cat/1", own.id, limit_ms));
                    const message answer =
                        to.read_message(clock::now() + std::chrono::milliseconds(limit_ms), true);
                    own.status = answer.status();
                    if (!answer.complete || answer.header("Connection") == "close")
                    {
                        to.close();
                    }
                    const std::lock_guard lock(mutex);
                    all.push_back(own);
                }
            });
    }
    const double traffic_from = now_s();
    sleep_s(7.0);
    const double cut_at = now_s();
    if (trouble())
    {
        out.line("%s is cut off from the other daemons; its process is killed and starts again",
                 last.name().c_str());
        for (auto& proxy : proxies)
        {
            proxy->set_cut(true);
        }
        last.kill_and_wait();
        sleep_s(0.3);
        last.start();
    }
    sleep_s(cut_at + cut_s - now_s());
    out.line("the cut ends");
    for (auto& proxy : proxies)
    {
        proxy->set_cut(false);
    }
    sleep_s(traffic_from + traffic_s - now_s());
    over = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    // Requests that ran: when they were sent and when they arrived at their instance.
    struct arrival
    {
        double sent, arrived;
        int daemon;
    };
    std::vector<arrival> arrivals;
    std::map<std::string, double> began;
    for (const run& entry : runs.runs)
    {
        began.emplace(entry.id, entry.began);
    }
    std::map<int, int> statuses;
    for (const sent_request& own : all)
    {
        ++statuses[own.status];
        if (const auto found = began.find(own.id); found != began.end())
        {
            arrivals.push_back({own.sent, found->second, own.daemon});
        }
    }
    // The rule: in some window, more requests are both sent and arrive than the bound.
    int most = 0, most_at_last = 0;
    double most_from = 0.0;
    for (const arrival& first : arrivals)
    {
        int count = 0, at_last = 0;
        for (const arrival& other : arrivals)
        {
            const bool inside =
                other.sent >= first.sent && other.arrived <= first.sent + quota_window_s;
            count += inside ? 1 : 0;
            at_last += inside && other.daemon == daemon_count - 1 ? 1 : 0;
        }
        if (count > most)
        {
            most = count;
            most_at_last = at_last;
            most_from = first.sent;
        }
    }
    for (double from = traffic_from; from < traffic_from + traffic_s; from += 1.0)
    {
        int per_daemon[daemon_count] = {};
        for (const arrival& entry : arrivals)
        {
            per_daemon[entry.daemon] += entry.arrived >= from && entry.arrived < from + 1.0 ? 1 : 0;
        }
        out.line("second %+.0f from the cut: ran %d, %d, %d and %d requests of the four daemons",
                 from - cut_at, per_daemon[0], per_daemon[1], per_daemon[2], per_daemon[3]);
    }
    for (const auto& [status, count] : statuses)
    {
        out.line("status %d: %d", status, count);
    }
    char summary[240];
    std::snprintf(summary, sizeof summary,
                  "%zu requests sent, %zu ran; at most %d in %.0f s (%d through %s), from %+.1f s "
                  "after the cut; the "
                  "bound is %.0f",
                  all.size(), arrivals.size(), most, quota_window_s, most_at_last,
                  last.name().c_str(), most_from - cut_at, bound);
    out.line("%s", summary);
    std::printf("%s\n", summary);
    finish(most > bound ? 1 : 0);
}
