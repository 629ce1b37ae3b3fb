// Lesson 3: taking a data centre out and bringing it back.
//
// Before work on a data centre, operators publish a version in which its state is `out`. From the
// moment a VM has that version it sends no new work there; requests that are running finish. The
// load goes to the other data centres by their headroom. Back in, the load rises over 30 seconds,
// because servers that were idle are cold.
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

    // A group of servers is dealt out to the data centres in turn, so that each holds a third. The
    // servers of the data centre that is out stay in the document; only its state changes.
    deployment.services = {
        {.name = "exams",
         .slots = 6,
         .servers = config::make_servers({.name = "exams",
                                          .count = 6,
                                          .data_centres = {"buda", "pest", "obuda"},
                                          .first_port = 9001})}};

    // A single server leaves in the same way: it receives no new work, but it is not forgotten
    // while its last requests run. Remove it in a later version.
    deployment.services.front().servers.back().leaving = true;

    deployment.routes = {{.prefix = "/exams", .service = "exams"}};
    return config::print_deployment(deployment);
}
