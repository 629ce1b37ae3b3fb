#include "model/hub_links.hpp"

#include "model/fleet_view.hpp"
#include "model/hub_connections.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

constexpr core::duration update_interval = std::chrono::milliseconds(600);
constexpr core::duration report_interval = std::chrono::milliseconds(400);
constexpr core::duration fleet_interval = std::chrono::seconds(1);
constexpr core::duration hub_check_interval = std::chrono::milliseconds(200);
constexpr core::duration fast_hub_check_interval = std::chrono::milliseconds(50);
constexpr core::duration connect_timeout = std::chrono::milliseconds(400);
constexpr core::duration grant_timeout = std::chrono::milliseconds(20);
/// A grant that arrives later is void.
constexpr core::duration late_grant_lifetime = std::chrono::seconds(1);

std::optional<std::size_t> find_daemon(const world& world, const std::string& address)
{
    const auto found =
        std::find_if(world.daemons.begin(), world.daemons.end(),
                     [&](const daemon& entry) { return entry.identity.address == address; });
    if (found == world.daemons.end())
    {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - world.daemons.begin());
}

void handle_update(world& world, const hub_connection_pointer& connection,
                   const fleet::hub_message& message)
{
    const auto& update = std::get<fleet::update_message>(message);
    process& process = process_of(world, connection->subscriber);
    const core::time_point now = world.queue.now;
    fleet::on_echo(connection->echoes, update.last_report);
    const core::time_point as_of = fleet::sent_after(connection->echoes) - update.age;
    fleet::on_update(process.hubs, world.daemons[connection->hub].identity.address, as_of, now);
    fleet::on_met(process.hubs, world.daemons[connection->hub].identity.address, now);
    process.received_update = true;
    apply_changes(world, connection->subscriber,
                  fleet::apply_update(process.replica, update, as_of, now));
}

void handle_fleet(world& world, const hub_connection_pointer& connection,
                  const fleet::hub_message& message)
{
    connection->last_fleet = std::get<fleet::fleet_message>(message);
    process& process = process_of(world, connection->subscriber);
    fleet::hub_choice& hubs = process.hubs;
    fleet::on_met(hubs, world.daemons[connection->hub].identity.address, world.queue.now);
    if (!connection->last_fleet.members.empty())
    {
        connection->members = connection->last_fleet.members;
        fleet::set_members(hubs, connection->members);
    }
    fleet::on_members_heard(process.known_fleet.heard, hubs, connection->members, world.queue.now);
    apply_fleet_view(world, connection->subscriber);
}

void handle_grant(world& world, const hub_connection_pointer& connection,
                  const fleet::hub_message& message)
{
    const auto& answer = std::get<fleet::grant_message>(message);
    process& process = process_of(world, connection->subscriber);
    const auto found = process.pending_grants.find(answer.number);
    if (found == process.pending_grants.end())
    {
        return;
    }
    pending_grant pending = std::move(found->second);
    process.pending_grants.erase(found);
    if (!pending.on_answer)
    {
        limits::add_granted(process.gateway->accounts, pending.account, answer.requests,
                            pending.asked_at, world.queue.now);
        return;
    }
    fleet::on_grant_in_time(process.hubs, world.daemons[connection->hub].identity.address);
    pending.on_answer(
        limits::grant{.requests = answer.requests, .retry_after = answer.retry_after});
}

limits::grant take_from_pool(process& hub, const std::string& account, core::time_point now)
{
    limits::advance_pool_clock(hub.gateway->accounts, fleet::take_primary_time(hub.registry, now));
    return limits::take_from_pool(hub.gateway->accounts, account);
}

void handle_ask(world& world, const hub_connection_pointer& connection,
                const fleet::hub_message& message)
{
    const auto& ask = std::get<fleet::ask_message>(message);
    process& hub = process_of(world, connection->hub);
    fleet::on_grant_request(hub.registry, world.daemons[connection->subscriber].identity.vm, ask,
                            world.queue.now);
    if (!hub.replica.complete)
    {
        return;
    }
    const limits::grant taken = take_from_pool(hub, ask.account, world.queue.now);
    const fleet::grant_message answer = {
        .number = ask.number, .requests = taken.requests, .retry_after = taken.retry_after};
    send_to_subscriber(world, connection, answer, handle_grant);
}

void send_changes(world& world, const hub_connection_pointer& connection)
{
    const fleet::replica& replica = process_of(world, connection->hub).replica;
    if (!replica.complete)
    {
        return;
    }
    fleet::update_message update =
        fleet::make_update(replica, connection->position, world.queue.now);
    update.last_report = connection->last_report;
    fleet::on_update_sent(connection->position, replica);
    send_to_subscriber(world, connection, update, handle_update);
}

