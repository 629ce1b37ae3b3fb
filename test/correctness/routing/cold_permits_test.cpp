#include "core/random.hpp"
#include "routing/cold_permits.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::routing
{
namespace
{

using namespace std::chrono_literals;

constexpr core::time_point start{100s};

cold_permits make_side(const std::string& vm, std::uint32_t allowance = 1)
{
    cold_permits state = make_cold_permits({.self = {.vm = vm, .incarnation = 1}});
    config::configuration config;
    config.services.push_back(
        {.name = "s", .cold_allowance = allowance, .servers = {{.name = "a"}}});
    apply_configuration(state, config, start);
    return state;
}

void hold(cold_permits& state, core::time_point until, core::time_point now)
{
    set_held_until(state, permit_group_of(state, "a"), until, now);
}

fleet::permit_reply ask(cold_permits& holder, const std::string& vm, std::uint64_t id,
                        core::time_point now, core::duration term = 5s)
{
    const auto out =
        handle(holder, core::process_id{.vm = vm, .incarnation = 1},
               fleet::permit_request{.server = "a", .permit_id = id, .term = term}, now);
    return std::get<fleet::permit_reply>(out.at(0).body);
}

// Guards against two holders in turn that together exceed the allowance.
TEST(cold_permits, new_holder_waits_one_term_and_a_gap_starts_it_again)
{
    cold_permits holder = make_side("h");
    EXPECT_EQ(ask(holder, "x", 1, start).granted, 0U);
    hold(holder, start + 20s, start);
    EXPECT_EQ(ask(holder, "x", 1, start + 5s).granted, 0U);
    EXPECT_EQ(ask(holder, "x", 1, start + 5100ms).granted, 1U);
    EXPECT_EQ(ask(holder, "x", 2, start + 20s).granted, 0U);
    hold(holder, start + 40s, start + 21s);
    EXPECT_EQ(ask(holder, "x", 2, start + 25s).granted, 0U);
    EXPECT_EQ(ask(holder, "x", 2, start + 26100ms).granted, 1U);
}

// Guards against a permit that the holder frees before the asker has stopped.
TEST(cold_permits, asker_stops_before_the_holder_grants_again)
{
    cold_permits holder = make_side("h");
    cold_permits asker = make_side("x");
    hold(holder, start + 60s, start);
    const core::time_point now = start + 10s;
    const auto out = request_permit(asker, "a", "h", now + 1s, now);
    ASSERT_EQ(out.size(), 1U);
    const auto& message = std::get<fleet::permit_request>(out[0].body);
    const auto reply = handle(holder, asker.options.self, message, now + 20ms);
    handle(asker, holder.options.self, std::get<fleet::permit_reply>(reply.at(0).body), now + 40ms);
    const auto use = use_permit(asker, "a", now + 40ms);
    ASSERT_TRUE(use.has_value());
    EXPECT_EQ(use->expires, now + 1s);
    EXPECT_FALSE(use_permit(asker, "a", now + 40ms).has_value());
    // A request that may still run keeps its permit until the term ends.
    EXPECT_TRUE(return_permit(asker, use->permit_id, permit_end::unknown, false, now + 1s).empty());
    EXPECT_EQ(ask(holder, "y", 9, now + 1s).granted, 0U);
    EXPECT_EQ(ask(holder, "y", 9, now + 1041ms).granted, 1U);
}

// Guards against grants when a process wakes after its permit has expired.
TEST(cold_permits, expired_or_late_permits_are_not_used)
{
    cold_permits asker = make_side("x");
    const auto out = request_permit(asker, "a", "h", start + 1s, start);
    const auto id = std::get<fleet::permit_request>(out.at(0).body).permit_id;
    const fleet::permit_reply reply{
        .server = "a", .permit_id = id, .granted = 1, .term = std::chrono::seconds(5)};
    const auto back = handle(asker, core::process_id{.vm = "h"}, reply, start + 1s);
    EXPECT_EQ(back.size(), 1U);
    EXPECT_FALSE(use_permit(asker, "a", start + 1s).has_value());
    EXPECT_TRUE(request_permit(asker, "a", "", start + 3s, start + 2s).empty());
}

// Guards against more concurrent permits than the allowance when messages are lost, repeated and
// reordered and the lease moves between processes.
TEST(cold_permits, permits_in_use_never_exceed_the_allowance)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        core::random_generator random(seed);
        std::vector<cold_permits> sides;
        for (int i = 0; i < 4; ++i)
        {
            sides.push_back(make_side("vm" + std::to_string(i), 2));
        }
        std::multimap<core::time_point, std::pair<std::size_t, fleet::outgoing>> wire;
        std::vector<std::vector<permit_use>> uses(sides.size());
        std::size_t most = 0;
        const auto post =
            [&](std::size_t from, core::time_point now, const std::vector<fleet::outgoing>& list)
        {
            for (const fleet::outgoing& message : list)
            {
                for (std::size_t copies = core::uniform_index(random, 3); copies > 0; --copies)
                {
                    wire.emplace(now + 1ms * core::uniform_index(random, 300),
                                 std::pair(from, message));
                }
            }
        };
        for (core::time_point now = start; now < start + 60s; now += 10ms)
        {
            // The holder changes every 20 s, at once after the former lease has ended.
            const auto holder = static_cast<std::size_t>((now - start) / 20s);
            hold(sides[holder], start + 20s * (holder + 1), now);
            while (!wire.empty() && wire.begin()->first <= now)
            {
                const auto [from, message] = wire.begin()->second;
                wire.erase(wire.begin());
                const auto to = static_cast<std::size_t>(message.to_vm.back() - '0');
                const core::process_id sender = sides[from].options.self;
                if (const auto* a = std::get_if<fleet::permit_request>(&message.body))
                {
                    post(to, now, handle(sides[to], sender, *a, now));
                }
                else if (const auto* b = std::get_if<fleet::permit_reply>(&message.body))
                {
                    post(to, now, handle(sides[to], sender, *b, now));
                }
                else if (const auto* c = std::get_if<fleet::permit_return>(&message.body))
                {
                    post(to, now, handle(sides[to], sender, *c, now));
                }
            }
            std::size_t running = 0;
            for (std::size_t i = 0; i < sides.size(); ++i)
            {
                std::erase_if(
                    uses[i],
                    [&](const permit_use& use)
                    {
                        const bool over = use.expires <= now;
                        const bool done = !over && core::uniform_index(random, 50) == 0;
                        if (over || done)
                        {
                            post(i, now,
                                 return_permit(sides[i], use.permit_id,
                                               done ? permit_end::finished : permit_end::unknown,
                                               false, now));
                        }
                        return over || done;
                    });
                post(i, now, tick(sides[i], now));
                post(i, now,
                     request_permit(sides[i], "a", "vm" + std::to_string(holder), now + 4s, now));
                if (const auto use = use_permit(sides[i], "a", now))
                {
                    uses[i].push_back(*use);
                }
                running += uses[i].size();
            }
            ASSERT_LE(running, 2U) << "seed " << seed;
            most = std::max(most, running);
        }
        // Without any grant the check above could not fail.
        EXPECT_EQ(most, 2U) << "seed " << seed;
    }
}

} // namespace
} // namespace zinniaferry::routing
