/// Which account a presented key belongs to, by its digest.
#pragma once

#include "config/model.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinniaferry::fleet
{

/// Two keys are valid at once while an account changes its key.
inline constexpr std::size_t keys_per_account = 2;

struct key_entry
{
    core::digest digest{};
    std::uint32_t account = 0; ///< Index into `key_index::accounts`.
};

/// An immutable index for one configuration version: a table of buckets, chosen by bits of the
/// digest, which says nothing about the keys themselves.
struct key_index
{
    std::uint64_t version = 0;
    std::vector<std::string> accounts;
    std::vector<key_entry> entries;           ///< Sorted by bucket.
    std::vector<std::uint32_t> bucket_starts; ///< Buckets + 1 positions in `entries`.
};

/// Builds the index of a configuration. Keys beyond `keys_per_account` are left out; the
/// configuration's checker refuses them. Thread safe.
key_index make_key_index(const config::configuration& config);

/// Returns the name of the account whose key was presented, or nullptr when there is none or when
/// two accounts have it. Every candidate of the bucket is compared in constant time, without an
/// early end. Thread safe; the pointer is valid as long as the index.
const std::string* find_account_by_key(const key_index& index, std::string_view presented_key);

} // namespace zinniaferry::fleet
