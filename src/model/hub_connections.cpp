#include "model/hub_connections.hpp"

#include "model/fleet_view.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

/// Time for which sent data may stay unacknowledged before the connection is closed.
constexpr core::duration user_timeout = std::chrono::seconds(2);

void close_at_hub(world& world, const hub_connection_pointer& connection)
{
    if (!connection->open_at_hub)
    {
        return;
    }
    connection->open_at_hub = false;
    process& hub = process_of(world, connection->hub);
    std::erase(hub.subscribers, connection);
    fleet::on_unsubscribed(hub.registry, world.daemons[connection->subscriber].identity.vm,
                           connection->subscriber_process, world.queue.now);
    apply_fleet_view(world, connection->hub);
}

void send_close_to_subscriber(world& world, const hub_connection_pointer& connection)
{
    const auto& subscriber = world.daemons[connection->subscriber].running;
    if (subscriber && subscriber->number == connection->subscriber_process)
    {
        send_to_daemon(world, connection->hub, connection->subscriber, control_bytes,
                       [&world, connection] { close_at_subscriber(world, connection); });
    }
}

// Closes the connection at the sender's end when the receiver's VM does not acknowledge a message
// in time, because the link is cut or the VM is suspended.
void close_if_unacknowledged(world& world, std::size_t sender,
                             const hub_connection_pointer& connection,
                             const std::shared_ptr<bool>& acknowledged)
{
    run_at(world, sender, world.queue.now + user_timeout,
           [&world, sender, connection, acknowledged]
           {
               if (*acknowledged)
               {
                   return;
               }
               if (sender == connection->hub && connection->open_at_hub)
               {
                   close_at_hub(world, connection);
                   send_close_to_subscriber(world, connection);
               }
               else if (sender == connection->subscriber && connection->open_at_subscriber)
               {
                   close_at_subscriber(world, connection);
                   send_close_to_hub(world, connection);
               }
           });
}

void send_message(world& world, std::size_t from, const hub_connection_pointer& connection,
                  const fleet::hub_message& message, message_handler handle)
{
    const bool to_hub = from == connection->subscriber;
    const std::size_t to = to_hub ? connection->hub : connection->subscriber;
    const auto acknowledged = std::make_shared<bool>(false);
    send_to_daemon(world, from, to, fleet::encode_frame(message).size(),
                   [&world, connection, message, handle, to_hub, acknowledged]
                   {
                       *acknowledged = true;
                       if (to_hub ? connection->open_at_hub : connection->open_at_subscriber)
                       {
                           handle(world, connection, message);
                       }
                   });
    close_if_unacknowledged(world, from, connection, acknowledged);
}

} // namespace

process& process_of(world& world, std::size_t daemon)
{
    return *world.daemons[daemon].running;
}

void close_at_subscriber(world& world, const hub_connection_pointer& connection)
{
    if (connection->open_at_subscriber)
    {
        connection->open_at_subscriber = false;
        const std::string& address = world.daemons[connection->hub].identity.address;
        process& process = process_of(world, connection->subscriber);
        process.hub_connections.erase(address);
        fleet::on_closed(process.hubs, address, world.queue.now);
    }
}

void send_close_to_hub(world& world, const hub_connection_pointer& connection)
{
    const auto& hub = world.daemons[connection->hub].running;
    if (hub && hub->number == connection->hub_process)
    {
        send_to_daemon(world, connection->subscriber, connection->hub, control_bytes,
                       [&world, connection] { close_at_hub(world, connection); });
    }
}

void send_to_subscriber(world& world, const hub_connection_pointer& connection,
                        const fleet::hub_message& message, message_handler handle)
{
    send_message(world, connection->hub, connection, message, handle);
}

void send_to_hub(world& world, const hub_connection_pointer& connection,
                 const fleet::hub_message& message, message_handler handle)
{
    send_message(world, connection->subscriber, connection, message, handle);
}

void close_all_connections(world& world, std::size_t daemon)
{
    process& process = process_of(world, daemon);
    for (const auto& [address, connection] : process.hub_connections)
    {
        connection->open_at_subscriber = false;
        send_close_to_hub(world, connection);
    }
    for (const hub_connection_pointer& connection : process.subscribers)
    {
        connection->open_at_hub = false;
        send_close_to_subscriber(world, connection);
    }
}

} // namespace zinniaferry::model
