/// Finds what is valid in a configuration but cannot be meant: entries that no request can reach,
/// and limits that contradict each other. For operators, before they publish one.
#pragma once

#include "config/model.hpp"

#include <boost/json/array.hpp>

#include <string>
#include <vector>

namespace zinniaferry::config
{

enum class finding_kind
{
    unused,       ///< No request can ever use the entry.
    contradiction ///< Two values of the entry exclude each other.
};

struct finding
{
    finding_kind kind = finding_kind::unused;
    std::string section; ///< Singular, such as "route".
    std::string name;    ///< The entry's name; for a route its host and prefix.
    std::string problem; ///< What is found, with the values.

    bool operator==(const finding&) const = default;
};

/// Returns the findings, section by section. Servers that the platform publishes apart from the
/// configuration are not known here: without any server in the document nothing that depends on
/// servers is checked. Thread safe while the configuration is not modified.
std::vector<finding> find_problems(const configuration& config);

/// Returns a line such as "route x/orders: contradiction: objective 900 ms exceeds timeout 500 ms".
/// Thread safe.
std::string to_string(const finding& value);

/// Returns the findings as `zinniactl check --json` prints them. Thread safe.
boost::json::array to_json(const std::vector<finding>& findings);

} // namespace zinniaferry::config
