// Fuzzes the decoder of the platform's store entries, which other programs write. Guards against
// entries that crash a daemon, and against decoded servers and routes that cannot be used.
#include "fuzz/fuzz_target.hpp"
#include "platform/decode.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text = fuzz::as_text(data, size);
    platform::decode_base64(text);
    if (const auto server = platform::decode_server("servers/i-1", text))
    {
        fuzz::require(server->slots > 0, "a server has slots");
        fuzz::require(server->warmup_left >= core::duration::zero(),
                      "the remaining warmup is not negative");
    }
    if (const auto config = platform::decode_configuration(text))
    {
        for (const config::route& route : config->routes)
        {
            fuzz::require(route.attempts > 0, "a route allows at least one attempt");
            fuzz::require(!route.service.empty() || !route.split.empty(), "a route has a target");
        }
    }
    return 0;
}
