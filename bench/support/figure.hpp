/// One figure of a benchmark and the line of JSON that it is printed as.
#pragma once

#include <boost/json.hpp>

#include <iostream>
#include <optional>
#include <string>

namespace zinniaferry::bench
{

struct figure
{
    std::string name;
    double value = 0.0;
    std::string unit;
    std::optional<double> bound; ///< Without a bound the figure cannot fail.
    boost::json::value baseline; ///< Null when there is none.
    bool pass = true;
};

/// Prints the figure. Returns whether it keeps its bound. Thread safety: one thread at a time.
inline bool print(const figure& line)
{
    boost::json::object out{{"name", line.name}, {"value", line.value},       {"unit", line.unit},
                            {"bound", nullptr},  {"baseline", line.baseline}, {"pass", nullptr}};
    if (line.bound)
    {
        out["bound"] = *line.bound;
        out["pass"] = line.pass;
    }
    std::cout << boost::json::serialize(out) << std::endl;
    return !line.bound || line.pass;
}

} // namespace zinniaferry::bench
