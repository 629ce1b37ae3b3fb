// Prints the configuration of the deployment in kandy_deployment.hpp as JSON.
#include "config/builder.hpp"
#include "example_arguments.hpp"
#include "kandy_deployment.hpp"

using namespace zinniaferry;

namespace
{

constexpr std::uint16_t default_base_port = 9100;

} // namespace

int main(int argc, char** argv)
{
    const examples::arguments arguments =
        examples::read_arguments(argc, argv, "kandy", default_base_port);
    return config::print_deployment(
        examples::kandy_deployment(arguments.base_port, arguments.servers_address));
}
