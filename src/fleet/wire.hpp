/// Conversion between message structs and Cap'n Proto structs; used by the codec alone, since the
/// generated header is large.
#pragma once

#include "fleet/messages.hpp"
#include "fleet/peer.capnp.h"

namespace zinniaferry::fleet
{

/// Thrown by `read_message` inside the codec only, so that the readers stay free of checks at each
/// call.
struct out_of_bounds
{
};

/// Writes a message that is within the bounds. Thread safe.
void write_message(const message& value, wire::Message::Builder out);

/// Reads a message. Throws out_of_bounds or kj::Exception when it is malformed. Thread safe.
message read_message(wire::Message::Reader in);

} // namespace zinniaferry::fleet
