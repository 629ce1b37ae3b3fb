#include "config/index.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>

namespace zinniaferry::config
{

namespace
{

std::string normal_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.back() != ']';
    std::string out(has_port ? host.substr(0, colon) : host);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

const route* find_in(const index& index, const std::string& host, std::string_view path)
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

index make_index(std::shared_ptr<const configuration> config)
{
    index out;
    for (const route& entry : config->routes)
    {
        out.routes_by_host[normal_host(entry.host)].push_back(&entry);
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

const route* find_route(const index& index, std::string_view host, std::string_view path)
{
    const route* own = find_in(index, normal_host(host), path);
    return own != nullptr ? own : find_in(index, {}, path);
}

const account* find_account_by_key(const index& index, std::string_view key)
{
    const auto found = index.account_by_key.find(core::sha256(key));
    return found == index.account_by_key.end() ? nullptr : found->second;
}

} // namespace zinniaferry::config
