/// The difference between two canonical texts by named entry, so that a daemon that has one
/// version gets the next one in a few hundred bytes.
#pragma once

#include "core/error.hpp"

#include <string>
#include <string_view>

namespace zinniaferry::config
{

/// A delta that cannot be made or applied.
struct delta_error
{
    enum class reason
    {
        not_canonical, ///< The base or the target is not the text that `print` writes.
        malformed,     ///< The delta itself cannot be read.
        wrong_base,    ///< The delta starts from another version.
        unknown_entry, ///< The delta names an entry that the base does not have.
        wrong_digest   ///< The result is not the text that the delta was made for.
    };
    reason why = reason::malformed;
    std::string detail; ///< The part of the text or of the delta that is at fault.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const delta_error& error);

/// Returns the delta that leads from one canonical text to another. It holds the entries that
/// are new or changed, the names of those that are gone, and the order of a section when the
/// rest does not settle it. Error: delta_error. Thread safe.
core::result<std::string> make_delta(std::string_view base, std::string_view target);

/// Returns the exact target text. The digest is checked; whether the configuration is valid is
/// for `read_configuration` to say. Errors: delta_error; document_error when the delta is not
/// JSON. Thread safe.
core::result<std::string> apply_delta(std::string_view base, std::string_view delta);

} // namespace zinniaferry::config
