/// Stand-in for the product's own configuration service: serves one configuration to read and
/// watch.
#include "stand_in/platform.hpp"
#include "stand_in/program.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>

#include <cstdio>

namespace
{

using namespace zinniaferry;

core::result<int> run(const cxxopts::ParseResult& options)
{
    stand_in::platform_state state;
    boost::asio::io_context context(1);
    BOOST_LEAF_AUTO(configuration, stand_in::read_file(options["config"].as<std::string>()));
    BOOST_LEAF_CHECK(stand_in::publish_configuration(state, std::move(configuration)));
    BOOST_LEAF_AUTO(endpoint, stand_in::parse_endpoint(options["listen"].as<std::string>()));
    BOOST_LEAF_AUTO(acceptor, stand_in::open_listener(context.get_executor(), endpoint));
    std::printf("platform_stub: listening on port %d\n", acceptor.local_endpoint().port());
    std::fflush(stdout);
    boost::asio::co_spawn(
        context,
        stand_in::serve(acceptor, stand_in::make_platform_handler(state), state.connections),
        boost::asio::detached);
    stand_in::run_until_signal(context);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("platform_stub", "Stand-in for the platform's configuration service");
    options.add_options()("listen", "Address to serve on, IP:PORT",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "config", "File with the configuration", cxxopts::value<std::string>());
    return stand_in::run_program(options, argc, argv, run);
}
