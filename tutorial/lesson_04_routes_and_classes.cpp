// Lesson 4: routes, classes, and requests that must run at most once.
//
// Besides the service, a route defines three properties of its requests: their priority (class),
// whether they may run twice, and whether they need a key.
#include "config/builder.hpp"

using namespace zinniaferry;
using namespace std::chrono_literals;

int main()
{
    config::deployment deployment{.version = 1};

    deployment.regions = {{.name = "lanka"}};
    deployment.data_centres = {{.name = "kandy-1", .region = "lanka"},
                               {.name = "kandy-2", .region = "lanka"}};
    deployment.accounts = {
        {.name = "galle-furniture", .keys = {"a-key-for-lesson-four"}, .rate = 100, .burst = 200}};
    const std::vector<std::string> both_data_centres = {"kandy-1", "kandy-2"};
    deployment.services = {{.name = "orders",
                            .servers = config::make_servers({.name = "orders",
                                                             .count = 4,
                                                             .data_centres = both_data_centres,
                                                             .first_port = 9001})},
                           {.name = "catalogue",
                            .servers = config::make_servers({.name = "catalogue",
                                                             .count = 4,
                                                             .data_centres = both_data_centres,
                                                             .first_port = 9011})}};

    deployment.routes = {
        // Not idempotent: an order is never retried once any byte of it may have reached a server,
        // unless that server states that it did not run the request.
        {.prefix = "/orders",
         .service = "orders",
         .priority = config::order_priority,
         .idempotent = false,
         .timeout = 3s},
        // Reading the state of an order is idempotent; the longer prefix takes precedence. If the
        // response is slow, up to `attempts` servers are tried, well before the latency objective
        // is reached.
        {.prefix = "/orders/state",
         .service = "orders",
         .attempts = 2,
         .objective = 200ms,
         .timeout = 500ms},
        {.prefix = "/catalogue",
         .service = "catalogue",
         .priority = config::browse_priority,
         .timeout = 2s},
        // An open route needs no key, and no account's rate limit applies to it.
        {.prefix = "/catalogue/front-page",
         .service = "catalogue",
         .priority = config::browse_priority,
         .open = true}};
    return config::print_deployment(deployment);
}
