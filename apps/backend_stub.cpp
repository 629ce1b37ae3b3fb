/// Stand-in for the backend servers of one service, each on its own port, with a control listener.
#include "stand_in/backend.hpp"
#include "stand_in/program.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cxxopts.hpp>

#include <cstdio>
#include <vector>

namespace
{

using namespace zinniaferry;
namespace asio = boost::asio;
using asio::ip::tcp;

core::result<stand_in::backend_options> read_options(const cxxopts::ParseResult& options)
{
    const auto duration_option = [&](const char* name)
    {
        return stand_in::milliseconds(options[name].as<double>());
    };
    const auto distribution = options["distribution"].as<std::string>();
    if (distribution != "exponential" && distribution != "fixed")
    {
        return boost::leaf::new_error(core::document_error{.file = "options",
                                                           .path = "--distribution",
                                                           .value = distribution,
                                                           .expected = "exponential or fixed"});
    }
    return stand_in::backend_options{.service = options["service"].as<std::string>(),
                                     .count = options["count"].as<unsigned>(),
                                     .slots = options["slots"].as<unsigned>(),
                                     .queue_capacity = options["queue"].as<unsigned>(),
                                     .service_time = duration_option("service-ms"),
                                     .fixed_service_time = distribution == "fixed",
                                     .cold_time = duration_option("cold-ms"),
                                     .cold_allowance = options["cold-allowance"].as<unsigned>(),
                                     .cold_factor = options["cold-factor"].as<double>(),
                                     .report_lag = duration_option("report-lag-ms"),
                                     .report_bias = options["report-bias"].as<double>(),
                                     .late_by = duration_option("late-by-ms"),
                                     .body_bytes = options["body-bytes"].as<std::size_t>(),
                                     .seed = options["seed"].as<std::uint64_t>()};
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    BOOST_LEAF_AUTO(backend_settings, read_options(options));
    BOOST_LEAF_AUTO(group,
                    stand_in::make_backend_group(backend_settings, options["log"].as<std::string>(),
                                                 options["exchange-log"].as<std::string>()));
    BOOST_LEAF_AUTO(first_endpoint, stand_in::parse_endpoint(options["listen"].as<std::string>()));
    BOOST_LEAF_AUTO(control_endpoint,
                    stand_in::parse_endpoint(options["control"].as<std::string>()));
    stand_in::connection_set control_connections;
    asio::io_context context(1);
    std::vector<tcp::acceptor> acceptors;
    acceptors.reserve(backend_settings.count + 1); // The coroutines hold references to elements.
    const auto start_listener = [&](const tcp::endpoint& endpoint, stand_in::http_handler handler,
                                    stand_in::connection_set& connections) -> core::result<int>
    {
        BOOST_LEAF_AUTO(acceptor, stand_in::open_listener(context.get_executor(), endpoint));
        acceptors.push_back(std::move(acceptor));
        asio::co_spawn(context, stand_in::serve(acceptors.back(), std::move(handler), connections),
                       asio::detached);
        return acceptors.back().local_endpoint().port();
    };
    for (unsigned i = 0; i < backend_settings.count; ++i)
    {
        const auto port = first_endpoint.port() == 0
                              ? std::uint16_t{0}
                              : static_cast<std::uint16_t>(first_endpoint.port() + i);
        stand_in::backend& server = *group->servers[i];
        BOOST_LEAF_AUTO(bound_port,
                        start_listener({first_endpoint.address(), port},
                                       stand_in::make_backend_handler(server), server.connections));
        std::printf("backend_stub: %s on port %d\n", server.name.c_str(), bound_port);
    }
    BOOST_LEAF_AUTO(bound_port,
                    start_listener(control_endpoint, stand_in::make_backend_control(*group),
                                   control_connections));
    std::printf("backend_stub: control on port %d\n", bound_port);
    std::fflush(stdout);
    stand_in::run_until_signal(context);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("backend_stub", "Stand-in for the backend servers of one service");
    const auto text = [](const char* value)
    {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value)
    {
        return cxxopts::value<double>()->default_value(value);
    };
    const auto count = [](const char* value)
    {
        return cxxopts::value<unsigned>()->default_value(value);
    };
    // clang-format off
    options.add_options()
        ("service", "Service name; the servers are SERVICE-1, SERVICE-2, ...", text("service"))
        ("listen", "IP:PORT of the first server; others use the next ports", text("127.0.0.1:0"))
        ("count", "Number of servers", count("1"))
        ("control", "Address of the control listener, IP:PORT", text("127.0.0.1:0"))
        ("slots", "Requests that a server executes at once", count("2"))
        ("queue", "Requests that may wait for a slot at a server", count("8"))
        ("service-ms", "Mean service time, ms", number("5"))
        ("distribution", "Distribution of service times: exponential or fixed", text("exponential"))
        ("cold-ms", "Cold period after a start or restart, ms", number("0"))
        ("cold-allowance", "Concurrent requests that a cold server may be sent", count("1"))
        ("cold-factor", "Factor on the service time of a cold server", number("4"))
        ("report-lag-ms", "Age of the reported load, ms", number("0"))
        ("report-bias", "Factor on the reported load", number("1"))
        ("late-by-ms", "Time from the deadline to the response in the mode late, ms", number("200"))
        ("body-bytes", "Bytes of content in a response",
            cxxopts::value<std::size_t>()->default_value("256"))
        ("log", "File to append the execution log to; none if empty", text(""))
        ("exchange-log", "File to append a line to for each received request; none if empty",
            text(""))
        ("seed", "Seed of the service times", cxxopts::value<std::uint64_t>()->default_value("1"));
    // clang-format on
    return stand_in::run_program(options, argc, argv, run);
}
