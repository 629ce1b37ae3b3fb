// Lesson 1: a first configuration.
//
// A configuration says who may call (accounts), where the servers are (data centres and services)
// and which requests go to which service (routes). Operators describe it in C++ and the builder
// prints the JSON document that the platform publishes. The daemons read only that document.
//
// This lesson describes the smallest useful deployment: one school that reads timetables.
#include "config/builder.hpp"

using namespace zinniaferry;

int main()
{
    config::deployment deployment;

    // The fleet accepts only higher versions, so every published document needs a new one.
    deployment.version = 1;

    // A data centre lies in a region. Rates are split between regions by weight; with one region
    // the weight has no effect.
    deployment.regions = {{.name = "hungary"}};
    deployment.data_centres = {{.name = "buda", .region = "hungary"}};

    // An account may send `rate` requests a second in the long run and `burst` at once, over all
    // VMs together. The key is given as plain text, but only its digest is printed.
    deployment.accounts = {
        {.name = "village-school", .keys = {"a-key-for-lesson-one"}, .rate = 50, .burst = 100}};

    // A service has servers. Each runs `slots` requests at a time.
    deployment.services = {
        {.name = "timetables",
         .slots = 6,
         .servers = {
             {.name = "timetables-1", .data_centre = "buda", .address = "127.0.0.1:9001"},
             {.name = "timetables-2", .data_centre = "buda", .address = "127.0.0.1:9002"}}}};

    // A route sends the paths below a prefix to a service. The longest matching prefix is taken.
    deployment.routes = {{.prefix = "/timetables", .service = "timetables"}};

    // The builder checks everything that a daemon checks. A mistake ends the program with exit
    // code 2 and one line that names the JSON path; try a rate of -1.
    return config::print_deployment(deployment);
}
