// Lesson 1: a first configuration.
//
// A configuration defines who may send requests (accounts), where the servers are (data centres and
// services) and which requests go to which service (routes). Operators describe it in C++, and the
// builder prints the JSON document that the platform publishes. The daemons read only that
// document.
//
// This lesson describes the smallest useful deployment: one school that reads timetables.
#include "config/builder.hpp"

using namespace zinniaferry;

int main()
{
    config::deployment deployment;

    // Daemons accept only a version above the one they have, so each published document needs a
    // higher one.
    deployment.version = 1;

    // Each data centre belongs to a region. The rates of accounts are split between regions by
    // weight; with one region the weight has no effect.
    deployment.regions = {{.name = "hungary"}};
    deployment.data_centres = {{.name = "buda", .region = "hungary"}};

    // An account may send `rate` requests per second on average and `burst` requests at once, over
    // all VMs together. The key is given as plain text, but only its digest is printed.
    deployment.accounts = {
        {.name = "village-school", .keys = {"a-key-for-lesson-one"}, .rate = 50, .burst = 100}};

    // Each server of a service runs at most `slots` requests concurrently.
    deployment.services = {
        {.name = "timetables",
         .slots = 6,
         .servers = {
             {.name = "timetables-1", .data_centre = "buda", .address = "127.0.0.1:9001"},
             {.name = "timetables-2", .data_centre = "buda", .address = "127.0.0.1:9002"}}}};

    // A route sends requests for the path `prefix` and the paths below it to a service. The longest
    // matching prefix takes precedence.
    deployment.routes = {{.prefix = "/timetables", .service = "timetables"}};

    // The builder makes the same checks as a daemon. An invalid value ends the program with exit
    // code 2 and one line that names its JSON path; try a rate of -1.
    return config::print_deployment(deployment);
}
