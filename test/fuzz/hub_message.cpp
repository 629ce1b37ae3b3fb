// Fuzzes the decoder with bytes as another daemon might send them. Guards against input that
// crashes a daemon, and against a message that changes when it is encoded again.
#include "fleet/hub_messages.hpp"
#include "fuzz/fuzz_target.hpp"

using namespace zinniaferry;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    boost::leaf::try_handle_all(
        [&]() -> core::result<void>
        {
            BOOST_LEAF_AUTO(message, fleet::decode_hub_message(fuzz::as_text(data, size)));
            BOOST_LEAF_AUTO(again, fleet::decode_hub_message(fleet::encode(message)));
            fuzz::require(again == message,
                          "a decoded message is unchanged by an encode-decode round trip");
            return {};
        },
        [](const core::peer_message_error&) {},
        [] {
            fuzz::require(false, "the decoder failed with an error other than peer_message_error");
        });
    return 0;
}
