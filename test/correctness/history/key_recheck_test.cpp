// A key that is withdrawn while its request waits. Found by history_check with seed 2016.
#include "config/printer.hpp"
#include "history/run.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::history
{
namespace
{

using namespace std::chrono_literals;

constexpr core::unix_time wall{1'700'000'000'000ms};

// Guards R4: a request that was checked before the withdrawal runs after it has waited.
TEST(key_recheck, request_does_not_leave_with_a_key_that_was_withdrawn_meanwhile)
{
    deployment_start start = *find_deployment("kandy");
    config::configuration& config = start.configuration;
    config.max_vms = 1;
    core::time_point now{1000s};
    const auto alone = node::make_decider({.self = {"vm", 1}, .region = "lanka"}, now, wall);
    node::service_replied(*alone, config::print(config), now);
    node::set_vm_list(*alone, {{.name = "vm"}}, now);
    // A fleet of one has its leases and permits after 16 s.
    for (const core::time_point end = now + 20s; now < end; now += 10ms)
    {
        node::tick(*alone, wall + 20s, now);
    }
    const std::string account = "galle-furniture";
    const auto is_dispatched = [&](node::request_id id)
    {
        const node::action_list actions = node::start_request(
            *alone, id, {.path = "/patterns", .presented_key = start.keys.at(account)}, now);
        return std::any_of(actions.begin(), actions.end(),
                           [](const node::action& action)
                           { return std::holds_alternative<node::dispatch>(action); });
    };
    ASSERT_TRUE(is_dispatched(1));
    ASSERT_TRUE(is_dispatched(2));
    EXPECT_TRUE(node::bytes_leaving(*alone, 1, now));

    config.version = 2;
    for (config::account& entry : config.accounts)
    {
        if (entry.name == account)
        {
            entry.keys = {core::sha256("another-key-of-galle")};
        }
    }
    node::service_replied(*alone, config::print(config), now);
    EXPECT_FALSE(node::bytes_leaving(*alone, 2, now));
    const node::action_list ended =
        node::attempt_ended(*alone, 2, {.end = node::attempt_end::not_sent}, now);
    const auto* refusal = std::get_if<node::refusal>(&ended.at(0));
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->ran, node::run_state::not_run);
    EXPECT_EQ(refusal->error, node::request_error::unknown_key);
}

} // namespace
} // namespace zinniaferry::history
