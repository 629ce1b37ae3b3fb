#include "fleet/keys.hpp"

#include <algorithm>
#include <bit>
#include <cstring>

namespace zinniaferry::fleet
{

namespace
{

std::size_t bucket_of(const core::digest& digest, std::size_t buckets)
{
    std::uint64_t bits = 0;
    std::memcpy(&bits, digest.data(), sizeof bits);
    return static_cast<std::size_t>(bits) & (buckets - 1);
}

} // namespace

key_index make_key_index(const config::configuration& config)
{
    key_index index;
    index.version = config.version;
    for (const config::account& account : config.accounts)
    {
        const auto number = static_cast<std::uint32_t>(index.accounts.size());
        index.accounts.push_back(account.name);
        const std::size_t count = std::min(account.keys.size(), keys_per_account);
        for (std::size_t i = 0; i < count; ++i)
        {
            index.entries.push_back({account.keys[i], number});
        }
    }
    // Two buckets per key leave most buckets with at most one candidate.
    const std::size_t buckets = std::bit_ceil(2 * index.entries.size() + 1);
    std::sort(index.entries.begin(), index.entries.end(),
              [&](const key_entry& a, const key_entry& b)
              { return bucket_of(a.digest, buckets) < bucket_of(b.digest, buckets); });
    index.bucket_starts.assign(buckets + 1, 0);
    for (const key_entry& entry : index.entries)
    {
        ++index.bucket_starts[bucket_of(entry.digest, buckets) + 1];
    }
    for (std::size_t i = 1; i <= buckets; ++i)
    {
        index.bucket_starts[i] += index.bucket_starts[i - 1];
    }
    return index;
}

const std::string* find_account_by_key(const key_index& index, std::string_view presented_key)
{
    if (index.bucket_starts.empty())
    {
        return nullptr;
    }
    const core::digest digest = core::sha256(presented_key);
    const std::size_t bucket = bucket_of(digest, index.bucket_starts.size() - 1);
    const std::string* found = nullptr;
    bool ambiguous = false;
    for (std::size_t i = index.bucket_starts[bucket]; i < index.bucket_starts[bucket + 1]; ++i)
    {
        if (core::equal_in_constant_time(index.entries[i].digest, digest))
        {
            const std::string* account = &index.accounts[index.entries[i].account];
            ambiguous = ambiguous || (found != nullptr && found != account);
            found = account;
        }
    }
    return ambiguous ? nullptr : found;
}

} // namespace zinniaferry::fleet
