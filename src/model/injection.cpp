#include "model/injection.hpp"

#include <array>

namespace zinniaferry::model
{

namespace
{

struct injection_entry
{
    injection value;
    std::string_view name;
    promise broken;
};

constexpr std::array injection_table = {
    injection_entry{injection::apply_older_version, "apply_older_version", promise::config},
    injection_entry{injection::keep_withdrawn_keys, "keep_withdrawn_keys", promise::config},
    injection_entry{injection::forget_route, "forget_route", promise::denied},
    injection_entry{injection::wrong_service, "wrong_service", promise::route},
    injection_entry{injection::retry_unsafe, "retry_unsafe", promise::twice},
    injection_entry{injection::promise_not_run, "promise_not_run", promise::refused},
    injection_entry{injection::ignore_draining, "ignore_draining", promise::drain},
    injection_entry{injection::ignore_tombstones, "ignore_tombstones", promise::drain},
    injection_entry{injection::ignore_evacuation, "ignore_evacuation", promise::evac},
    injection_entry{injection::ignore_warmup, "ignore_warmup", promise::failback},
    injection_entry{injection::spend_grants_twice, "spend_grants_twice", promise::quota},
    injection_entry{injection::unlimited_retries, "unlimited_retries", promise::budget},
    injection_entry{injection::ignore_attempts, "ignore_attempts", promise::budget},
    injection_entry{injection::ignore_store_era, "ignore_store_era", promise::config},
};

/// In the order of `promise`.
constexpr std::array promise_names = {"CONFIG", "DENIED", "ROUTE",    "TWICE", "REFUSED",
                                      "DRAIN",  "EVAC",   "FAILBACK", "QUOTA", "BUDGET"};

} // namespace

std::string_view to_string(injection value)
{
    for (const injection_entry& entry : injection_table)
    {
        if (entry.value == value)
        {
            return entry.name;
        }
    }
    return "none";
}

std::string_view to_string(promise value)
{
    return promise_names.at(static_cast<std::size_t>(value));
}

std::vector<injection> all_injections()
{
    std::vector<injection> out;
    out.reserve(injection_table.size());
    for (const injection_entry& entry : injection_table)
    {
        out.push_back(entry.value);
    }
    return out;
}

std::optional<injection> injection_from(std::string_view name)
{
    for (const injection_entry& entry : injection_table)
    {
        if (entry.name == name)
        {
            return entry.value;
        }
    }
    return std::nullopt;
}

promise broken_promise(injection value)
{
    return injection_table.at(static_cast<std::size_t>(value) - 1).broken;
}

} // namespace zinniaferry::model
