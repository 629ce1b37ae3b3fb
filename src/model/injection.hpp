/// Deliberate faults in the model's use of the decision code, which show that the checks find them.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace zinniaferry::model
{

enum class injection
{
    none,
    apply_older_version, ///< A configuration is replaced by the one before it.
    keep_withdrawn_keys, ///< Keys of the configuration before are accepted.
    forget_route,        ///< For a moment after each change, the first route is unknown.
    wrong_service,       ///< Requests of the first route go to the second route's service.
    retry_unsafe,        ///< Every request counts as idempotent.
    promise_not_run,     ///< A request that was given up is always answered "not run".
    ignore_draining,     ///< Servers that are listed as leaving count as serving.
    ignore_tombstones,   ///< Servers that were removed stay listed.
    ignore_evacuation,   ///< Data centres are never out of service.
    ignore_warmup,       ///< Cold servers count as warm.
    spend_grants_twice,  ///< Each grant is spent twice.
    unlimited_retries,   ///< Retries are not limited by a budget.
    ignore_attempts,     ///< Requests may run on any number of servers.
    ignore_store_era     ///< Revisions of a restored store are compared with earlier ones.
};

/// The groups of promises, with the names that the platform's rules have.
enum class promise
{
    config,
    denied,
    route,
    twice,
    refused,
    drain,
    evac,
    failback,
    quota,
    budget
};

/// Returns the name of the option --inject. Thread safe.
std::string_view to_string(injection value);
std::string_view to_string(promise value);

/// Returns all injections except `none`. Thread safe.
std::vector<injection> all_injections();

/// Returns the injection of the name, or nothing. Thread safe.
std::optional<injection> injection_from(std::string_view name);

/// Returns the promise that the injection breaks. Precondition: not `none`. Thread safe.
promise broken_promise(injection value);

} // namespace zinniaferry::model
