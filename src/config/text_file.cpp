#include "config/text_file.hpp"

#include <array>
#include <cerrno>
#include <cstdio>
#include <memory>

namespace zinniaferry::config
{

namespace
{

boost::leaf::error_id too_large(const std::string& file, std::size_t max_bytes)
{
    const std::string limit = std::to_string(max_bytes) + " bytes";
    return boost::leaf::new_error(core::document_error{
        .file = file, .path = "$", .value = "more than " + limit, .expected = "at most " + limit});
}

} // namespace

core::result<std::string> read_text_file(const std::string& file, std::size_t max_bytes)
{
    const auto close = [](std::FILE* stream)
    {
        std::fclose(stream);
    };
    const std::unique_ptr<std::FILE, decltype(close)> input(std::fopen(file.c_str(), "rb"), close);
    if (!input)
    {
        return boost::leaf::new_error(core::file_error{.file = file, .error_number = errno});
    }
    std::string out;
    std::array<char, 4096> chunk;
    errno = 0;
    while (const std::size_t read = std::fread(chunk.data(), 1, chunk.size(), input.get()))
    {
        out.append(chunk.data(), read);
        if (out.size() > max_bytes)
        {
            return too_large(file, max_bytes);
        }
    }
    if (std::ferror(input.get()) != 0)
    {
        return boost::leaf::new_error(core::file_error{.file = file, .error_number = errno});
    }
    return out;
}

} // namespace zinniaferry::config
