#include "config/findings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace zinniaferry::config
{
namespace
{

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

configuration sound_configuration()
{
    configuration out;
    out.regions = {{.name = "r"}};
    out.data_centres = {{.name = "dc", .region = "r"}};
    out.accounts = {{.name = "a", .keys = {core::sha256("key")}, .rate = 10, .burst = 20}};
    out.services = {
        {.name = "s",
         .servers = {{.name = "s-1", .data_centre = "dc"}, {.name = "s-2", .data_centre = "dc"}}}};
    out.routes = {{.prefix = "/x", .service = "s"}};
    return out;
}

std::vector<std::string> problems(const configuration& config)
{
    std::vector<std::string> out;
    for (const finding& value : find_problems(config))
    {
        out.push_back(to_string(value));
    }
    return out;
}

// Guards against warnings that operators learn to ignore.
TEST(findings, a_sound_configuration_has_none)
{
    EXPECT_THAT(problems(sound_configuration()), IsEmpty());
    configuration published_apart = sound_configuration();
    published_apart.services.front().servers.clear();
    EXPECT_THAT(problems(published_apart), IsEmpty());
}

// Guards against publishing an entry that was meant to be used, under another name say.
TEST(findings, entries_that_no_request_reaches_are_named)
{
    configuration config = sound_configuration();
    config.regions.push_back({.name = "empty"});
    config.data_centres.push_back({.name = "bare", .region = "r"});
    config.accounts.push_back({.name = "keyless"});
    config.services.push_back({.name = "unreached", .servers = {{.data_centre = "dc"}}});
    EXPECT_THAT(problems(config),
                ElementsAre("region empty: unused: no data centre is in it, and its weight takes "
                            "a share of the accounts' rates",
                            "data centre bare: unused: no server is in it",
                            "account keyless: unused: it has no key",
                            "service unreached: unused: no route leads to it"));
}

// Guards against publishing limits of which one makes the other useless.
TEST(findings, limits_that_contradict_each_other_are_named)
{
    configuration config = sound_configuration();
    config.accounts.front().burst = 1e6;
    config.services.front().slots = 300;
    config.routes.front().objective = 900ms;
    config.routes.front().timeout = 500ms;
    config.routes.front().attempts = 3;
    config.routes.push_back(
        {.prefix = "/y", .split = {{.service = "s"}, {.service = "s"}}, .attempts = 1});
    EXPECT_THAT(problems(config),
                ElementsAre("account a: contradiction: a burst of 1000000 takes 100000 s to save "
                            "up at a rate of 10",
                            "service s: contradiction: 250 connections cannot fill 300 slots",
                            "route /x: contradiction: objective 900 ms exceeds timeout 500 ms",
                            "route /x: contradiction: 3 attempts exceed the 2 servers of service s",
                            "route /y: contradiction: its split names service s twice"));
}

// Guards against taking the last data centre of a service out of service by mistake.
TEST(findings, a_service_that_no_server_can_serve_is_named)
{
    configuration config = sound_configuration();
    config.data_centres.front().in_service = false;
    EXPECT_THAT(problems(config),
                ElementsAre("service s: contradiction: routes lead to it, but none of its servers "
                            "may get requests"));
}

} // namespace
} // namespace zinniaferry::config
