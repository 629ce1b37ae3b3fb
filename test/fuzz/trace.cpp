// Fuzzes the reader of recorded traces. Guards against text that crashes it, and against an
// accepted expectation that the replay could not judge.
#include "history/trace.hpp"
#include "fuzz/fuzz_target.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto read = history::read_trace(fuzz::as_text(data, size), "fuzz");
    if (read)
    {
        for (const history::expectation& stated : read->outcome)
        {
            fuzz::require(stated.comparison == "==" || stated.comparison == ">=" ||
                              stated.comparison == "<=",
                          "a comparison is known");
        }
    }
    return 0;
}
