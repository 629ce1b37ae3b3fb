#include "fleet/hub_messages.hpp"

#include "core/random.hpp"
#include "fleet/load_encoding.hpp"

#include <capnp/message.h>
#include <gtest/gtest.h>

#include <cmath>

namespace zinniaferry::fleet
{
namespace
{

using namespace std::chrono_literals;

std::vector<stated_load> sample_loads()
{
    stated_load busy = {"sheets", {.running = 3.0, .waiting = 700.0, .completions = 12.25}};
    busy.load.by_priority[0] = {.arrivals = 0.01, .rejections = 9.5};
    busy.load.by_priority[7] = {.arrivals = 4000.0};
    return {busy, {"orders", {.running = 1.0}}};
}

std::vector<hub_message> samples()
{
    return {hello_message{.self = {"vm-1", "10.0.0.1:7", 100, "kandy"},
                          .incarnation = 77,
                          .era = 3,
                          .revision = 12,
                          .accepts_compressed = true,
                          .members_known = 9},
            report_message{
                .primary = true, .selection_rate = 12.5F, .number = 4, .primary_time = 400ms},
            report_message{.number = 5},
            report_message{.loads = sample_loads()},
            update_message{.age = 1500us, .last_report = 4, .loads = sample_loads()},
            update_message{.era = 0,
                           .revision = 9,
                           .complete = true,
                           .age = 1500us,
                           .last_report = 4,
                           .changes = {{"servers/a", std::string("{}\0x", 4), 8},
                                       {"servers/b", std::nullopt, 9},
                                       {.key = "c", .revision = 2, .unchanged = true}}},
            fleet_message{.members_known = 3,
                          .settled = true,
                          .selection_rate = 99.0F,
                          .members = {{"vm-2", "m2", 100, "kandy"}}},
            ask_message{.number = 5, .account = "a", .primary_time = 7ms},
            grant_message{.number = 5, .requests = 2, .retry_after = 250ms}};
}

std::optional<hub_message> decode(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::optional<hub_message>>
        {
            BOOST_LEAF_AUTO(message, decode_hub_message(bytes));
            return std::optional(std::move(message));
        },
        [] { return std::optional<hub_message>(); });
}

// Guards against a field that is lost in encoding or decoding.
TEST(hub_messages, every_message_survives_an_encode_decode_round_trip)
{
    for (const hub_message& message : samples())
    {
        const auto read = decode(encode(message));
        ASSERT_TRUE(read);
        EXPECT_EQ(*read, message) << message.index();
    }
}

// Guards against a value from a faulty peer that spoils the sum of a service for the whole fleet,
// and against a rate that is not a number.
TEST(hub_messages, loads_out_of_range_are_dropped)
{
    report_message report{.loads = sample_loads()};
    report.loads[1].load = {.running = -1.0, .completions = std::nan("")};
    report.loads.push_back({std::string(300, 's'), {.running = 1.0}});
    report.loads.push_back({"", {.running = 1.0}});
    const auto read = decode(encode(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(std::get<report_message>(*read).loads,
              (std::vector<stated_load>{sample_loads()[0], {"orders", {}}}));

    capnp::MallocMessageBuilder builder;
    auto loads = builder.initRoot<wire::HubMessage>().initReport().initLoads(5);
    for (unsigned i = 0; i < loads.size(); ++i)
    {
        loads[i].setService("s" + std::to_string(i));
        loads[i].setRunning(i == 0 ? 4'000'000'000U : 1U);
        loads[i].setWaiting(i == 1 ? 4'000'000'000U : 0U);
        loads[i].setCompletions(i == 2 ? 4'000'000'000U : 0U);
        loads[i].initByPriority(i == 3 ? 17 : 1);
    }
    const auto kept = read_loads(loads.asReader());
    ASSERT_EQ(kept.size(), 1U);
    EXPECT_EQ(kept[0].service, "s4");
}

// Guards against loads that take more than a daemon may spend on control at the two-year size
// (docs/design.md, section 1.4): 2 KB/s, here with six services and two hubs. Every 0.4 s a daemon
// sends two reports, and gets two updates, one of them with sums.
TEST(hub_messages, the_loads_of_six_services_fit_into_the_budget_for_control)
{
    report_message report{
        .primary = true, .selection_rate = 3.5F, .number = 200, .primary_time = 400ms};
    update_message update{.revision = 4000, .age = 20ms, .last_report = 200};
    const std::size_t heartbeat_bytes = encode_frame(update).size();
    for (int i = 0; i < 6; ++i)
    {
        stated_load own{"captions-live-" + std::to_string(i),
                        {.running = 1.0, .waiting = 1.0, .completions = 1.37}};
        own.load.by_priority[0].arrivals = 0.83;
        own.load.by_priority[1] = {.arrivals = 1.52, .rejections = 0.4};
        report.loads.push_back(own);
        own.load.running = 140.0;
        own.load.completions = 410.37;
        own.load.by_priority[1] = {.arrivals = 388.5, .rejections = 77.4};
        update.loads.push_back(own);
    }
    const std::size_t bytes =
        2 * encode_frame(report).size() + encode_frame(update).size() + heartbeat_bytes;
    EXPECT_LT(static_cast<double>(bytes) / 0.4, 2048.0);
}

// Guards against bytes from a faulty peer that crash the decoder, and with it the daemon.
TEST(hub_messages, truncated_and_corrupted_messages_are_rejected_or_decoded_safely)
{
    core::random_generator random(11);
    for (const hub_message& message : samples())
    {
        const std::string good = encode(message);
        for (std::size_t size = 0; size < good.size(); ++size)
        {
            decode(good.substr(0, size));
        }
        for (int round = 0; round < 2000; ++round)
        {
            std::string bad = good;
            bad[core::uniform_index(random, bad.size())] = static_cast<char>(random());
            decode(bad);
        }
    }
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("no message"));
}

// Guards against a large message that is lost in compression, and against a compressed one from a
// faulty peer that crashes the daemon or takes more memory than a message may.
TEST(hub_messages, a_compressed_message_is_read_as_it_was_or_rejected)
{
    update_message update{.revision = 9, .complete = true};
    for (int i = 0; i < 300; ++i)
    {
        update.changes.push_back({"servers/" + std::to_string(i), std::string(200, 'v'), 1});
    }
    const std::string frame = encode_frame(update, compression::allowed);
    EXPECT_LT(frame.size(), encode_frame(update).size() / 4);
    const std::string good = frame.substr(frame_length_bytes);
    EXPECT_EQ(decode(good), std::optional<hub_message>(update));
    core::random_generator random(12);
    for (int round = 0; round < 2000; ++round)
    {
        EXPECT_FALSE(decode(good.substr(0, core::uniform_index(random, good.size()))));
        std::string bad = good;
        bad[core::uniform_index(random, bad.size())] = static_cast<char>(random());
        decode(bad);
    }
}

// Guards against a compressed message that is refused because of its content, and with it a
// subscriber that leaves its hub: 586 of 5000 messages like these were.
TEST(hub_messages, compressed_messages_are_read_whatever_their_content)
{
    update_message update{
        .revision = 1, .complete = true, .changes = {{"config", std::string(9000, 'c'), 1}}};
    int refused = 0;
    for (int age_ms = 0; age_ms < 1000; ++age_ms)
    {
        update.age = age_ms * 1ms;
        const std::string frame = encode_frame(update, compression::allowed);
        refused += decode(frame.substr(frame_length_bytes)) == hub_message(update) ? 0 : 1;
    }
    EXPECT_EQ(refused, 0);
}

// Guards against the list of a large fleet that fills the link of a hub whenever a member joins or
// leaves.
TEST(hub_messages, the_list_of_a_large_fleet_is_small_when_compressed)
{
    fleet_message list{.members_known = 111};
    for (int i = 0; i < 111; ++i)
    {
        list.members.push_back({.vm = "front-gampola-" + std::to_string(i),
                                .address = "10.4.0." + std::to_string(i) + ":8707",
                                .link_mbps = 10});
    }
    const std::string frame = encode_frame(list, compression::allowed);
    EXPECT_LT(frame.size(), encode_frame(list).size() / 4);
    EXPECT_EQ(decode(frame.substr(frame_length_bytes)), std::optional<hub_message>(list));
}

} // namespace
} // namespace zinniaferry::fleet