void handle_report(world& world, const hub_connection_pointer& connection,
                   const fleet::hub_message& message)
{
    const std::string& vm = world.daemons[connection->subscriber].identity.vm;
    const auto& report = std::get<fleet::report_message>(message);
    connection->last_report = report.number;
    process& hub = process_of(world, connection->hub);
    fleet::on_member_heard(hub.known_fleet.heard, hub.hubs,
                           world.daemons[connection->subscriber].identity, world.queue.now);
    send_changes(world, connection);
    if (fleet::on_report(process_of(world, connection->hub).registry, vm, report, world.queue.now))
    {
        apply_fleet_view(world, connection->hub);
    }
}

void send_updates_regularly(world& world, const hub_connection_pointer& connection)
{
    if (connection->open_at_hub)
    {
        send_changes(world, connection);
        run_after(world, connection->hub, update_interval,
                  [&world, connection] { send_updates_regularly(world, connection); });
    }
}

void send_fleet_regularly(world& world, const hub_connection_pointer& connection)
{
    if (!connection->open_at_hub)
    {
        return;
    }
    const fleet::registry& registry = process_of(world, connection->hub).registry;
    const bool unchanged = connection->members_version_sent == registry.members_version;
    connection->members_version_sent = registry.members_version;
    send_to_subscriber(world, connection,
                       unchanged ? fleet::make_fleet_summary(registry, world.queue.now)
                                 : fleet::make_fleet_message(registry, world.queue.now),
                       handle_fleet);
    run_after(world, connection->hub, fleet_interval,
              [&world, connection] { send_fleet_regularly(world, connection); });
}

void handle_hello(world& world, const hub_connection_pointer& connection,
                  const fleet::hub_message& message)
{
    const auto& hello = std::get<fleet::hello_message>(message);
    process& hub = process_of(world, connection->hub);
    fleet::on_hello(hub.registry, hello, world.queue.now);
    fleet::on_member_heard(hub.known_fleet.heard, hub.hubs, hello.self, world.queue.now);
    apply_fleet_view(world, connection->hub);
    hub.subscribers.push_back(connection);
    connection->position = fleet::position_from(hello, hub.replica);
    send_updates_regularly(world, connection);
    send_fleet_regularly(world, connection);
}

void send_report(world& world, process& process, const std::string& address,
                 const hub_connection_pointer& connection)
{
    const std::uint64_t number = fleet::on_report_sent(connection->echoes, world.queue.now);
    const bool is_primary = address == process.primary_hub;
    send_to_hub(world, connection,
                fleet::report_message{.primary = is_primary,
                                      .number = number,
                                      .primary_time = fleet::state_primary_time(
                                          connection->statement, is_primary, world.queue.now)},
                handle_report);
}

void open_connection(world& world, std::size_t daemon, std::size_t hub)
{
    process& subscriber = process_of(world, daemon);
    const std::string& address = world.daemons[hub].identity.address;
    const auto connection = std::make_shared<hub_connection>(
        hub_connection{.subscriber = daemon,
                       .hub = hub,
                       .subscriber_process = subscriber.number,
                       .hub_process = process_of(world, hub).number,
                       .open_at_subscriber = true,
                       .open_at_hub = true});
    subscriber.hub_connections[address] = connection;
    connection->echoes.echoed_sent_at = world.queue.now;
    fleet::on_connected(subscriber.hubs, address, world.queue.now);
    const std::uint64_t revision = subscriber.replica.complete ? subscriber.replica.revision : 0;
    const std::uint32_t stated_size =
        fleet::size_to_state(subscriber.known_fleet.recent_size, subscriber.known_fleet.size);
    send_to_hub(world, connection,
                fleet::hello_message{.self = world.daemons[daemon].identity,
                                     .incarnation = subscriber.number,
                                     .era = subscriber.replica.era,
                                     .revision = revision,
                                     .members_known = stated_size},
                handle_hello);
    send_report(world, subscriber, address, connection);
}

/// A connection that is being opened.
struct connect_attempt
{
    bool ended = false;
};

// The kernel of the hub's VM accepts or refuses the connection, unless the VM is suspended.
void answer_connect(world& world, std::size_t daemon, std::size_t hub, const std::string& address,
                    const std::shared_ptr<connect_attempt>& attempt)
{
    if (world.queue.now < world.daemons[hub].suspended_until)
    {
        return;
    }
    send_to_daemon(world, hub, daemon, control_bytes,
                   [&world, daemon, hub, address, attempt]
                   {
                       if (attempt->ended)
                       {
                           return;
                       }
                       attempt->ended = true;
                       if (world.daemons[hub].running)
                       {
                           open_connection(world, daemon, hub);
                       }
                       else
                       {
                           fleet::on_closed(process_of(world, daemon).hubs, address,
                                            world.queue.now);
                       }
                   });
}

