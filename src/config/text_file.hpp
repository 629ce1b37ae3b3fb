/// Reads the text files that operators and the platform write: settings and configurations.
#pragma once

#include "core/error.hpp"

#include <cstddef>
#include <string>

namespace zinniaferry::config
{

/// Size of the largest value that the platform stores.
inline constexpr std::size_t max_document_bytes = 1U << 20U;

/// Returns the content of a file. Errors: file_error when the file cannot be read; document_error
/// when it is larger than `max_bytes`. Thread safe.
core::result<std::string> read_text_file(const std::string& file,
                                         std::size_t max_bytes = max_document_bytes);

} // namespace zinniaferry::config
