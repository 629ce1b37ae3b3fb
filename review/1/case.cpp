/// A planned stop cuts requests: two of the three daemons of a zone get SIGTERM, and clients go on
/// sending.
#include "../harness.hpp"

#include <cstdio>
#include <signal.h>

using namespace review;

namespace
{

constexpr double grace_s = 6.0; // `grace-s` of the settings.
constexpr double counted_from_s =
    3.0; // RULES: requests sent no later than 3 s after the SIGTERM don't count
         // if their instance is at work in the last sixth of grace-s.
constexpr double loss_slack_s = 0.2; // `loss-slack-s`.
constexpr double route_timeout_s = 2.5;
constexpr int client_limit_ms = 4000;
constexpr double work_s = 2.0;

struct attempt
{
    std::string id, daemon;
    bool unsafe = false;
    double sent = 0.0, ended = 0.0;
    bool connected = false, written = false;
    int status = 0;
    bool complete = false;
};

} // namespace

int main()
{
    record out("review/1/record.txt");
    const std::string folder = temporary_folder();
    store store(loopback_ip(2));
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    for (int i = 0; i < 6; ++i)
    {
        instance::options options;
        options.id = "i-" + new_id().substr(0, 8);
        options.service = i % 2 == 0 ? "catalogue" : "orders";
        options.slots = 32;
        options.work_s = [](const message&)
        {
            return work_s;
        };
        instances.push_back(std::make_unique<instance>(loopback_ip(10 + i), options, runs));
        store.write(instances.back()->store_key(), instances.back()->store_entry());
    }
    store.write(
        "op/config",
        configuration(
            7,
            R"([{"name":"r-1","host":"jepu9.example","prefix":"/cat/","kind":"safe","timeout-s":2.5,"slo-s":1.5,"priority":2,"service":"catalogue","attempts":2,"no-auth":false},)"
            R"({"name":"r-2","host":"jepu9.example","prefix":"/ord/","kind":"unsafe","timeout-s":2.5,"slo-s":1.5,"priority":1,"service":"orders","attempts":2,"no-auth":false}])",
            "[" + service_entry("catalogue") + "," + service_entry("orders") + "]"));
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<daemon_process*> list;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_process::options{"front-kandy-" + std::to_string(i + 1), "kandy",
                                    loopback_ip(30 + i), store.address()},
            folder));
        daemons.back()->choose_ports();
        seeds.push_back(daemons.back()->control());
        list.push_back(daemons.back().get());
    }
    for (auto& daemon : daemons)
    {
        daemon->write_settings(seeds);
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
    sleep_s(4.0); // Longer than stable-s.
    std::vector<attempt> attempts(110);
    std::vector<std::thread> clients;
    double sigterm_at = 0.0;
    {
        balancer balancer(list);
        sleep_s(0.5);
        const double traffic_from = now_s();
        const double sigterm_due = traffic_from + 2.5;
        for (std::size_t i = 0; i < attempts.size(); ++i)
        {
            sleep_s(traffic_from + 0.07 * static_cast<double>(i) - now_s());
            if (sigterm_at == 0.0 && now_s() >= sigterm_due)
            {
                sigterm_at = now_s();
                if (trouble())
                {
                    out.line("SIGTERM to %s and %s", list[0]->name().c_str(),
                             list[1]->name().c_str());
                    list[0]->signal(SIGTERM);
                    list[1]->signal(SIGTERM);
                }
            }
            attempt& own = attempts[i];
            own.id = new_id();
            own.unsafe = i % 2 == 1;
            daemon_process& daemon = balancer.choose(i * 2654435761U >> 7U);
            own.daemon = daemon.name();
            clients.emplace_back(
                [&own, &daemon]
                {
                    connection to = connect_to(daemon.front(), 1.0);
                    own.sent = now_s();
                    own.connected = to.open();
                    own.written =
                        to.open() && to.send(client_request(
                                         own.unsafe ? "POST" : "GET", "jepu9.example",
                                         own.unsafe ? "/ord/1" : "/cat/1", own.id, client_limit_ms,
                                         own.unsafe ? "3 blocks of kithul" : ""));
                    const message answer = to.read_message(
                        clock::now() + std::chrono::milliseconds(client_limit_ms), true);
                    own.ended = now_s();
                    own.status = answer.status();
                    own.complete = answer.complete;
                });
        }
        for (std::thread& client : clients)
        {
            client.join();
        }
        // The platform's SIGKILL would come at grace_s; both have ended by then or are killed
        // below.
        while (now_s() < sigterm_at + grace_s)
        {
            sleep_s(0.05);
        }
    }
    int lost = 0, served = 0;
    for (const attempt& own : attempts)
    {
        const auto ran = runs.of(own.id);
        const bool at_work_at_end = !ran.empty() && ran.back().cut;
        out.line(
            "%s %s at %s: sent %+.3f s after the SIGTERM, %s after %.3f s, status %d, runs %zu%s",
            own.id.c_str(), own.unsafe ? "order" : "lookup", own.daemon.c_str(),
            own.sent - sigterm_at, own.complete ? "answered" : "connection ended without an answer",
            own.ended - own.sent, own.status, ran.size(),
            at_work_at_end ? ", cut at its instance" : "");
        served += own.status == 200 && own.complete ? 1 : 0;
        // The rule: a process has read a whole request, it has been passed on to an instance, and
        // the connection ends without a complete answer. Not counted: time limit or route timeout
        // reached; sent no later than 3 s after the SIGTERM with its instance at work in the last
        // sixth of grace-s.
        const double took = own.ended - own.sent;
        if (own.written && !own.complete && !ran.empty() &&
            own.sent - sigterm_at > counted_from_s && took < route_timeout_s - 0.05 &&
            took > loss_slack_s)
        {
            ++lost;
            out.line("LOST %s: passed on to %s at %+.3f s, connection ended at %+.3f s",
                     own.id.c_str(), ran.back().instance.c_str(), ran.back().began - sigterm_at,
                     own.ended - sigterm_at);
        }
    }
    out.line("%zu requests, %d answered with 200, %d LOST", attempts.size(), served, lost);
    std::printf("%zu requests, %d answered with 200, %d LOST\n", attempts.size(), served, lost);
    if (!trouble() && served < static_cast<int>(attempts.size()))
    {
        std::printf("without trouble all requests have to be answered\n");
        finish(2);
    }
    finish(lost > 0 ? 1 : 0);
}
