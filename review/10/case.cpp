/// Case: the store turns the two hubs away for 1 s. Meanwhile the entry of an instance is removed
/// that has lost its path to the store and serves on. Checks that the daemons that the store serves
/// all the while send no request to it that is sent more than drain-s after the removal.
#include "../case_main_2.hpp"

namespace
{

using namespace review;

constexpr const char* host = "branch.example";
constexpr const char* key = "key-a";
constexpr double drain_s = 2.0;
constexpr milliseconds heartbeat{1500};
/// The first two seeds.
constexpr std::size_t hubs = 2;
constexpr milliseconds turned_away{1000};
/// How long an instance has no path to the store.
constexpr milliseconds path_lost{5000};
/// From then to its next heartbeat.
constexpr milliseconds next_heartbeat{1400};
/// How long the hubs are turned away before the removal, in each round.
constexpr std::array lead_times = {milliseconds(100), milliseconds(300), milliseconds(500),
                                   milliseconds(700), milliseconds(900)};

std::vector<std::unique_ptr<instance>> instances;

struct removal
{
    std::string instance;
    double removed_at = 0.0;
    double listed_again_at = 0.0;
};

void set_up(case_context& context)
{
    int number = 0;
    for (const char* service : {"patterns", "orders"})
    {
        for (int i = 0; i < 6; ++i, ++number)
        {
            instances.push_back(std::make_unique<instance>(
                context.io, context.record, context.runs,
                instance::options{.id = std::string("i-") + service + std::to_string(i),
                                  .service = service,
                                  .zone = i % 2 == 0 ? "kandy" : "matale",
                                  .born =
                                      1'700'000'000'000ULL + static_cast<std::uint64_t>(number)}));
            context.platform.write(instances.back()->key(), instances.back()->describe());
        }
    }
    context.platform.write("op/config",
                           configuration(10,
                                         {{"r-read", host, "/read/", "safe", "patterns"},
                                          {"r-order", host, "/order/", "unsafe", "orders"}},
                                         {"patterns", "orders"}, {{"tenant-a", {key}}}));
}

struct sent_request
{
    double at = 0.0;
    std::size_t daemon = 0;
};

// A client that reads and orders every 60 ms.
asio::awaitable<void> send_steadily(case_context& context, std::size_t daemon,
                                    std::map<std::string, sent_request>& sent_requests)
{
    for (int n = 0;; ++n)
    {
        for (const bool is_order : {false, true})
        {
            client_request sent;
            sent.to = context.places[daemon].front_address();
            sent.id =
                (is_order ? "order-" : "read-") + std::to_string(daemon) + "-" + std::to_string(n);
            sent.method = is_order ? "POST" : "GET";
            sent.host = host;
            sent.target = is_order ? "/order/kithul" : "/read/sheet";
            sent.key = key;
            sent.body = is_order ? "two blocks" : "";
            sent_requests[sent.id] = {context.record.now(), daemon};
            context.record.write("sent: " + sent.id + " to " + context.places[daemon].node);
            asio::co_spawn(
                context.io,
                [](case_context& shared, client_request message) -> asio::awaitable<void>
                {
                    const std::string id = message.id;
                    const client_answer answer = co_await send(std::move(message));
                    shared.record.write("answer: " + id + " status " +
                                        std::to_string(answer.status));
                }(context, std::move(sent)),
                asio::detached);
        }
        co_await sleep_for(milliseconds(60));
    }
}

asio::awaitable<verdict> run(case_context& context)
{
    static std::map<std::string, sent_request> sent_requests;
    std::vector<removal> removals;
    for (std::size_t i = 0; i < context.places.size(); ++i)
    {
        asio::co_spawn(context.io, send_steadily(context, i, sent_requests), asio::detached);
    }
    co_await sleep_for(milliseconds(4000));
    for (std::size_t round = 0; round < lead_times.size(); ++round)
    {
        instance& cut_off = *instances[round];
        // Just before a heartbeat: two more that the store doesn't get make three.
        context.record.write(cut_off.what().id + " loses its path to the store");
        co_await sleep_for(2 * heartbeat - lead_times[round]);
        if (context.trouble)
        {
            context.platform.turn_away(true);
        }
        co_await sleep_for(lead_times[round]);
        context.platform.remove(cut_off.key());
        removal entry = {.instance = cut_off.what().id, .removed_at = context.record.now()};
        co_await sleep_for(turned_away - lead_times[round]);
        if (context.trouble)
        {
            context.platform.turn_away(false);
        }
        co_await sleep_for(path_lost - 2 * heartbeat - turned_away + lead_times[round]);
        context.record.write(cut_off.what().id + " reaches the store again");
        co_await sleep_for(next_heartbeat);
        entry.listed_again_at = context.record.now();
        context.platform.write(cut_off.key(), cut_off.describe());
        removals.push_back(entry);
        co_await sleep_for(milliseconds(4500));
    }
    std::size_t late = 0;
    std::size_t others = 0;
    for (const run_entry& entry : context.runs)
    {
        const sent_request& sent = sent_requests[entry.id];
        others += sent.daemon >= hubs ? 1 : 0;
        for (const removal& removed : removals)
        {
            if (entry.instance == removed.instance && sent.daemon >= hubs &&
                sent.at > removed.removed_at + drain_s && entry.at < removed.listed_again_at)
            {
                ++late;
                context.record.write("late: " + entry.id + " was sent " +
                                     std::to_string(sent.at - removed.removed_at) +
                                     " s after the removal and ran at " + entry.instance);
            }
        }
    }
    context.record.write(std::to_string(others) + " requests of the other daemons ran, " +
                         std::to_string(late) + " of them at a removed instance, sent later than " +
                         "2 s after its removal");
    if (others == 0)
    {
        co_return verdict::could_not_run;
    }
    co_return late > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(
        argc, argv,
        {.zones = {"kandy", "matale", "kandy", "matale", "kandy", "matale"}, .turned_away = hubs},
        set_up, run);
}
