/// Lookups in one configuration: the route of a request and the account of a key.
#pragma once

#include "config/model.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinniaferry::config
{

/// Reads a digest's first bytes; SHA-256 spreads them evenly.
struct digest_hash
{
    std::size_t operator()(const core::digest& value) const noexcept;
};

/// Immutable after make_index. It shares the configuration that its pointers refer to.
struct configuration_index
{
    std::shared_ptr<const configuration> config;
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host; ///< Longest first.
    std::unordered_map<core::digest, const account*, digest_hash> account_by_key;
    std::unordered_map<std::string, const service*> services;
};

/// Builds the index. Precondition: `config` is not null. Thread safe.
configuration_index make_configuration_index(std::shared_ptr<const configuration> config);

/// Returns the route of the host, or of any host, with the longest prefix that begins the path, or
/// nullptr. The host may carry a port. Thread safe.
const route* find_route(const configuration_index& index, std::string_view host, std::string_view path);

/// Returns the account of the key or nullptr. Thread safe.
const account* find_account_by_key(const configuration_index& index, std::string_view key);

} // namespace zinniaferry::config
