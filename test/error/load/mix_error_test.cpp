#include "load/mix.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::load
{
namespace
{

std::string path_of_error(const char* text)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::string>
        {
            BOOST_LEAF_CHECK(read_mix(text, "test"));
            return std::string("no error");
        },
        [](const core::document_error& error) { return error.path; },
        [] { return std::string("untyped error"); });
}

// Guards against ignoring a misspelt or invalid field, which would generate the wrong traffic.
TEST(mix_error, names_the_path_of_a_wrong_field)
{
    EXPECT_EQ(path_of_error(R"({"accounts": [{"name": "a", "rate": 1}],
                                "routes": [{"path": "/x", "wieght": 2}]})"),
              "$.routes[0].wieght");
    EXPECT_EQ(path_of_error(R"({"accounts": [{"name": "a", "rate": -1}],
                                "routes": [{"path": "/x"}]})"),
              "$.accounts[0].rate");
    EXPECT_EQ(path_of_error(R"({"accounts": [{"name": "a", "rate": 1}],
                                "routes": [{"path": "/x?id=3"}]})"),
              "$.routes[0].path");
}

// Guards against a run that sends no request and reports no error, because every rate is 0, there
// is no route or the document is malformed.
TEST(mix_error, rejects_a_mix_that_sends_nothing)
{
    EXPECT_EQ(path_of_error(R"({"accounts": [{"name": "a"}], "routes": [{"path": "/x"}]})"),
              "$.accounts");
    EXPECT_EQ(path_of_error(R"({"accounts": [{"name": "a", "rate": 1}], "routes": []})"),
              "$.routes");
    EXPECT_EQ(path_of_error("{"), "$");
}

} // namespace
} // namespace zinniaferry::load