void connect(world& world, std::size_t daemon, const std::string& address)
{
    const auto attempt = std::make_shared<connect_attempt>();
    run_after(world, daemon, connect_timeout,
              [&world, daemon, address, attempt]
              {
                  if (!attempt->ended)
                  {
                      attempt->ended = true;
                      fleet::on_closed(process_of(world, daemon).hubs, address, world.queue.now);
                  }
              });
    const auto hub = find_daemon(world, address);
    const std::uint64_t number = process_of(world, daemon).number;
    if (!hub)
    {
        return;
    }
    send(world.net, world.queue, daemon, *hub, control_bytes,
         [&world, daemon, hub, address, attempt, number]
         {
             const auto& running = world.daemons[daemon].running;
             if (running && running->number == number)
             {
                 answer_connect(world, daemon, *hub, address, attempt);
             }
         });
}

void close_unwanted_connections(world& world, std::size_t daemon)
{
    process& process = process_of(world, daemon);
    const auto open = process.hub_connections;
    for (const auto& [address, connection] : open)
    {
        if (!fleet::is_wanted(process.hubs, address, world.queue.now))
        {
            close_at_subscriber(world, connection);
            send_close_to_hub(world, connection);
        }
    }
}

void report_to_hubs(world& world, std::size_t daemon)
{
    process& process = process_of(world, daemon);
    fleet::remove_expired_members(process.registry, world.queue.now);
    std::erase_if(process.pending_grants,
                  [&](const auto& entry)
                  {
                      return !entry.second.on_answer &&
                             world.queue.now - entry.second.asked_at > late_grant_lifetime;
                  });
    for (const auto& [address, connection] : process.hub_connections)
    {
        send_report(world, process, address, connection);
    }
    apply_fleet_view(world, daemon);
}

} // namespace

void check_hubs(world& world, std::size_t daemon)
{
    process& process = process_of(world, daemon);
    const core::time_point now = world.queue.now;
    for (const std::string& address : fleet::connections_to_open(process.hubs, now))
    {
        connect(world, daemon, address);
    }
    close_unwanted_connections(world, daemon);
    const auto primary = fleet::primary_hub(process.hubs, now);
    if (primary != process.primary_hub || now >= process.next_report_at)
    {
        process.primary_hub = primary;
        fleet::set_own_primary(process.registry, primary == process.hubs.own_address, now);
        process.next_report_at = now + report_interval;
        report_to_hubs(world, daemon);
    }
    run_after(world, daemon, primary ? hub_check_interval : fast_hub_check_interval,
              [&world, daemon] { check_hubs(world, daemon); });
}

void notify_subscribers(world& world, std::size_t daemon)
{
    for (const hub_connection_pointer& connection : process_of(world, daemon).subscribers)
    {
        send_changes(world, connection);
    }
}

void request_grant(world& world, std::size_t daemon, const std::string& account,
                   std::function<void(std::optional<limits::grant>)> on_answer)
{
    process& process = process_of(world, daemon);
    if (process.primary_hub == process.hubs.own_address)
    {
        on_answer(take_from_pool(process, account, world.queue.now));
        return;
    }
    const auto hub = process.primary_hub ? process.hub_connections.find(*process.primary_hub)
                                         : process.hub_connections.end();
    if (hub == process.hub_connections.end())
    {
        on_answer(std::nullopt);
        return;
    }
    const std::uint64_t number = process.next_grant++;
    process.pending_grants[number] = {account, world.queue.now, std::move(on_answer)};
    const fleet::ask_message ask = {
        .number = number,
        .account = account,
        .primary_time = fleet::state_primary_time(hub->second->statement, true, world.queue.now)};
    send_to_hub(world, hub->second, ask, handle_ask);
    run_after(world, daemon, grant_timeout,
              [&world, daemon, number, address = hub->first]
              {
                  auto& pending = process_of(world, daemon).pending_grants;
                  const auto found = pending.find(number);
                  if (found != pending.end() && found->second.on_answer)
                  {
                      const auto answer = std::move(found->second.on_answer);
                      found->second.on_answer = nullptr;
                      fleet::on_grant_late(process_of(world, daemon).hubs, address,
                                           world.queue.now);
                      answer(std::nullopt);
                  }
              });
}

} // namespace zinniaferry::model
