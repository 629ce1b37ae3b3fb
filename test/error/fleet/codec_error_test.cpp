#include "core/random.hpp"
#include "fleet/codec.hpp"
#include "fleet/message_bounds.hpp"
#include "support/sample_messages.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <iostream>
#include <limits>

namespace zinniaferry::fleet
{
namespace
{

using reason = core::peer_message_error::reason;

std::optional<reason> refusal_of(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<reason>>
        {
            BOOST_LEAF_CHECK(decode(bytes));
            return std::optional<reason>();
        },
        [](const core::peer_message_error& error) { return std::optional(error.why); },
        [] { return std::optional<reason>(); });
}

bool encodes(message_body body)
{
    return bool(encode({{"a", 1}, std::move(body)}));
}

// Guards against hostile bytes that crash, throw or get through with values out of bounds.
TEST(codec_error, mutated_bytes_are_refused_or_within_bounds)
{
    core::random_generator random(20240601);
    int refused = 0;
    int accepted = 0;
    for (const message& sample : test::sample_messages())
    {
        const std::string whole = encode(sample).value();
        for (int round = 0; round < 3000; ++round)
        {
            std::string bytes = whole;
            for (std::size_t i = 0; i <= core::uniform_index(random, 4); ++i)
            {
                bytes[core::uniform_index(random, bytes.size())] = static_cast<char>(random());
            }
            if (round % 5 == 0)
            {
                bytes.resize(core::uniform_index(random, bytes.size() + 1));
            }
            const core::result<message> read = decode(bytes);
            (read ? accepted : refused) += 1;
            EXPECT_TRUE(!read || is_within_bounds(*read));
        }
    }
    std::cout << "codec: mutated " << refused + accepted << ", refused " << refused << '\n';
    EXPECT_GT(refused, 1000);
    EXPECT_GT(accepted, 1000);
}

// Guards against random bytes without any structure.
TEST(codec_error, random_bytes_are_refused)
{
    core::random_generator random(7);
    for (int round = 0; round < 20000; ++round)
    {
        std::string bytes(core::uniform_index(random, 200), '\0');
        for (char& c : bytes)
        {
            c = static_cast<char>(random());
        }
        const core::result<message> read = decode(bytes);
        EXPECT_TRUE(!read || is_within_bounds(*read));
    }
    EXPECT_EQ(refusal_of(""), reason::malformed);
}

// Guards against a few bytes that unpack into gigabytes.
TEST(codec_error, bytes_that_unpack_into_too_much_are_refused)
{
    std::string zeros;
    for (int i = 0; i < 400'000; ++i)
    {
        zeros += std::string("\0\xFF", 2);
    }
    EXPECT_EQ(refusal_of(zeros), reason::too_large);
    EXPECT_EQ(refusal_of(std::string(max_message_size + 1, 'x')), reason::too_large);
}

// Guards against values that no receiver would accept and that only fail there.
TEST(codec_error, values_out_of_bounds_are_not_encoded)
{
    using namespace std::chrono_literals;
    EXPECT_TRUE(encodes(loan_request{4s, {{"account", 1, 1.0, 1.0}}}));
    EXPECT_FALSE(encodes(loan_request{-1ns, {}}));
    EXPECT_FALSE(encodes(loan_request{25h, {}}));
    for (const double bad : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()})
    {
        EXPECT_FALSE(encodes(loan_request{4s, {{"account", 1, bad, 1.0}}}));
        EXPECT_FALSE(encodes(loan_reply{4s, {{"account", 1, 1.0, 1.0, bad}}, {}}));
    }
    EXPECT_FALSE(encodes(permit_return{std::string(257, 'x'), 1, true}));
    EXPECT_FALSE(encodes(loan_return{std::vector<std::uint64_t>(4097)}));
    EXPECT_FALSE(encodes(config_reply{.body = std::string((1U << 20U) + 1, 'x')}));
    EXPECT_FALSE(bool(encode({{"", 1}, config_request{1}})));
}

} // namespace
} // namespace zinniaferry::fleet
