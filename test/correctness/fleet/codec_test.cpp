#include "core/random.hpp"
#include "fleet/codec.hpp"
#include "support/sample_messages.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

// Guards against a field that is lost or mixed up on the way: encoding what was decoded gives the
// same bytes, and each sample has a different value in each field.
TEST(codec, every_message_survives)
{
    std::vector<bool> seen(std::variant_size_v<message_body>);
    for (const message& sample : test::sample_messages())
    {
        const std::string bytes = encode(sample).value();
        const message read = decode(bytes).value();
        EXPECT_EQ(read.from, sample.from);
        ASSERT_EQ(read.body.index(), sample.body.index());
        EXPECT_EQ(encode(read).value(), bytes);
        EXPECT_EQ(test::describe(read.body), test::describe(sample.body));
        seen[sample.body.index()] = true;
    }
    EXPECT_EQ(std::count(seen.begin(), seen.end(), false), 0) << "a kind has no sample";
}

// Guards against a heartbeat too long for the control budget of 2 KB/s.
TEST(codec, heartbeat_is_short)
{
    heartbeat beat{.config_version = 1'000'000, .service_age = std::chrono::milliseconds(1500)};
    beat.config_digest = core::sha256("document");
    for (std::uint64_t i = 0; i < 8; ++i)
    {
        beat.heard.push_back({core::stable_hash("x", i), std::chrono::milliseconds(100 * i)});
    }
    EXPECT_LE(encode({{"vm12", 0x123456789ABCDEF0ULL}, beat}).value().size(), 180U);
}

// Guards against ages that seem more recent than they are.
TEST(codec, ages_are_rounded_up)
{
    const heartbeat beat{.service_age = std::chrono::microseconds(1001),
                         .heard = {{5, std::chrono::nanoseconds(1)}}};
    const auto read = std::get<heartbeat>(decode(encode({{"a", 1}, beat}).value()).value().body);
    EXPECT_EQ(read.service_age, std::chrono::milliseconds(2));
    EXPECT_EQ(read.heard.at(0).age, std::chrono::milliseconds(1));
}

// Guards against a configuration of 1 MB that does not fit into a frame.
TEST(codec, largest_configuration_fits)
{
    std::string body;
    core::random_generator random(1);
    while (body.size() < (std::size_t{1} << 20U))
    {
        body.push_back(static_cast<char>(random()));
    }
    const message whole{{"a", 1}, config_reply{.version = 2, .body = body}};
    const message read = decode(encode(whole).value()).value();
    EXPECT_EQ(std::get<config_reply>(read.body).body, body);
}

} // namespace
} // namespace zinniaferry::fleet
