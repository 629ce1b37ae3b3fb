#include "fleet/keys.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::fleet
{
namespace
{

config::configuration with_accounts(std::size_t count)
{
    config::configuration config{.version = 3};
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::string name = "account" + std::to_string(i);
        config.accounts.push_back(
            {.name = name,
             .keys = {core::sha256(name + " old key"), core::sha256(name + " new key")}});
    }
    return config;
}

// Guards against buckets that lose an account or give a key to a neighbour.
TEST(keys, finds_both_keys_of_each_account_and_no_other)
{
    const key_index index = make_key_index(with_accounts(500));
    EXPECT_EQ(index.version, 3U);
    for (int i = 0; i < 500; ++i)
    {
        const std::string name = "account" + std::to_string(i);
        for (const char* key : {" old key", " new key"})
        {
            const std::string* found = find_account_by_key(index, name + key);
            ASSERT_NE(found, nullptr) << name << key;
            EXPECT_EQ(*found, name);
        }
        EXPECT_EQ(find_account_by_key(index, name), nullptr);
    }
    EXPECT_EQ(find_account_by_key(index, ""), nullptr);
    EXPECT_EQ(find_account_by_key(make_key_index({}), "key"), nullptr);
    EXPECT_EQ(find_account_by_key({}, "key"), nullptr);
}

// Guards R4: a withdrawn key that works after its version is replaced.
TEST(keys, withdrawn_key_is_gone_with_the_version)
{
    config::configuration config = with_accounts(2);
    config.accounts[0].keys.erase(config.accounts[0].keys.begin());
    const key_index index = make_key_index(config);
    EXPECT_EQ(find_account_by_key(index, "account0 old key"), nullptr);
    EXPECT_NE(find_account_by_key(index, "account0 new key"), nullptr);
}

// Guards against a request that runs for one of two accounts with the same key.
TEST(keys, key_of_two_accounts_belongs_to_none)
{
    config::configuration config = with_accounts(2);
    config.accounts[1].keys[0] = config.accounts[0].keys[0];
    EXPECT_EQ(find_account_by_key(make_key_index(config), "account0 old key"), nullptr);
}

// Guards against a third key that the configuration's checker failed to refuse.
TEST(keys, only_two_keys_of_an_account_are_valid)
{
    config::configuration config = with_accounts(1);
    config.accounts[0].keys.push_back(core::sha256("third"));
    EXPECT_EQ(find_account_by_key(make_key_index(config), "third"), nullptr);
}

// Guards against a lookup whose cost grows with the number of accounts.
TEST(keys, buckets_stay_small)
{
    const key_index index = make_key_index(with_accounts(5000));
    std::uint32_t largest = 0;
    for (std::size_t i = 1; i < index.bucket_starts.size(); ++i)
    {
        largest = std::max(largest, index.bucket_starts[i] - index.bucket_starts[i - 1]);
    }
    EXPECT_LE(largest, 8U);
}

} // namespace
} // namespace zinniaferry::fleet
