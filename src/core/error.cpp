#include "core/error.hpp"

#include <spdlog/fmt/fmt.h>

#include <system_error>

namespace zinniaferry::core
{

std::string to_string(const document_error& error)
{
    return fmt::format("{}: {}: found {}, expected {}", error.file, error.path, error.value,
                       error.expected);
}

std::string to_string(const file_error& error)
{
    return fmt::format("{}: {}", error.file,
                       std::error_code(error.error_number, std::generic_category()).message());
}

std::string to_string(const peer_message_error& error)
{
    static constexpr const char* reason_names[] = {"malformed", "too large"};
    return fmt::format("peer message refused: {}, {} bytes",
                       reason_names[static_cast<int>(error.why)], error.size);
}

} // namespace zinniaferry::core
