/// The causes of a request's outcome, as a table of rules over the joined facts.
#pragma once

#include "explain/request_facts.hpp"

namespace zinniaferry::explain
{

/// Why a request ended as it did.
struct cause
{
    std::string name; ///< For programs, such as "rate_pool_empty".
    std::string text; ///< A sentence for operators.
};

/// Returns the cause by the first rule that applies. Thread safe.
cause find_cause(const request_facts& facts);

} // namespace zinniaferry::explain
