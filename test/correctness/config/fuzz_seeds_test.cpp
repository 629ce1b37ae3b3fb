// The seed inputs of the fuzz targets. A seed that its reader rejects early leaves most of the
// target's code unreached.
#include "chart/chart.hpp"
#include "config/reader.hpp"
#include "config/settings.hpp"
#include "net/message_rules.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <functional>

namespace zinniaferry
{
namespace
{

namespace fs = std::filesystem;

const fs::path source = ZINNIA_SOURCE_DIR;

// Calls `check` with the text and the name of each file in the folder, which must have some.
void for_each_file(const fs::path& folder, const std::string& extension,
                   const std::function<void(std::string_view, const std::string&)>& check)
{
    std::size_t files = 0;
    for (const fs::directory_entry& entry : fs::directory_iterator(folder))
    {
        if (entry.path().extension() == extension)
        {
            const auto text = config::read_text_file(entry.path().string());
            ASSERT_TRUE(text) << entry.path();
            check(*text, entry.path().string());
            ++files;
        }
    }
    EXPECT_GT(files, 0U) << folder;
}

bool is_accepted_request(std::string_view text)
{
    net::http::request_parser<net::http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(text), error);
    return !error && used == text.size() && parser.is_done() &&
           std::holds_alternative<net::request_description>(
               net::describe_request(parser.get(), net::http_profile()));
}

// Guards against seeds of settings with a field that the reader does not know.
TEST(fuzz_seeds, settings_are_accepted)
{
    for_each_file(source / "test/fuzz/seeds/settings", ".json",
                  [](std::string_view text, const std::string& file)
                  { EXPECT_TRUE(config::read_settings(text, file)) << file; });
}

// Guards against requests that are not parsed to their end, or refused.
TEST(fuzz_seeds, requests_are_accepted)
{
    for_each_file(source / "test/fuzz/seeds/http_request", "",
                  [](std::string_view text, const std::string& file)
                  { EXPECT_TRUE(is_accepted_request(text)) << file; });
}

// Guards against examples and charts, which are seeds as well, that their readers reject.
TEST(fuzz_seeds, configurations_and_charts_are_accepted)
{
    for_each_file(source / "examples", ".json",
                  [](std::string_view text, const std::string& file)
                  { EXPECT_TRUE(config::read_configuration(text, file)) << file; });
    for_each_file(source / "charts", ".json",
                  [](std::string_view text, const std::string& file)
                  { EXPECT_TRUE(chart::read_chart(text, file)) << file; });
}

} // namespace
} // namespace zinniaferry
