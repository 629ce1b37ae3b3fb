/// Reads the files that operators and the platform write: settings and configurations.
#pragma once

#include "core/error.hpp"

#include <cstddef>
#include <string>

namespace zinniaferry::config
{

/// The platform holds values up to this size, in bytes.
inline constexpr std::size_t max_document_bytes = 1U << 20U;

/// Returns the content of a file. Errors: file_error; document_error when it is larger than
/// `max_document_bytes`. Thread safe.
core::result<std::string> read_text_file(const std::string& file);

} // namespace zinniaferry::config
