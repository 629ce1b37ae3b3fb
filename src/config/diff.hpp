/// What a new configuration would change, for operators to read before they publish it.
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

/// One change. For an entry that is added or removed, `field` is empty, except for keys, which are
/// added to and removed from an account one by one.
struct change
{
    change_kind kind = change_kind::changed;
    std::string section; ///< Singular, such as "account"; "configuration" for its own fields.
    std::string name;    ///< The entry's name, or a route's prefix.
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const change&) const = default;
};

/// Returns the changes in the order of the document. The order of entries is not compared, because
/// it has no effect on the fleet. Thread safe.
std::vector<change> diff(const configuration& before, const configuration& after);

/// Returns a short line such as "account school-3: rate 10 -> 20". Thread safe.
std::string to_string(const change& value);

/// Returns the changes for `zinniactl diff --json`. Thread safe.
boost::json::array to_json(const std::vector<change>& changes);

} // namespace zinniaferry::config
