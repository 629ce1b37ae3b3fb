/// The settings name a new address of the platform's store. The daemons read the changed settings
/// and go on with the old address, so that a key that is withdrawn afterwards stays valid.
#include "../stand_ins/harness.hpp"

#include <cstdio>
#include <signal.h>

using namespace review;

namespace
{

constexpr double config_apply_s = 2.0; // `config-apply-s`.
constexpr double stable_s = 3.0;       // `stable-s`.
constexpr double outer_s = 5.0;        // `outer-s`; added although no machine is out of touch.
constexpr double observed_s = 25.0;
constexpr int limit_ms = 1500;
constexpr const char* other_key = "fqasnmgkcuyj8pjbvk9m";

std::string configuration_with_keys(int version, bool with_second)
{
    std::string out = configuration(
        version,
        R"([{"name":"r-1","host":"jepu9.example","prefix":"/cat/","kind":"safe","timeout-s":1.5,"slo-s":0.6,"priority":2,"service":"catalogue","attempts":2,"no-auth":false}])",
        "[" + service_entry("catalogue") + "]");
    const std::string key = std::string("\"") + client_key + "\"";
    return with_second ? out.replace(out.find(key), key.size(), key + ",\"" + other_key + "\"")
                       : out;
}

} // namespace

int main()
{
    record out("review/5/record.txt");
    const std::string folder = temporary_folder();
    // The store and the same store at its new address: whatever is written is written to both.
    auto* old_store = new store(loopback_ip(2));
    store new_store(loopback_ip(3));
    run_log runs;
    std::vector<std::unique_ptr<instance>> instances;
    const auto write = [&](const std::string& key, const std::string& value)
    {
        old_store->write(key, value);
        new_store.write(key, value);
    };
    for (int i = 0; i < 4; ++i)
    {
        instance::options options;
        options.id = "i-" + new_id().substr(0, 8);
        options.service = "catalogue";
        options.work_s = [](const message&)
        {
            return 0.02;
        };
        instances.push_back(std::make_unique<instance>(loopback_ip(10 + i), options, runs));
        write(instances.back()->store_key(), instances.back()->store_entry());
    }
    write("op/config", configuration_with_keys(7, true));
    std::vector<std::unique_ptr<daemon_process>> daemons;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i)
    {
        daemons.push_back(std::make_unique<daemon_process>(
            daemon_process::options{"front-kandy-" + std::to_string(i + 1), "kandy",
                                    loopback_ip(30 + i), old_store->address()},
            folder));
        daemons.back()->choose_ports();
        seeds.push_back(daemons.back()->control());
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
    sleep_s(4.0);
    if (trouble())
    {
        out.line("the settings name %s instead of %s as the store's address; SIGHUP",
                 new_store.address().c_str(), old_store->address().c_str());
        for (auto& daemon : daemons)
        {
            daemon->set_store_address(new_store.address());
            daemon->write_settings(seeds);
            daemon->signal(SIGHUP);
        }
        sleep_s(8.0); // The old address answers for a while: longer than the daemons take to read
                      // their settings.
        out.line("the old address takes no more writes and ends");
        old_store->stop();
    }
    sleep_s(stable_s + 1.0);
    write("op/config", configuration_with_keys(9, false));
    const double confirmed = now_s();
    out.line("the store has confirmed r9, which withdraws a key");
    int run_late = 0, run_with_valid_key = 0, refused = 0, sent_late = 0;
    for (int i = 0; now_s() < confirmed + observed_s; ++i)
    {
        const bool withdrawn = i % 2 == 0;
        daemon_process& daemon = *daemons[i / 2 % daemons.size()];
        const std::string id = new_id();
        std::string request = client_request("GET", "jepu9.example", "/cat/1", id, limit_ms);
        if (withdrawn)
        {
            request.replace(request.find(client_key), std::string(client_key).size(), other_key);
        }
        connection to = connect_to(daemon.front(), 1.0);
        const double sent = now_s() - confirmed;
        to.send(request);
        const message answer =
            to.read_message(clock::now() + std::chrono::milliseconds(limit_ms), true);
        const bool ran = !runs.of(id).empty();
        const bool late = sent > config_apply_s + outer_s;
        out.line("%+.2f s after r9: %s key at %s: status %d, %s", sent,
                 withdrawn ? "withdrawn" : "valid", daemon.name().c_str(), answer.status(),
                 ran ? "ran" : "did not run");
        sent_late += withdrawn && late ? 1 : 0;
        run_late += withdrawn && late && ran ? 1 : 0;
        refused += withdrawn && late && answer.status() == 401 ? 1 : 0;
        run_with_valid_key += !withdrawn && ran ? 1 : 0;
        sleep_s(0.1);
    }
    char summary[200];
    std::snprintf(summary, sizeof summary,
                  "later than %.0f s after the confirmation: %d requests with the withdrawn key, "
                  "%d ran, %d got 401; "
                  "%d with the valid key ran",
                  config_apply_s + outer_s, sent_late, run_late, refused, run_with_valid_key);
    out.line("%s", summary);
    std::printf("%s\n", summary);
    if (run_with_valid_key == 0 || sent_late == 0 || (!trouble() && refused < sent_late))
    {
        finish(2);
    }
    finish(run_late > 0 ? 1 : 0);
}
