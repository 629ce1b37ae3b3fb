/// Load generator: sends open-loop traffic to one or more daemons and checks every response.
#include "load/load_run.hpp"
#include "stand_in/http_server.hpp"
#include "stand_in/program.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <cxxopts.hpp>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <unistd.h>

namespace
{

using namespace zinniaferry;
namespace asio = boost::asio;

boost::leaf::error_id invalid_option_error(const char* name, std::string value,
                                           const char* expected)
{
    return boost::leaf::new_error(core::document_error{
        .file = "options", .path = name, .value = std::move(value), .expected = expected});
}

std::string default_id_prefix()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return "run-" + std::to_string(ms);
}

core::result<load::run_options> read_options(const cxxopts::ParseResult& options)
{
    const auto spacing = options["spacing"].as<std::string>();
    if (spacing != "poisson" && spacing != "fixed")
    {
        return invalid_option_error("--spacing", spacing, "poisson or fixed");
    }
    const double duration_s = options["duration"].as<double>();
    if (!(duration_s > 0.0 && duration_s <= 86400.0))
    {
        return invalid_option_error("--duration", std::to_string(duration_s),
                                    "seconds above 0, up to 86400");
    }
    const double repeat_ratio = options["repeat-orders"].as<double>();
    if (!(repeat_ratio >= 0.0 && repeat_ratio <= 1.0))
    {
        return invalid_option_error("--repeat-orders", std::to_string(repeat_ratio),
                                    "a fraction from 0 to 1");
    }
    const auto name = options["name"].as<std::string>();
    return load::run_options{.id_prefix = name.empty() ? default_id_prefix() : name,
                             .duration = load::seconds(duration_s),
                             .spacing = spacing == "fixed" ? load::arrival_spacing::fixed
                                                           : load::arrival_spacing::poisson,
                             .seed = options["seed"].as<std::uint64_t>(),
                             .pin_accounts = options["pin"].as<bool>(),
                             .repeat_ratio = repeat_ratio,
                             .max_in_flight = options["max-open"].as<std::size_t>(),
                             .show_progress = isatty(STDERR_FILENO) != 0};
}

core::result<void> read_inputs(const cxxopts::ParseResult& options, load::run_state& state)
{
    BOOST_LEAF_ASSIGN(state.options, read_options(options));
    const auto file = options["mix"].as<std::string>();
    BOOST_LEAF_AUTO(text, stand_in::read_file(file));
    BOOST_LEAF_ASSIGN(state.mix, load::read_mix(text, file));
    if (const double rate = options["rate"].as<double>(); rate > 0.0)
    {
        load::scale_rates(state.mix, rate);
    }
    std::vector<asio::ip::tcp::endpoint> targets;
    for (const std::string& target : options["target"].as<std::vector<std::string>>())
    {
        BOOST_LEAF_AUTO(endpoint, stand_in::parse_endpoint(target));
        targets.push_back(endpoint);
    }
    state.target_count = targets.size();
    state.pool = load::make_connection_pool(std::move(targets));
    if (const auto name = options["record"].as<std::string>(); !name.empty())
    {
        state.record_file.open(name, std::ios::trunc);
        if (!state.record_file)
        {
            return boost::leaf::new_error(
                core::file_error{.file = name, .error_number = errno != 0 ? errno : EIO});
        }
    }
    return {};
}

core::result<int> run(const cxxopts::ParseResult& options)
{
    load::run_state state;
    BOOST_LEAF_CHECK(read_inputs(options, state));
    asio::io_context context(1);
    asio::signal_set signals(context, SIGINT, SIGTERM);
    const auto stop = [&](const boost::system::error_code& error, int)
    {
        if (!error)
        {
            state.stop_requested = true;
            // Restores the default action, so that a second signal ends the program at once.
            signals.clear();
        }
    };
    signals.async_wait(stop);
    load::start_run(state, context);
    load::run_to_completion(state, context);
    const load::seconds elapsed = std::chrono::steady_clock::now() - state.start_time;
    const std::string text =
        options["json"].as<bool>()
            ? boost::json::serialize(load::to_json(state.report, elapsed)) + "\n"
            : load::to_text(state.report, elapsed);
    std::fputs(text.c_str(), stdout);
    return load::wrong_response_count(state.report) > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "zinnia_load", "Sends open-loop traffic and checks every response.\n"
                       "Exit code 1: a response was crossed or truncated; 2: invalid options");
    const auto text = [](const char* value)
    {
        return cxxopts::value<std::string>()->default_value(value);
    };
    const auto number = [](const char* value)
    {
        return cxxopts::value<double>()->default_value(value);
    };
    // clang-format off
    options.add_options()
        ("target", "Daemon addresses, IP:PORT,...", cxxopts::value<std::vector<std::string>>())
        ("mix", "File with accounts and routes, JSON with comments", cxxopts::value<std::string>())
        ("duration", "Seconds for which requests are sent", number("10"))
        ("rate", "Requests per second over all accounts; 0 for the rates in the file", number("0"))
        ("spacing", "Spacing of the intended send times: poisson or fixed", text("poisson"))
        ("seed", "Seed of the schedule", cxxopts::value<std::uint64_t>()->default_value("1"))
        ("pin", "Send all requests of an account to one daemon; otherwise round robin",
            cxxopts::value<bool>()->default_value("false"))
        ("repeat-orders", "Fraction of the requests with an idempotency key that are sent a second "
            "time through the next daemon: half at once, half if the first is not answered",
            number("0"))
        ("record", "File to write one line of JSON per request to; none if empty", text(""))
        ("name", "Prefix of the request ids, unique to the run; by default from the time", text(""))
        ("max-open", "Limit of requests in flight; more are not sent, but counted as limited",
            cxxopts::value<std::size_t>()->default_value("4000"))
        ("json", "Print the report as JSON", cxxopts::value<bool>()->default_value("false"));
    // clang-format on
    return stand_in::run_program(options, argc, argv, run);
}
