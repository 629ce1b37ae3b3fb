#include "config/index.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace zinniaferry::config
{

namespace
{

std::string normalise_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.back() != ']';
    std::string out(has_port ? host.substr(0, colon) : host);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

const route* find_route_of_host(const configuration_index& index, const std::string& host,
                                std::string_view path)
{
    const auto found = index.routes_by_host.find(host);
    if (found == index.routes_by_host.end())
    {
        return nullptr;
    }
    const auto match = std::find_if(found->second.begin(), found->second.end(),
                                    [&](const route* candidate)
                                    { return prefix_matches(candidate->prefix, path); });
    return match == found->second.end() ? nullptr : *match;
}

} // namespace

std::size_t digest_hash::operator()(const core::digest& value) const noexcept
{
    std::size_t out = 0;
    std::memcpy(&out, value.data(), sizeof out);
    return out;
}

configuration_index make_configuration_index(std::shared_ptr<const configuration> config)
{
    configuration_index out;
    for (const route& entry : config->routes)
    {
        out.routes_by_host[normalise_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, routes] : out.routes_by_host)
    {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* a, const route* b)
                         { return a->prefix.size() > b->prefix.size(); });
    }
    for (const account& entry : config->accounts)
    {
        for (const core::digest& key : entry.keys)
        {
            out.account_by_key.emplace(key, &entry);
        }
    }
    for (const service& entry : config->services)
    {
        out.services.emplace(entry.name, &entry);
    }
    out.config = std::move(config);
    return out;
}

const route* find_route(const configuration_index& index, std::string_view host,
                        std::string_view path)
{
    const route* host_route = find_route_of_host(index, normalise_host(host), path);
    return host_route != nullptr ? host_route : find_route_of_host(index, {}, path);
}

const account* find_account_by_key(const configuration_index& index, std::string_view key)
{
    const auto found = index.account_by_key.find(core::sha256(key));
    return found == index.account_by_key.end() ? nullptr : found->second;
}

} // namespace zinniaferry::config
