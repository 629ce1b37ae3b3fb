/// Start of a case's driver: chooses addresses, writes the daemons' settings into the case's
/// temporary folder, waits for the daemons that the script starts, and runs the case.
#pragma once

#include "stand_ins_2.hpp"

#include <cstdlib>
#include <filesystem>

namespace review
{

/// What a case works with.
struct case_context
{
    asio::io_context& io;
    recorder& record;
    store& platform;
    std::vector<run_entry>& runs;
    std::vector<daemon_place> places;
    bool trouble;
    std::string folder;
};

/// How a case starts.
struct case_options
{
    std::vector<std::string> zones; ///< Of the daemons, one each.
    int memory_mb = 260;
    int max_fds = 4100;
    std::size_t turned_away = 0; ///< The first daemons, which the store turns away at times.
};

using case_body = std::function<asio::awaitable<verdict>(case_context&)>;
using case_setup = std::function<void(case_context&)>;

inline asio::awaitable<void> run_when_ready(case_context& context, case_body body, verdict& out)
{
    for (const daemon_place& place : context.places)
    {
        const bool is_ready = co_await wait_until_ready(place);
        if (!is_ready)
        {
            context.record.write("daemon " + place.node + " did not become ready");
            context.io.stop();
            co_return;
        }
    }
    context.record.write("all daemons are ready");
    out = co_await body(context);
    context.io.stop();
}

/// Arguments: the temporary folder and the file of the record. `setup` writes the first entries
/// of the store.
inline int run_case(int argc, char** argv, const case_options& chosen, const case_setup& setup,
                    case_body body)
{
    if (argc != 3)
    {
        return static_cast<int>(verdict::could_not_run);
    }
    const std::string folder = argv[1];
    const char* trouble = std::getenv("TROUBLE");
    asio::io_context io(1);
    recorder record(argv[2]);
    store platform(io, record);
    std::vector<run_entry> runs;
    case_context context{.io = io,
                         .record = record,
                         .platform = platform,
                         .runs = runs,
                         .places = choose_places(io, chosen.zones),
                         .trouble = trouble == nullptr || std::string(trouble) != "0",
                         .folder = folder};
    record.write(context.trouble ? "with the disturbance" : "without the disturbance");
    setup(context);
    for (std::size_t i = 0; i < context.places.size(); ++i)
    {
        const daemon_place& place = context.places[i];
        write_settings(folder + "/" + place.node + ".json", place, context.places,
                       {.store_address =
                            i < chosen.turned_away ? platform.other_address() : platform.address(),
                        .memory_mb = chosen.memory_mb,
                        .max_fds = chosen.max_fds});
    }
    std::ofstream(folder + "/settings-written") << "yes\n";
    verdict out = verdict::could_not_run;
    asio::co_spawn(io, run_when_ready(context, std::move(body), out), asio::detached);
    io.run_for(std::chrono::seconds(110));
    record.write("exit code " + std::to_string(static_cast<int>(out)));
    std::fflush(nullptr);
    // Coroutines of clients and servers may still wait; nothing of them is needed any more.
    std::_Exit(static_cast<int>(out));
}

} // namespace review
