// Fuzzes the reader of settings. Guards against text that crashes it or is accepted with values out
// of range.
#include "config/settings.hpp"
#include "fuzz/fuzz_target.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto read = config::read_settings(fuzz::as_text(data, size), "fuzz");
    if (read)
    {
        fuzz::require(read->admin_credential.size() >= config::min_secret_length,
                      "the admin credential has the minimum length");
        fuzz::require(read->stop_grace >= core::duration::zero() &&
                          read->stop_grace <= config::max_stop_grace,
                      "the stop grace is in range");
    }
    return 0;
}
