/// Connections between the daemons of the model: messages and closes take the time of the network.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

inline constexpr std::size_t control_bytes = 60; ///< Of a SYN, FIN or RST packet.

/// Handles a message at its receiver.
using message_handler = void (*)(world&, const hub_connection_pointer&, const fleet::hub_message&);

/// None of the functions is thread safe for the same world.

/// Returns the daemon's process. Precondition: it runs.
process& process_of(world& world, std::size_t daemon);

/// Sends a message to the other end, which handles it if the connection is open there by then.
void send_to_subscriber(world& world, const hub_connection_pointer& connection,
                        const fleet::hub_message& message, message_handler handle);
void send_to_hub(world& world, const hub_connection_pointer& connection,
                 const fleet::hub_message& message, message_handler handle);

/// Closes the connection at the subscriber's end.
void close_at_subscriber(world& world, const hub_connection_pointer& connection);
/// Tells the hub that the connection was closed.
void send_close_to_hub(world& world, const hub_connection_pointer& connection);

/// Closes all connections of a process that ends. The peers learn of it by a message.
void close_all_connections(world& world, std::size_t daemon);

} // namespace zinniaferry::model
