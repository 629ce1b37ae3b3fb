/// Daemon of the zinniaferry load balancer: reads its settings and runs until it is stopped.
#include "config/settings.hpp"
#include "config/text_file.hpp"
#include "net/configuration_service.hpp"
#include "net/daemon_program.hpp"

#include <cstdio>
#include <string>

namespace
{

using namespace zinniaferry;

core::result<int> run(const cxxopts::ParseResult& given)
{
    if (given.count("settings") == 0)
    {
        return boost::leaf::new_error(net::usage_error{"--settings FILE is required"});
    }
    const std::string file = given["settings"].as<std::string>();
    BOOST_LEAF_AUTO(text, config::read_text_file(file));
    BOOST_LEAF_AUTO(settings, config::read_settings(text, file));
    if (given.count("check") > 0)
    {
        std::printf("%s: valid settings for VM %s\n", file.c_str(), settings.vm.c_str());
        return 0;
    }
    const net::daemon_options options = net::make_daemon_options(settings, file);
    const net::platform_adapter adapter =
        net::make_configuration_service_adapter(settings.platform);
    BOOST_LEAF_CHECK(net::run_daemon(options, adapter));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("zinniaferry", "Daemon of the zinniaferry load balancer.");
    options.add_options()("settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())("check", "check the settings and exit");
    return net::run_daemon_program(options, argc, argv, run);
}
