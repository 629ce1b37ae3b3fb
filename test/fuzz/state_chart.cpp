// Fuzzes the parser of state charts. Guards against text that crashes it, and against accepting a
// chart whose transitions lead to a state or an action that it does not have.
#include "chart/chart.hpp"
#include "fuzz/fuzz_target.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto read = chart::read_chart(fuzz::as_text(data, size), "fuzz");
    if (read)
    {
        fuzz::require(read->initial < read->states.size(), "the initial state exists");
        for (std::size_t state = 0; state < read->states.size(); ++state)
        {
            for (std::size_t event = 0; event < read->events.size(); ++event)
            {
                const auto next = chart::step(*read, static_cast<chart::index>(state),
                                              static_cast<chart::index>(event));
                fuzz::require(next.state < read->states.size(), "a step leads to a state");
                fuzz::require(next.action == chart::no_index || next.action < read->actions.size(),
                              "an action exists");
            }
        }
    }
    return 0;
}
