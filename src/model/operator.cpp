#include "model/operator.hpp"

#include "model/callers.hpp"

namespace zinniaferry::model
{

namespace
{

constexpr core::duration store_retry_delay = std::chrono::milliseconds(100);
constexpr core::duration warmup = std::chrono::seconds(3);
constexpr double warmup_rate = 2.0;
constexpr std::size_t servers_per_service = 6;
constexpr const char* services[] = {"sheets", "orders"};
/// Steps of a server's restart.
constexpr core::duration draining_time = std::chrono::seconds(3);
constexpr core::duration removed_time = std::chrono::milliseconds(3500);
constexpr core::duration ended_time = std::chrono::seconds(1);

void when_store_is_up(world& world, const action& change)
{
    if (!world.store_down && !world.store.away)
    {
        change();
        return;
    }
    schedule(world.queue, world.queue.now + store_retry_delay,
             [&world, change] { when_store_is_up(world, change); });
}

config::route make_route(const std::string& prefix, const std::string& service, bool idempotent)
{
    return {.prefix = prefix,
            .service = service,
            .attempts = 2,
            .objective = std::chrono::seconds(1),
            .idempotent = idempotent,
            .timeout = std::chrono::seconds(2)};
}

// Each version moves one route to the other service, and adds and drops a route and a key.
std::shared_ptr<config::configuration> make_configuration(std::size_t index)
{
    auto out = std::make_shared<config::configuration>();
    out->version = index + 1;
    for (const account_traffic& account : accounts)
    {
        out->accounts.push_back({.name = account.name,
                                 .keys = {core::sha256(lasting_key(account.name))},
                                 .rate = account.rate,
                                 .burst = account.rate});
    }
    for (const char* name : services)
    {
        out->services.push_back(
            {.name = name, .slots = server_slots, .warmup = warmup, .warmup_rate = warmup_rate});
    }
    out->routes = {make_route("/lookup", "sheets", true), make_route("/order", "orders", false),
                   make_route("/flip", services[index % 2], true)};
    for (std::size_t version = index > 0 ? index - 1 : 0; version <= index; ++version)
    {
        out->accounts.front().keys.push_back(core::sha256(passing_key(version)));
        out->routes.push_back(make_route(passing_path(version), "sheets", true));
    }
    return out;
}

// Store entries hold a key of world::listings, as the model does not decode entries.
void write_listing(world& world, const backend_server& server, bool draining)
{
    const core::duration cold =
        std::max(server.cold_until - world.queue.now, core::duration::zero());
    const std::string value = server.id + "/" + std::to_string(world.listings.size());
    world.listings[value] = {.id = server.id,
                             .service = server.service,
                             .address = server.id,
                             .data_centre = server.data_centre,
                             .slots = server_slots,
                             .draining = draining,
                             .warmup_left = cold,
                             .incarnation = server.incarnation};
    write(world.store, std::string(server_key_prefix) + server.id, value);
}

void start_again(world& world, backend_server& server)
{
    ++server.incarnation;
    server.up = true;
    server.running = 0;
    server.cold_until = world.queue.now + warmup;
    write_listing(world, server, false);
}

void end_server(world& world, backend_server& server)
{
    server.up = false;
    schedule(world.queue, world.queue.now + ended_time,
             [&world, &server]
             { when_store_is_up(world, [&world, &server] { start_again(world, server); }); });
}

void remove_server(world& world, backend_server& server)
{
    write(world.store, std::string(server_key_prefix) + server.id, std::nullopt);
    schedule(world.queue, world.queue.now + removed_time,
             [&world, &server] { end_server(world, server); });
}

// Half of the servers leave without being listed as leaving first.
void take_server_out(world& world, backend_server& server)
{
    world.history.departures.push_back({server.id, server.incarnation, world.queue.now});
    if (core::uniform(world.random) < 0.5)
    {
        remove_server(world, server);
        return;
    }
    write_listing(world, server, true);
    schedule(world.queue, world.queue.now + draining_time,
             [&world, &server]
             { when_store_is_up(world, [&world, &server] { remove_server(world, server); }); });
}

void put_back_in_service(world& world, std::size_t evacuation)
{
    model::evacuation& ended = world.history.evacuations[evacuation];
    ended.out_of_service.until = world.queue.now;
    for (auto& [id, server] : world.servers)
    {
        if (server.data_centre == ended.data_centre)
        {
            server.cold_until = world.queue.now + warmup;
        }
    }
    write(world.store, std::string(evacuation_key_prefix) + ended.data_centre, std::nullopt);
}

void take_out_of_service(world& world, const std::string& data_centre, core::duration time)
{
    // Both of two evacuations may have waited for the store. The end of one would end the other.
    if (world.store.entries.contains(std::string(evacuation_key_prefix) + data_centre))
    {
        return;
    }
    const std::size_t index = world.history.evacuations.size();
    world.history.evacuations.push_back({data_centre, {.from = world.queue.now}});
    write(world.store, std::string(evacuation_key_prefix) + data_centre, "out");
    schedule(world.queue, world.queue.now + time,
             [&world, index]
             { when_store_is_up(world, [&world, index] { put_back_in_service(world, index); }); });
}

} // namespace

std::string data_centre_name(std::size_t index)
{
    return "dc-" + std::to_string(index + 1);
}

void publish_configuration(world& world)
{
    when_store_is_up(world,
                     [&world]
                     {
                         const std::size_t index = world.history.configurations.size();
                         world.history.configurations.push_back(
                             {std::make_shared<const config::configuration_index>(
                                  config::make_configuration_index(make_configuration(index))),
                              world.queue.now});
                         write(world.store, configuration_key, std::to_string(index));
                     });
}

void list_servers(world& world)
{
    for (const char* service : services)
    {
        for (std::size_t i = 0; i < servers_per_service; ++i)
        {
            const std::string id = std::string(service) + "-" + std::to_string(i + 1);
            world.servers[id] = {.id = id,
                                 .service = service,
                                 .data_centre = data_centre_name(i % data_centre_count)};
            write_listing(world, world.servers[id], false);
        }
    }
}

void restart_server(world& world, const std::string& server)
{
    when_store_is_up(world, [&world, server] { take_server_out(world, world.servers.at(server)); });
}

void evacuate(world& world, const std::string& data_centre, core::duration time)
{
    when_store_is_up(world, [&world, data_centre, time]
                     { take_out_of_service(world, data_centre, time); });
}

} // namespace zinniaferry::model
