/// Common parts of the fuzz targets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace zinniaferry::fuzz
{

inline std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

/// Ends the run with the input saved when a property does not hold.
inline void require(bool holds, const char* property)
{
    if (!holds)
    {
        std::fprintf(stderr, "property violated: %s\n", property);
        std::abort();
    }
}

} // namespace zinniaferry::fuzz
