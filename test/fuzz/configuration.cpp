// Fuzzes the reader of configurations. Guards against text that crashes it, and against an accepted
// document whose canonical text is not read back as the same configuration, which would change its
// digest.
#include "config/printer.hpp"
#include "config/reader.hpp"
#include "fuzz/fuzz_target.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto read = config::read_configuration(fuzz::as_text(data, size), "fuzz");
    if (read)
    {
        const std::string printed = config::canonical_text(*read);
        const auto reread = config::read_configuration(printed, "printed");
        fuzz::require(bool(reread), "a printed configuration can be read");
        fuzz::require(config::canonical_text(*reread) == printed,
                      "the canonical text is the same when it is read and printed again");
        fuzz::require(config::digest_of(*reread) == config::digest_of(*read),
                      "the digest stays the same");
    }
    return 0;
}
