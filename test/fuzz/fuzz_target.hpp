/// Entry point and helpers that all fuzz targets share.
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

/// Aborts if `holds` is false, upon which the fuzzer saves the input. `property` is printed.
inline void require(bool holds, const char* property)
{
    if (!holds)
    {
        std::fprintf(stderr, "property violated: %s\n", property);
        std::abort();
    }
}

} // namespace zinniaferry::fuzz
