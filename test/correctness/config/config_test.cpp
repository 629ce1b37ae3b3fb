#include "config/printer.hpp"
#include "config/reader.hpp"

#include <gtest/gtest.h>

namespace zinniaferry::config
{
namespace
{

constexpr const char* small_configuration = R"({
    // Operators may write comments and trailing commas.
    "version": 7, "max_vms": 20,
    "regions": [{"name": "hill", "weight": 0.25}],
    "data_centres": [{"name": "north", "region": "hill", "state": "out"}],
    "accounts": [{"name": "school-3", "rate": 0.1, "burst": 12.5, "seat_fraction": 0, "keys": [
        "9F86D081884C7D659A2FEAA0C55AD015A3BF4F1B2B0B822CD15D6C15B0F00A08"]}],
    "services": [{"name": "exams", "slots": 6, "servers": [
        {"name": "exams-1", "data_centre": "north", "address": "[::1]:9001", "leaving": true}]}],
    "routes": [{"prefix": "/exams", "service": "exams", "class": "browse", "timeout_ms": 750}],
})";

// Guards against a field that is read but not printed, or printed but not read.
TEST(config, canonical_text_reads_back_as_an_equal_configuration)
{
    const configuration config = read_configuration(small_configuration, "test").value();
    EXPECT_EQ(config.accounts[0].rate, 0.1);
    EXPECT_EQ(config.routes[0].timeout, std::chrono::milliseconds(750));
    EXPECT_TRUE(config.services[0].servers[0].leaving);
    const configuration again = read_configuration(print(config), "test").value();
    EXPECT_EQ(again, config);
    EXPECT_EQ(digest_of(again), digest_of(config));
}

} // namespace
} // namespace zinniaferry::config
