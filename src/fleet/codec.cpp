#include "fleet/codec.hpp"

#include "fleet/message_bounds.hpp"
#include "fleet/wire.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace zinniaferry::fleet
{

namespace
{

using reason = core::peer_message_error::reason;

// Nesting of the schema is 3; the rest is room for later fields.
constexpr int max_nesting = 8;

constexpr std::size_t max_words = max_message_size / sizeof(capnp::word);

// The reader counts an object each time it is visited, and lists are visited twice.
constexpr std::size_t max_traversal = 4 * max_words;

message unpack(kj::ArrayPtr<const kj::byte> bytes)
{
    kj::ArrayInputStream stream(bytes);
    capnp::PackedMessageReader reader(
        stream, {.traversalLimitInWords = max_traversal, .nestingLimit = max_nesting});
    return read_message(reader.getRoot<wire::Message>());
}

core::result<message> refused(reason why, std::size_t size)
{
    return boost::leaf::new_error(core::peer_message_error{why, size});
}

} // namespace

core::result<std::string> encode(const message& value)
{
    if (!is_within_bounds(value))
    {
        return boost::leaf::new_error(core::peer_message_error{reason::too_large, 0});
    }
    capnp::MallocMessageBuilder builder;
    write_message(value, builder.initRoot<wire::Message>());
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const kj::ArrayPtr<kj::byte> bytes = stream.getArray();
    if (bytes.size() > max_message_size)
    {
        return boost::leaf::new_error(core::peer_message_error{reason::too_large, bytes.size()});
    }
    return std::string(bytes.asChars().begin(), bytes.size());
}

core::result<message> decode(std::string_view bytes)
{
    if (bytes.size() > max_message_size)
    {
        return refused(reason::too_large, bytes.size());
    }
    try
    {
        const kj::ArrayPtr<const kj::byte> input(reinterpret_cast<const kj::byte*>(bytes.data()),
                                                 bytes.size());
        // Packing turns 2 bytes into up to 2 KB of zeros, so the unpacked size is bounded too.
        if (capnp::computeUnpackedSizeInWords(input) > max_words)
        {
            return refused(reason::too_large, bytes.size());
        }
        message value = unpack(input);
        if (!is_within_bounds(value))
        {
            return refused(reason::malformed, bytes.size());
        }
        return value;
    }
    catch (const kj::Exception&)
    {
        return refused(reason::malformed, bytes.size());
    }
    catch (const out_of_bounds&)
    {
        return refused(reason::malformed, bytes.size());
    }
}

} // namespace zinniaferry::fleet
