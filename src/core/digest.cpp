#include "core/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <charconv>

namespace zinniaferry::core
{

digest sha256(std::string_view data)
{
    digest out;
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), out.data());
    return out;
}

bool equal_in_constant_time(const digest& a, const digest& b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string to_hex(const digest& value)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string out;
    out.reserve(2 * value.size());
    for (const std::uint8_t byte : value)
    {
        out.push_back(digits[byte >> 4U]);
        out.push_back(digits[byte & 0xFU]);
    }
    return out;
}

std::optional<digest> digest_from_hex(std::string_view hex)
{
    digest out{};
    if (hex.size() != 2 * out.size())
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        const char* first = hex.data() + 2 * i;
        const auto [end, error] = std::from_chars(first, first + 2, out[i], 16);
        if (error != std::errc() || end != first + 2)
        {
            return std::nullopt;
        }
    }
    return out;
}

} // namespace zinniaferry::core
