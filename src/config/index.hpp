/// Index of one configuration, to look up the route of a request and the account of a key.
#pragma once

#include "config/model.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace zinniaferry::config
{

/// Hashes a digest by its first bytes, which SHA-256 distributes evenly.
struct digest_hash
{
    std::size_t operator()(const core::digest& value) const noexcept;
};

/// Immutable after make_configuration_index. Its pointers refer to `config`, which it keeps alive.
struct configuration_index
{
    std::shared_ptr<const configuration> config;
    /// By lower-case host without a port, empty for any host; the longest prefix comes first.
    std::unordered_map<std::string, std::vector<const route*>> routes_by_host;
    std::unordered_map<core::digest, const account*, digest_hash> account_by_key;
    std::unordered_map<std::string, const service*> services;
};

/// Precondition: `config` is not null. Thread safe.
configuration_index make_configuration_index(std::shared_ptr<const configuration> config);

/// Returns the route with the longest prefix that matches the path, or nullptr. Routes of the host
/// take precedence over routes of any host. `host` may include a port. Thread safe.
const route* find_route(const configuration_index& index, std::string_view host,
                        std::string_view path);

/// Returns the account that the plain-text key belongs to, or nullptr. Thread safe.
const account* find_account_by_key(const configuration_index& index, std::string_view key);

} // namespace zinniaferry::config
