/// Cases in which the first daemons, which are seeds, are cut off from the others and start again.
/// Counts the requests of a tenant that run in a window of the rule QUOTA.
#pragma once

#include "harness.hpp"

#include <algorithm>
#include <cstdio>

namespace review
{

/// The fleet of a case.
struct cut_seeds_options
{
    int number = 0; ///< Of the case.
    std::size_t daemon_count = 0;
    std::size_t seed_count = 0; ///< The first daemons.
    std::size_t cut_count = 0;  ///< The first daemons, at most seed_count.
};

inline constexpr int rate = 40;
inline constexpr int burst = 40;
inline constexpr double quota_window_s = 5.0, quota_overage = 0.25,
                        quota_slack = 20.0; // `bounds` of the settings.
inline constexpr double bound =
    (rate * quota_window_s + burst) * (1.0 + quota_overage) + quota_slack;
inline constexpr std::size_t clients_per_daemon = 4;
/// The tenant's usual requests a second: its rate divided by `quota_x` (1.6) of the site.
inline constexpr double usual_per_s = rate / 1.6;
inline constexpr double storm_per_s = usual_per_s * 7.5; // `hot_tenant`: x 7.5 for 6.5 s.
inline constexpr double storm_s = 6.5;
inline constexpr double storm_after_cut_s = 4.7;
inline constexpr double cut_s = 12.0;
inline constexpr double traffic_s = 15.0;
inline constexpr int limit_ms = 1500;

struct sent_request
{
    std::string id;
    std::size_t daemon = 0;
    double sent = 0.0;
    int status = 0;
};

struct arrival
{
    double sent = 0.0;
    double arrived = 0.0;
    std::size_t daemon = 0;
};

/// The daemons rank those that are no seeds by this hash of their control address.
inline std::uint64_t rank_hash(const std::string& text)
{
    std::uint64_t h = 0xCBF29CE484222325ULL;
    for (const char c : text)
    {
        h = (h ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    }
    h = (h ^ h >> 33U) * 0xFF51AFD7ED558CCDULL;
    h = (h ^ h >> 33U) * 0xC4CEB9FE1A85EC53ULL;
    return h ^ h >> 33U;
}

using daemon_list = std::vector<std::unique_ptr<daemon_process>>;

/// Chooses the ports so that the daemons that are cut off rank last by their own addresses: the
/// others know these besides those of the proxies, and shall have no reason to go round the cut.
inline void choose_all_ports(daemon_list& daemons, std::size_t cut_count)
{
    for (std::size_t i = cut_count; i < daemons.size(); ++i)
    {
        daemons[i]->choose_ports();
    }
    for (std::size_t i = 0; i < cut_count; ++i)
    {
        const auto ranks_last = [&]
        {
            return std::all_of(
                daemons.begin() + static_cast<std::ptrdiff_t>(cut_count), daemons.end(),
                [&](const auto& other)
                { return rank_hash(other->control()) < rank_hash(daemons[i]->control()); });
        };
        do
        {
            daemons[i]->choose_ports();
        } while (!ranks_last());
    }
}

/// Plays the case and ends the process with 1 if the rule was broken, 0 if it held, 2 if the case
/// could not run.
[[noreturn]] inline void play_cut_seeds(const cut_seeds_options& options)
{
    const auto [number, daemon_count, seed_count, cut_count] = options;
    const double client_count = static_cast<double>(daemon_count * clients_per_daemon);
    record out("review/" + std::to_string(number) + "/record.txt");
    const std::string folder = temporary_folder();
    store store(loopback_ip(2));
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    for (int i = 0; i < 4; ++i)
    {
        instance::options settings;
        settings.id = "i-" + new_id().substr(0, 8);
        settings.service = "catalogue";
        settings.slots = 16;
        settings.work_s = [](const message&)
        {
            return 0.005;
        };
        instances.push_back(std::make_unique<instance>(loopback_ip(10 + i), settings, runs));
        store.write(instances.back()->store_key(), instances.back()->store_entry());
    }
    store.write(
        "op/config",
        configuration(
            7,
            R"([{"name":"r-1","host":"jepu9.example","prefix":"/cat/","kind":"safe","timeout-s":1.5,"slo-s":0.6,"priority":2,"service":"catalogue","attempts":1,"no-auth":false}])",
            "[" + service_entry("catalogue") + "]", rate, burst));
    daemon_list daemons;
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        const std::string zone = i < cut_count ? "kandy" : "matale";
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_process::options{"front-" + zone + "-" + std::to_string(i + 1), zone,
                                    loopback_ip(30 + static_cast<int>(i)), store.address()},
            folder));
    }
    choose_all_ports(daemons, cut_count);
    // The seeds are the first three daemons. Each side reaches those of the other through proxies.
    std::vector<std::unique_ptr<proxy>> proxies;
    std::vector<std::string> seeds_of_cut, seeds_of_others;
    for (std::size_t i = 0; i < seed_count; ++i)
    {
        proxies.push_back(
            std::make_unique<proxy>(loopback_ip(50 + static_cast<int>(i)), daemons[i]->control()));
        const bool is_cut = i < cut_count;
        seeds_of_cut.push_back(is_cut ? daemons[i]->control() : proxies[i]->address());
        seeds_of_others.push_back(is_cut ? proxies[i]->address() : daemons[i]->control());
    }
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        daemons[i]->write_settings(i < cut_count ? seeds_of_cut : seeds_of_others);
        daemons[i]->start();
    }
    for (const auto& daemon : daemons)
    {
        if (!daemon->wait_until_ready(10.0))
        {
            std::fprintf(stderr, "%s is not ready\n", daemon->name().c_str());
            finish(2);
        }
    }
    sleep_s(6.0);
    std::atomic<bool> over{false};
    std::atomic<double> storm_from{1e9};
    std::mutex mutex;
    std::vector<sent_request> all;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < daemon_count * clients_per_daemon; ++i)
    {
        clients.emplace_back(
            [&, index = i % daemon_count]
            {
                connection to;
                double last = now_s();
                while (!over)
                {
                    const double now = now_s();
                    const bool in_storm = now >= storm_from && now < storm_from + storm_s;
                    const double due = last + client_count / (in_storm ? storm_per_s : usual_per_s);
                    if (now < due)
                    {
                        sleep_s(std::min(due - now, 0.02));
                        continue;
                    }
                    last = std::max(due, now - 0.1);
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
    sleep_s(2.0);
    const double cut_at = now_s();
    storm_from = cut_at + storm_after_cut_s;
    if (trouble())
    {
        out.line("%zu of the %zu daemons, seeds, are cut off from the others; their processes are "
                 "killed and start again",
                 cut_count, daemon_count);
        for (const auto& proxy : proxies)
        {
            proxy->set_cut(true);
        }
        for (std::size_t i = 0; i < cut_count; ++i)
        {
            daemons[i]->kill_and_wait();
        }
        sleep_s(0.3);
        for (std::size_t i = 0; i < cut_count; ++i)
        {
            daemons[i]->start();
        }
    }
    sleep_s(cut_at + cut_s - now_s());
    out.line("the cut ends");
    for (const auto& proxy : proxies)
    {
        proxy->set_cut(false);
    }
    sleep_s(traffic_from + traffic_s - now_s());
    over = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    std::map<std::string, double> began;
    for (const run& entry : runs.runs)
    {
        began.emplace(entry.id, entry.began);
    }
    std::vector<arrival> arrivals;
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
    int most = 0, most_at_cut = 0;
    double most_from = 0.0;
    for (const arrival& first : arrivals)
    {
        int count = 0, at_cut = 0;
        for (const arrival& other : arrivals)
        {
            const bool inside =
                other.sent >= first.sent && other.arrived <= first.sent + quota_window_s;
            count += inside ? 1 : 0;
            at_cut += inside && other.daemon < cut_count ? 1 : 0;
        }
        if (count > most)
        {
            most = count;
            most_at_cut = at_cut;
            most_from = first.sent;
        }
    }
    for (double from = traffic_from; from < traffic_from + traffic_s; from += 1.0)
    {
        int at_cut = 0, at_others = 0;
        for (const arrival& entry : arrivals)
        {
            const bool inside = entry.arrived >= from && entry.arrived < from + 1.0;
            (entry.daemon < cut_count ? at_cut : at_others) += inside ? 1 : 0;
        }
        out.line(
            "second %+.0f from the cut: those that were cut off ran %d requests, the others %d",
            from - cut_at, at_cut, at_others);
    }
    for (const auto& [status, count] : statuses)
    {
        out.line("status %d: %d", status, count);
    }
    char summary[240];
    std::snprintf(
        summary, sizeof summary,
        "%zu requests sent, %zu ran; at most %d in %.0f s (%d through those that were cut off), "
        "from %+.1f s after the cut; the bound is %.0f",
        all.size(), arrivals.size(), most, quota_window_s, most_at_cut, most_from - cut_at, bound);
    out.line("%s", summary);
    std::printf("%s\n", summary);
    finish(most > bound ? 1 : 0);
}

} // namespace review
