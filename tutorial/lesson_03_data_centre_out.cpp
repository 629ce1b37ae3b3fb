// Lesson 3: taking a data centre out of service and bringing it back.
//
// Before maintenance of a data centre, operators publish a version in which its state is `out`. A
// VM that has this version sends no new requests there; requests in progress finish. The load moves
// to the other data centres in proportion to their spare capacity. When the data centre is back in
// service, its load rises over 30 seconds, because servers that were idle are cold.
#include "config/builder.hpp"

using namespace zinniaferry;

int main()
{
    config::deployment deployment{.version = 12};
    deployment.regions = {{.name = "hungary"}};
    deployment.data_centres = {{.name = "buda", .region = "hungary"},
                               // `in_service = false` is printed as the state `out`.
                               {.name = "pest", .region = "hungary", .in_service = false},
                               {.name = "obuda", .region = "hungary"}};
    deployment.accounts = {
        {.name = "music-schools", .keys = {"a-key-for-lesson-three"}, .rate = 200, .burst = 400}};

    // A group of servers is distributed round-robin over the data centres, so that each has a
    // third. The servers of a data centre that is out of service stay in the document; only its
    // state changes.
    deployment.services = {
        {.name = "exams",
         .slots = 6,
         .servers = config::make_servers({.name = "exams",
                                          .count = 6,
                                          .data_centres = {"buda", "pest", "obuda"},
                                          .first_port = 9001})}};

    // A single server is drained in the same way: it receives no new requests, but stays configured
    // while its last requests run. Remove it in a later version.
    deployment.services.front().servers.back().leaving = true;

    deployment.routes = {{.prefix = "/exams", .service = "exams"}};
    return config::print_deployment(deployment);
}
