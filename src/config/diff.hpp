/// Differences between two configurations, for operators to review before they publish one.
#pragma once

#include "config/model.hpp"

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace zinniaferry::config
{

enum class change_kind
{
    added,
    removed,
    changed
};

/// One change. `field` is empty when a whole entry is added or removed. Keys are added to and
/// removed from an account one by one, with the field "key".
struct change
{
    change_kind kind = change_kind::changed;
    std::string section; ///< Singular, such as "account"; "configuration" for its own fields.
    std::string name;    ///< The entry's name; for a route its host and prefix.
    std::string field;
    std::string before; ///< The old value, or all fields of a removed entry.
    std::string after;  ///< The new value, or all fields of an added entry.

    bool operator==(const change&) const = default;
};

/// Returns the changes, section by section in the order of the document. The order of entries is
/// not compared, because it has no effect on the fleet. Thread safe.
std::vector<change> diff(const configuration& before, const configuration& after);

/// Returns a line such as "account school-3: rate 10 -> 20". Thread safe.
std::string to_string(const change& value);

/// Returns the changes as `zinniactl diff --json` prints them. Thread safe.
boost::json::array to_json(const std::vector<change>& changes);

} // namespace zinniaferry::config
