// Lesson 4: routes, classes, and requests that must run at most once.
//
// A route tells the daemons three things beyond the service: how important the request is, whether
// it may run twice, and whether it needs a key.
#include "config/builder.hpp"

using namespace zinniaferry;
using namespace std::chrono_literals;

int main()
{
    config::deployment deployment{.version = 1, .max_vms = 5};

    // Claims of idempotency keys are remembered this long. A caller that repeats an order later
    // than that must label the repeat with the time at which it first sent it.
    deployment.idempotency_window = 10min;

    deployment.regions = {{.name = "lanka"}};
    deployment.data_centres = {{.name = "kandy-1", .region = "lanka"},
                               {.name = "kandy-2", .region = "lanka"}};
    deployment.accounts = {
        {.name = "galle-furniture", .keys = {"a-key-for-lesson-four"}, .rate = 100, .burst = 200}};
    const std::vector<std::string> both = {"kandy-1", "kandy-2"};
    deployment.services = {
        {.name = "orders",
         .servers = config::make_servers(
             {.name = "orders", .count = 4, .data_centres = both, .first_port = 9001})},
        {.name = "catalogue",
         .servers = config::make_servers(
             {.name = "catalogue", .count = 4, .data_centres = both, .first_port = 9011})}};

    deployment.routes = {
        // An order is never sent a second time once any byte of it may have reached a server.
        // Orders are the last requests to be shed when capacity is short.
        {.prefix = "/orders",
         .service = "orders",
         .priority = config::request_class::order,
         .idempotent = false,
         .timeout = 3s},
        // Reading the state of an order is idempotent; the longer prefix takes precedence.
        {.prefix = "/orders/state", .service = "orders", .timeout = 500ms},
        // Browsing is shed first.
        {.prefix = "/catalogue",
         .service = "catalogue",
         .priority = config::request_class::browse,
         .timeout = 2s},
        // An open route needs no key, and no account's rate limits it.
        {.prefix = "/catalogue/front-page",
         .service = "catalogue",
         .priority = config::request_class::browse,
         .open = true}};
    return config::print_deployment(deployment);
}
