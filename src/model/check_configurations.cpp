#include "model/checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

namespace zinniaferry::model
{

namespace
{

/// Factor on bounds::back for a daemon out of touch.
constexpr int back_factor_out_of_touch = 8;

/// How a daemon has handled a request, as far as the configuration decides on it.
struct handling
{
    enum class kind
    {
        sent, ///< To a server.
        unknown_route,
        unknown_key
    };
    kind what = kind::sent;
    std::string service; ///< That got the request.
    std::string account; ///< As stated to the server.
    core::time_point at; ///< Arrival at the server or the caller.

    bool matches(const handling& other) const
    {
        return what == other.what && service == other.service && account == other.account;
    }
};

/// Indices in history::configurations.
struct version_ranges
{
    std::size_t oldest_in_force = 0;
    std::size_t newest_in_force = 0;
    std::vector<bool> allowing; ///< By version: it allows what happened to the request.

    bool allowed_in_force() const
    {
        const auto begin = allowing.begin();
        return std::find(begin + static_cast<std::ptrdiff_t>(oldest_in_force),
                         begin + static_cast<std::ptrdiff_t>(newest_in_force) + 1,
                         true) != begin + static_cast<std::ptrdiff_t>(newest_in_force) + 1;
    }
    std::optional<std::size_t> oldest_allowing() const
    {
        const auto found = std::find(allowing.begin(), allowing.end(), true);
        return found == allowing.end()
                   ? std::nullopt
                   : std::optional(static_cast<std::size_t>(found - allowing.begin()));
    }
    std::optional<std::size_t> newest_allowing() const
    {
        const auto found = std::find(allowing.rbegin(), allowing.rend(), true);
        return found == allowing.rend()
                   ? std::nullopt
                   : std::optional(static_cast<std::size_t>(allowing.rend() - found) - 1);
    }
};

/// The newest version whose effect a server had seen by a time.
struct seen_version
{
    core::time_point at;
    std::size_t version = 0;
};

/// Finds violations in the order in which requests were handled.
struct configuration_check
{
    const model::history& history;
    const model::bounds& bounds;
    std::vector<violation>& out;
    std::vector<violation> denied;
    std::vector<violation> denied_out_of_touch;
    std::map<std::uint64_t, std::vector<seen_version>> seen; ///< By process, in ascending order.
};

handling expected(const config::configuration_index& index, const request_record& request)
{
    const config::route* route = config::find_route(index, "", request.path);
    if (route == nullptr)
    {
        return {.what = handling::kind::unknown_route};
    }
    const config::account* account = config::find_account_by_key(index, request.key);
    if (account == nullptr)
    {
        return {.what = handling::kind::unknown_key};
    }
    return {.service = route->service, .account = account->name};
}

version_ranges find_versions(const configuration_check& check, const request_record& request,
                             const handling& handled)
{
    version_ranges out;
    const auto& versions = check.history.configurations;
    for (std::size_t i = 0; i < versions.size(); ++i)
    {
        if (versions[i].confirmed_at + check.bounds.config_apply <= request.sent_at)
        {
            out.oldest_in_force = i;
        }
        if (versions[i].confirmed_at <= handled.at)
        {
            out.newest_in_force = i;
        }
        out.allowing.push_back(expected(*versions[i].index, request).matches(handled));
    }
    return out;
}

bool is_accepted_by(const configuration_check& check, const request_record& request,
                    std::size_t oldest, std::size_t newest)
{
    for (std::size_t i = oldest; i <= newest; ++i)
    {
        if (expected(*check.history.configurations[i].index, request).what != handling::kind::sent)
        {
            return false;
        }
    }
    return true;
}

violation make_violation(promise broken, const request_record& request, const handling& handled,
                         std::size_t version, std::string details)
{
    return {.broken = broken,
            .at = handled.at,
            .daemon = request.daemon,
            .request = request.id,
            .version = version + 1,
            .details = std::move(details)};
}

std::string describe(const request_record& request, const handling& handled)
{
    constexpr const char* names[] = {"sent", "unknown route", "unknown key"};
    return fmt::format("{} with {} {} {} {}", request.path, request.key,
                       names[static_cast<std::size_t>(handled.what)], handled.service,
                       handled.account);
}

// A daemon does not return to an older version than the one whose effect it has shown.
void check_return(configuration_check& check, const request_record& request,
                  const handling& handled, const version_ranges& versions, bool touched)
{
    std::vector<seen_version>& seen = check.seen[request.process];
    const core::duration margin = check.bounds.back * (touched ? 1 : back_factor_out_of_touch);
    const auto later = std::find_if(seen.begin(), seen.end(),
                                    [&](const seen_version& entry)
                                    { return entry.at + margin >= request.sent_at; });
    if (later != seen.begin() && *versions.newest_allowing() < std::prev(later)->version)
    {
        check.out.push_back(
            make_violation(promise::config, request, handled, *versions.newest_allowing(),
                           describe(request, handled) + ", although a server had seen version " +
                               std::to_string(std::prev(later)->version + 1)));
    }
    const std::size_t shown = *versions.oldest_allowing();
    if (handled.what == handling::kind::sent && (seen.empty() || shown > seen.back().version))
    {
        seen.push_back({handled.at, shown});
    }
}

void check_unexplained(configuration_check& check, const request_record& request,
                       const handling& handled, const version_ranges& versions, bool touched)
{
    violation found = make_violation(promise::denied, request, handled, versions.newest_in_force,
                                     describe(request, handled) + ", which no version allows");
    if (handled.what == handling::kind::sent)
    {
        found.broken = promise::route;
        check.out.push_back(std::move(found));
    }
    else if (touched &&
             is_accepted_by(check, request, versions.oldest_in_force, versions.newest_in_force))
    {
        check.denied.push_back(std::move(found));
    }
    else if (is_accepted_by(check, request, 0, check.history.configurations.size() - 1))
    {
        check.denied_out_of_touch.push_back(std::move(found));
    }
}

void check_handling(configuration_check& check, const request_record& request,
                    const handling& handled)
{
    const version_ranges versions = find_versions(check, request, handled);
    const bool touched =
        in_touch(check.history, check.bounds, request.daemon, request.sent_at, handled.at);
    if (!versions.oldest_allowing())
    {
        check_unexplained(check, request, handled, versions, touched);
        return;
    }
    check_return(check, request, handled, versions, touched);
    if (touched && !versions.allowed_in_force())
    {
        check.out.push_back(make_violation(
            promise::config, request, handled, *versions.newest_allowing(),
            fmt::format("{}, although version {} was confirmed {:.1f} s before it was sent",
                        describe(request, handled), versions.oldest_in_force + 1,
                        core::to_seconds(check.bounds.config_apply))));
    }
}

struct handled_request
{
    const request_record* request = nullptr;
    handling what;
};

std::vector<handled_request> handled_in_order(const history& history)
{
    std::vector<handled_request> out;
    for (const arrival& entry : history.arrivals)
    {
        out.push_back(
            {&history.requests[entry.request],
             {.service = entry.service, .account = entry.account, .at = entry.arrived_at}});
    }
    for (const request_record& request : history.requests)
    {
        if (request.status == 401 || request.status == 404)
        {
            out.push_back({&request,
                           {.what = request.status == 404 ? handling::kind::unknown_route
                                                          : handling::kind::unknown_key,
                            .at = *request.answered_at}});
        }
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const handled_request& a, const handled_request& b)
                     { return a.what.at < b.what.at; });
    return out;
}

void report_above(std::vector<violation>& found, double tolerated, std::vector<violation>& out)
{
    if (static_cast<double>(found.size()) > tolerated)
    {
        violation& last = found.back();
        last.details += fmt::format("; {} of them, tolerated are {:.1f}", found.size(), tolerated);
        out.push_back(std::move(last));
    }
}

} // namespace

void check_configurations(const history& history, const bounds& bounds, std::vector<violation>& out)
{
    configuration_check check{.history = history, .bounds = bounds, .out = out};
    for (const handled_request& entry : handled_in_order(history))
    {
        check_handling(check, *entry.request, entry.what);
    }
    report_above(check.denied,
                 bounds.denied_slack +
                     static_cast<double>(history.requests.size()) * bounds.denied_fraction,
                 out);
    report_above(check.denied_out_of_touch, bounds.denied_out_of_touch, out);
}

} // namespace zinniaferry::model
