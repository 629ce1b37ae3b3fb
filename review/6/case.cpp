/// Case: in a drill the store comes back from a copy some seconds old, and its revisions are given
/// out again. Some calm seconds later a key is withdrawn. Checks that no request with that key runs
/// that is sent more than config-apply-s after the confirmation.
#include "../case_main_2.hpp"

namespace
{

using namespace review;

constexpr const char* host = "patterns.example";
constexpr const char* kept_key = "key-a-kept";
constexpr const char* withdrawn_key = "key-a-withdrawn";
constexpr double config_apply_s = 2.0;
constexpr milliseconds heartbeat{1500};
constexpr int replaced_instances = 4;

std::vector<std::unique_ptr<instance>> instances;

std::string config_text(int version, bool with_key)
{
    std::vector<route> routes = {{"r-read", host, "/read/", "safe", "patterns"},
                                 {"r-order", host, "/order/", "unsafe", "orders"}};
    if (version >= 11)
    {
        routes.push_back({"r-more", host, "/more/", "safe", "patterns"});
    }
    std::vector<std::string> keys = {kept_key};
    if (with_key)
    {
        keys.emplace_back(withdrawn_key);
    }
    return configuration(version, routes, {"patterns", "orders"},
                         {{"tenant-a", keys}, {"tenant-b", {"key-b"}}});
}

instance& start_instance(case_context& context, const std::string& id, const std::string& service,
                         int number)
{
    instances.push_back(std::make_unique<instance>(
        context.io, context.record, context.runs,
        instance::options{.id = id,
                          .service = service,
                          .zone = number % 2 == 0 ? "kandy" : "matale",
                          .born = 1'700'000'000'000ULL + static_cast<std::uint64_t>(number)}));
    return *instances.back();
}

void set_up(case_context& context)
{
    for (int i = 0; i < 6; ++i)
    {
        const instance& started =
            start_instance(context, "i-old" + std::to_string(i), "patterns", i);
        context.platform.write(started.key(), started.describe());
    }
    for (int i = 0; i < 4; ++i)
    {
        const instance& started =
            start_instance(context, "i-order" + std::to_string(i), "orders", 100 + i);
        context.platform.write(started.key(), started.describe());
    }
    context.platform.write("op/config", config_text(10, true));
}

// A client that sends a request with each key every 100 ms to a daemon.
asio::awaitable<void> send_steadily(case_context& context, std::size_t daemon,
                                    std::map<std::string, double>& sent_at)
{
    for (int n = 0;; ++n)
    {
        for (const char* key : {kept_key, withdrawn_key})
        {
            client_request sent;
            sent.to = context.places[daemon].front_address();
            sent.id = std::string(key) + "-" + std::to_string(daemon) + "-" + std::to_string(n);
            sent.host = host;
            sent.target = "/read/sheet";
            sent.key = key;
            sent_at[sent.id] = context.record.now();
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
        co_await sleep_for(milliseconds(100));
    }
}

// The new instance starts and reports its warm-up at each heartbeat; the old one drains and leaves.
asio::awaitable<void> replace(case_context& context, int number, bool& store_is_away)
{
    instance& fresh =
        start_instance(context, "i-new" + std::to_string(number), "patterns", 200 + number);
    instance& old = *instances[static_cast<std::size_t>(number)];
    fresh.warmup_left_s = 3.0;
    context.platform.write(fresh.key(), fresh.describe());
    old.leaving = true;
    context.platform.write(old.key(), old.describe());
    for (const double left : {1.5, 0.0})
    {
        co_await sleep_for(heartbeat);
        fresh.warmup_left_s = left;
        if (!store_is_away)
        {
            context.platform.write(fresh.key(), fresh.describe());
        }
    }
    old.stop();
    context.platform.remove(old.key());
}

asio::awaitable<verdict> run(case_context& context)
{
    static std::map<std::string, double> sent_at;
    static bool store_is_away = false;
    for (std::size_t i = 0; i < context.places.size(); ++i)
    {
        asio::co_spawn(context.io, send_steadily(context, i, sent_at), asio::detached);
    }
    co_await sleep_for(milliseconds(3000));
    const store::content copy = context.platform.copy();
    for (int i = 0; i < replaced_instances; ++i)
    {
        asio::co_spawn(context.io, replace(context, i, store_is_away), asio::detached);
        co_await sleep_for(milliseconds(400));
    }
    co_await sleep_for(milliseconds(3000));
    context.platform.write("op/config", config_text(11, true));
    co_await sleep_for(milliseconds(1000));
    const std::size_t calls_before = context.platform.calls();
    if (context.trouble)
    {
        store_is_away = true;
        context.platform.go_down();
        co_await sleep_for(milliseconds(1000));
        context.platform.come_back(copy);
        store_is_away = false;
        co_await sleep_for(milliseconds(300));
        // What the operator and the instances wrote since the copy is written again.
        context.platform.write("op/config", config_text(11, true));
        for (const auto& entry : instances)
        {
            if (entry->what().id.starts_with("i-new"))
            {
                co_await sleep_for(milliseconds(200));
                context.platform.write(entry->key(), entry->describe());
            }
        }
        // The entries of the instances that have left are in the copy; they expire after three
        // heartbeats of silence.
        co_await sleep_for(3 * heartbeat);
        for (int i = 0; i < replaced_instances; ++i)
        {
            context.platform.remove("servers/i-old" + std::to_string(i));
        }
    }
    co_await sleep_for(milliseconds(6000));
    context.record.write("calls to the store since the drill began: " +
                         std::to_string(context.platform.calls() - calls_before));
    const std::uint64_t revision = context.platform.write("op/config", config_text(12, false));
    const double confirmed_at = context.record.now();
    context.record.write("version r12, without the key, confirmed at revision " +
                         std::to_string(revision));
    co_await sleep_for(milliseconds(12'000));
    std::size_t late_runs = 0;
    std::size_t other_runs = 0;
    for (const run_entry& entry : context.runs)
    {
        const bool is_late = sent_at[entry.id] > confirmed_at + config_apply_s;
        const bool has_withdrawn_key = entry.id.starts_with(withdrawn_key);
        late_runs += is_late && has_withdrawn_key ? 1 : 0;
        other_runs += is_late && !has_withdrawn_key ? 1 : 0;
    }
    context.record.write(
        "sent more than 2 s after the confirmation and run: " + std::to_string(late_runs) +
        " with the withdrawn key, " + std::to_string(other_runs) + " with the other key");
    if (other_runs == 0)
    {
        co_return verdict::could_not_run;
    }
    co_return late_runs > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, {.zones = {"kandy", "matale", "kandy"}}, set_up, run);
}
