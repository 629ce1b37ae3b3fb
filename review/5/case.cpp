/// A daemon that is cut off from the others and starts again takes itself for the whole fleet: it
/// grants each tenant's whole rate, which the hub of the others grants as well.
#include "../harness.hpp"

#include <algorithm>
#include <cstdio>
#include <signal.h>

using namespace review;

namespace
{

constexpr int rate = 60;
constexpr int burst = 60;
constexpr double quota_window_s = 5.0, quota_overage = 0.25,
                 quota_slack = 20.0; // `bounds` of the settings.
constexpr double bound = (rate * quota_window_s + burst) * (1.0 + quota_overage) + quota_slack;
constexpr int daemon_count = 9;
// Clients of the tenant. The share of connections is uneven: the first daemon has 14, the others 2
// or 3 each.
constexpr int client_count = 36;
constexpr int first_clients = 10;
constexpr double usual_rate = rate / 1.6; // Of the tenant; the site's `quota_x` is 1.6.
constexpr double storm = 7.5;             // The site's largest `hot_tenant`.
constexpr double usual_s = 4.0, cut_after_s = 2.0, cut_s = 6.0, traffic_s = 14.0;
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
    record out("review/5/record.txt");
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
    for (int i = 0; i < daemon_count; ++i)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_process::options{"front-kandy-" + std::to_string(i + 1), "kandy",
                                    loopback_ip(30 + i), store.address()},
            folder));
        daemons.back()->choose_ports();
    }
    // Three seeds, as the pages have it. All links between the first daemon and the others lead
    // through proxies.
    std::vector<std::unique_ptr<proxy>> proxies;
    for (int i = 0; i < 3; ++i)
    {
        proxies.push_back(std::make_unique<proxy>(loopback_ip(50 + i), daemons[i]->control()));
    }
    const std::vector<std::string> seeds_of_first = {daemons[0]->control(), proxies[1]->address(),
                                                     proxies[2]->address()};
    const std::vector<std::string> seeds_of_others = {proxies[0]->address(), daemons[1]->control(),
                                                      daemons[2]->control()};
    for (auto& daemon : daemons)
    {
        daemon->write_settings(daemon == daemons.front() ? seeds_of_first : seeds_of_others);
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
    std::atomic<double> factor{1.0};
    for (int i = 0; i < client_count; ++i)
    {
        clients.emplace_back(
            [&, i, index = i < first_clients ? 0 : i % daemon_count]
            {
                connection to;
                double due =
                    static_cast<double>(i) / client_count; // Requests; the first ones are spread.
                double counted_until = now_s();
                while (!over)
                {
                    const double now = now_s();
                    due = std::min(due + (now - counted_until) * usual_rate * factor / client_count,
                                   3.0);
                    counted_until = now;
                    if (due < 1.0)
                    {
                        sleep_s(0.004);
                        continue;
                    }
                    due -= 1.0;
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
    sleep_s(usual_s);
    out.line("the tenant sends %.1f times its usual", storm);
    factor = storm;
    sleep_s(cut_after_s);
    const double cut_at = now_s();
    if (trouble())
    {
        out.line("%s is cut off from the other daemons", daemons[0]->name().c_str());
        for (auto& proxy : proxies)
        {
            proxy->set_cut(true);
        }
    }
    sleep_s(cut_s);
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
    int most = 0, most_at_first = 0;
    double most_from = 0.0;
    for (const arrival& first : arrivals)
    {
        int count = 0, at_first = 0;
        for (const arrival& other : arrivals)
        {
            const bool inside =
                other.sent >= first.sent && other.arrived <= first.sent + quota_window_s;
            count += inside ? 1 : 0;
            at_first += inside && other.daemon == 0 ? 1 : 0;
        }
        if (count > most)
        {
            most = count;
            most_at_first = at_first;
            most_from = first.sent;
        }
    }
    for (double from = traffic_from; from < traffic_from + traffic_s; from += 1.0)
    {
        int at_first = 0, at_others = 0;
        for (const arrival& entry : arrivals)
        {
            const bool inside = entry.arrived >= from && entry.arrived < from + 1.0;
            (entry.daemon == 0 ? at_first : at_others) += inside ? 1 : 0;
        }
        out.line("second %+.0f from the cut: ran %d requests of %s and %d of the others",
                 from - cut_at, at_first, daemons[0]->name().c_str(), at_others);
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
                  all.size(), arrivals.size(), most, quota_window_s, most_at_first,
                  daemons[0]->name().c_str(), most_from - cut_at, bound);
    out.line("%s", summary);
    std::printf("%s\n", summary);
    finish(most > bound ? 1 : 0);
}
