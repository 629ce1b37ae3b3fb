#include "load/statement_check.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::load
{
namespace
{

template <class Add>
std::string path_of_error(Add add, const char* line)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::string>
        {
            exchange_history history;
            BOOST_LEAF_CHECK(add(history, line, "file"));
            return std::string("no error");
        },
        [](const core::document_error& error) { return error.path; },
        [] { return std::string("untyped error"); });
}

// Guards against skipping lines of an older or damaged log, which would hide violations.
TEST(statement_check_error, names_the_field_of_a_malformed_line)
{
    EXPECT_EQ(path_of_error(add_caller_request, R"({"id":"1","server":"s"})"), "$.daemon");
    EXPECT_EQ(path_of_error(add_exchange, "{"), "$");
    EXPECT_EQ(path_of_error(add_exchange, R"({"kind":"probe"})"), "$.kind");
    EXPECT_EQ(path_of_error(add_exchange,
                            R"({"kind":"work","caller_id":"1","server":"s","lifetime":1.5})"),
              "$.lifetime");
    EXPECT_EQ(path_of_error(add_exchange,
                            R"({"kind":"work","caller_id":"1","server":"s","lifetime":1,
                                "received_us":1,"ended_us":2,"status":503,"leaving":false,
                                "retry_after_s":"1"})"),
              "$.retry_after_s");
}

} // namespace
} // namespace zinniaferry::load
