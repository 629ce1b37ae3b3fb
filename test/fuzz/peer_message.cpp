// Fuzzes the decoding of peer messages, hellos and frame headers. Guards against hostile bytes that
// crash, allocate without bound or get through with values out of bounds.
#include "fleet/codec.hpp"
#include "fleet/message_bounds.hpp"
#include "fuzz/fuzz_target.hpp"
#include "net/peer_frame.hpp"
#include "support/sample_messages.hpp"

#include <algorithm>

using namespace zinniaferry;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t max_size);

// Starts from an encoded message now and then: random bytes hardly ever get past the framing.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size,
                                               std::size_t max_size, unsigned seed)
{
    static const std::vector<fleet::message> samples = fleet::test::sample_messages();
    if (seed % 4 == 0)
    {
        const std::string bytes = fleet::encode(samples[seed / 4 % samples.size()]).value();
        if (bytes.size() <= max_size)
        {
            std::copy(bytes.begin(), bytes.end(), data);
            size = bytes.size();
        }
    }
    return LLVMFuzzerMutate(data, size, max_size);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes = fuzz::as_text(data, size);
    const auto read = fleet::decode(bytes);
    if (read)
    {
        fuzz::require(fleet::is_within_bounds(*read), "a decoded message is within bounds");
        const auto again = fleet::encode(*read);
        fuzz::require(bool(again), "a decoded message can be encoded");
        fuzz::require(bool(fleet::decode(*again)), "an encoded message can be decoded");
    }
    if (size >= net::hello_prefix_size)
    {
        const auto whole = net::hello_size(bytes.substr(0, net::hello_prefix_size));
        if (whole && *whole <= size)
        {
            const auto hello = net::read_hello(bytes.substr(0, *whole));
            fuzz::require(!hello || hello->id.vm.size() <= net::max_vm_name_size,
                          "a name in a hello is short enough");
        }
    }
    if (size >= net::frame_header_size)
    {
        const auto header = net::read_frame_header(bytes.substr(0, net::frame_header_size));
        fuzz::require(!header || header->size <= net::max_frame_payload,
                      "a frame is refused before its payload is read");
    }
    return 0;
}
