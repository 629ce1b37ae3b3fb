#include "net/hub_links.hpp"

#include "net/backend_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A hub tells the age of what it knows this often.
constexpr core::duration update_interval = std::chrono::milliseconds(400);
constexpr core::duration report_interval = std::chrono::seconds(1);
constexpr core::duration check_interval = std::chrono::milliseconds(200);
constexpr core::duration connect_limit = std::chrono::milliseconds(400);
constexpr core::duration write_limit = std::chrono::seconds(2);
constexpr std::size_t length_bytes = 4;

auto into(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

std::size_t hash_of(const std::vector<fleet::member>& members)
{
    std::size_t out = members.size();
    for (const fleet::member& entry : members)
    {
        out += std::hash<std::string>()(entry.vm + '\n' + entry.address);
    }
    return out;
}

} // namespace

hub_links::hub_links(asio::io_context& io, fleet::member self, std::uint64_t incarnation,
                     fleet::replica& replica, event_log& log, hub_events events)
    : io_(io), incarnation_(incarnation), replica_(replica), log_(log), events_(std::move(events))
{
    choice_.self = self.address;
    registry_.self = std::move(self);
    registry_.started = core::elapsed_now();
}

void hub_links::set_seeds(const std::vector<std::string>& seeds)
{
    fleet::set_seeds(choice_, seeds);
}

bool hub_links::must_follow_platform() const
{
    const core::time_point now = core::elapsed_now();
    return !subscribers_.empty() || fleet::is_hub(choice_, now) ||
           !fleet::has_current_hub(choice_, now);
}

void hub_links::close(link& which)
{
    which.closed = true;
    error_code ignored;
    which.socket.close(ignored);
    which.wake.cancel();
}

asio::awaitable<void> hub_links::wait(link& on, core::duration time)
{
    if (!on.notified && !on.closed)
    {
        on.wake.expires_after(time);
        error_code ignored;
        co_await on.wake.async_wait(into(ignored));
    }
    on.notified = false;
}

asio::awaitable<bool> hub_links::send(link& to, const fleet::hub_message& message)
{
    const std::string body = fleet::encode(message);
    std::string frame(length_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(body.size()));
    frame += body;
    to.timer.expires_after(write_limit);
    error_code error;
    co_await asio::async_write(to.socket, asio::buffer(frame), into(error));
    to.timer.clear();
    counters_.bytes_out += frame.size();
    if (error)
    {
        close(to);
    }
    co_return !error;
}

asio::awaitable<std::optional<fleet::hub_message>> hub_links::receive(link& from)
{
    std::array<unsigned char, length_bytes> length{};
    error_code error;
    co_await asio::async_read(from.socket, asio::buffer(length), into(error));
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (error || size > fleet::max_hub_message_bytes)
    {
        co_return std::nullopt;
    }
    std::string body(size, '\0');
    co_await asio::async_read(from.socket, asio::buffer(body), into(error));
    counters_.bytes_in += length_bytes + body.size();
    if (error)
    {
        co_return std::nullopt;
    }
    std::optional<fleet::hub_message> out;
    boost::leaf::try_handle_all(
        [&]() -> core::result<void>
        {
            BOOST_LEAF_ASSIGN(out, fleet::decode_hub_message(body));
            return {};
        },
        [&](const core::peer_message_error& refused)
        { log_.write("peers", "refused", {{"why", core::to_string(refused)}}); },
        [&] { log_.write("peers", "refused", {{"why", "unknown error"}}); });
    co_return out;
}

asio::awaitable<void> hub_links::serve(asio::ip::tcp::acceptor& acceptor)
{
    while (acceptor.is_open())
    {
        error_code error;
        asio::ip::tcp::socket socket = co_await acceptor.async_accept(into(error));
        if (error)
        {
            asio::steady_timer pause(io_, check_interval);
            co_await pause.async_wait(into(error));
            continue;
        }
        set_connection_options(socket);
        asio::co_spawn(io_, serve_subscriber(std::make_shared<link>(std::move(socket))),
                       asio::detached);
    }
}

asio::awaitable<void> hub_links::serve_subscriber(link_pointer subscriber)
{
    const auto first = co_await receive(*subscriber);
    const auto* hello = first ? std::get_if<fleet::hello_message>(&*first) : nullptr;
    if (hello == nullptr)
    {
        co_return;
    }
    const fleet::hello_message greeted = *hello;
    fleet::on_hello(registry_, greeted, core::elapsed_now());
    log_.write("peers", "subscribed", {{"vm", greeted.self.vm}, {"revision", greeted.revision}});
    subscribers_.insert(subscriber);
    // A subscriber that knows another revision gets a complete copy.
    const bool same = greeted.revision != 0 && greeted.revision == replica_.revision;
    subscriber->sent_sequence = same ? replica_.sequence : 0;
    asio::co_spawn(io_, feed_subscriber(subscriber), asio::detached);
    while (true)
    {
        const auto message = co_await receive(*subscriber);
        const auto* report = message ? std::get_if<fleet::report_message>(&*message) : nullptr;
        if (report == nullptr)
        {
            break;
        }
        fleet::on_report(registry_, greeted.self.vm, report->demand, core::elapsed_now());
    }
    close(*subscriber);
    subscribers_.erase(subscriber);
    fleet::on_left(registry_, greeted.self.vm, greeted.incarnation, core::elapsed_now());
    log_.write("peers", "left", {{"vm", greeted.self.vm}});
}

asio::awaitable<void> hub_links::feed_subscriber(link_pointer subscriber)
{
    core::time_point fleet_due = core::elapsed_now();
    while (!subscriber->closed)
    {
        if (replica_.complete && !co_await send_changes(*subscriber))
        {
            break;
        }
        if (core::elapsed_now() >= fleet_due)
        {
            fleet_due = core::elapsed_now() + report_interval;
            if (!co_await send_fleet(*subscriber))
            {
                break;
            }
        }
        co_await wait(*subscriber, update_interval);
    }
}

asio::awaitable<bool> hub_links::send_changes(link& subscriber)
{
    fleet::update_message update;
    update.revision = replica_.revision;
    update.age = core::elapsed_now() - replica_.current_at;
    auto changes = subscriber.sent_sequence == 0
                       ? std::nullopt
                       : fleet::changes_after(replica_, subscriber.sent_sequence);
    update.complete = !changes.has_value();
    update.changes = changes ? std::move(*changes) : fleet::complete_copy(replica_);
    subscriber.sent_sequence = replica_.sequence;
    const fleet::hub_message message = std::move(update);
    co_return co_await send(subscriber, message);
}

asio::awaitable<bool> hub_links::send_fleet(link& subscriber)
{
    fleet::fleet_message fleet =
        fleet::describe_fleet(registry_, events_.own_demand(), core::elapsed_now());
    const std::size_t members = hash_of(fleet.members);
    if (members == subscriber.members_sent)
    {
        fleet.members.clear();
    }
    subscriber.members_sent = members;
    const fleet::hub_message message = std::move(fleet);
    co_return co_await send(subscriber, message);
}

void hub_links::publish()
{
    for (const link_pointer& subscriber : subscribers_)
    {
        subscriber->notified = true;
        subscriber->wake.cancel();
    }
}

asio::awaitable<void> hub_links::run()
{
    asio::steady_timer timer(io_);
    core::time_point tell_at = core::elapsed_now();
    while (true)
    {
        const core::time_point now = core::elapsed_now();
        for (const std::string& address : fleet::wanted_connections(choice_, now))
        {
            asio::co_spawn(io_, subscribe(address), asio::detached);
        }
        for (const auto& [address, hub] : hubs_)
        {
            if (!fleet::is_wanted(choice_, address, now))
            {
                close(*hub);
            }
        }
        if (now >= tell_at)
        {
            tell_at = now + report_interval;
            fleet::forget_vanished(registry_, now);
            tell_fleet();
        }
        timer.expires_after(check_interval);
        error_code ignored;
        co_await timer.async_wait(into(ignored));
    }
}

asio::awaitable<void> hub_links::subscribe(std::string address)
{
    const auto hub = std::make_shared<link>(io_);
    const auto endpoint = read_endpoint(address);
    error_code error = asio::error::invalid_argument;
    if (endpoint)
    {
        hub->timer.expires_after(connect_limit);
        co_await hub->socket.async_connect(*endpoint, into(error));
        hub->timer.clear();
    }
    if (!error)
    {
        set_connection_options(hub->socket);
        hubs_[address] = hub;
        fleet::on_connected(choice_, address, core::elapsed_now());
        asio::co_spawn(io_, report_to_hub(hub), asio::detached);
        while (auto message = co_await receive(*hub))
        {
            take(address, *hub, *message);
        }
        close(*hub);
        hubs_.erase(address);
        told_.erase(address);
        log_.write("peers", "hub_lost", {{"address", address}});
    }
    fleet::on_closed(choice_, address, core::elapsed_now());
}

asio::awaitable<void> hub_links::report_to_hub(link_pointer hub)
{
    const fleet::hub_message hello =
        fleet::hello_message{.self = registry_.self,
                             .incarnation = incarnation_,
                             .revision = replica_.complete ? replica_.revision : 0};
    bool sent = co_await send(*hub, hello);
    while (sent && !hub->closed)
    {
        const fleet::hub_message report = fleet::report_message{events_.own_demand()};
        sent = co_await send(*hub, report);
        co_await wait(*hub, report_interval);
    }
}

void hub_links::take(const std::string& address, link& hub, const fleet::hub_message& message)
{
    if (const auto* update = std::get_if<fleet::update_message>(&message))
    {
        take_update(address, *update);
    }
    else if (const auto* fleet = std::get_if<fleet::fleet_message>(&message))
    {
        take_fleet(hub, *fleet);
        told_[address] = *fleet;
        told_[address].members = hub.members;
    }
}

void hub_links::take_update(const std::string& address, const fleet::update_message& update)
{
    const core::time_point now = core::elapsed_now();
    fleet::on_heard(choice_, address, update.age, now);
    const auto changes =
        update.complete ? fleet::apply_copy(replica_, update.changes, update.revision, {}, now)
                        : fleet::apply_changes(replica_, update.changes, update.revision);
    replica_.current_at = std::max(replica_.current_at, now - update.age);
    events_.changed(changes);
}

void hub_links::take_fleet(link& hub, fleet::fleet_message message)
{
    if (!message.members.empty())
    {
        hub.members = std::move(message.members);
        fleet::set_members(choice_, hub.members);
    }
}

// Combines what the hubs tell with what this daemon hears itself. The hub that hears most members
// is believed; a member that only one of them hears is counted by that one.
void hub_links::tell_fleet()
{
    fleet::fleet_message best =
        fleet::describe_fleet(registry_, events_.own_demand(), core::elapsed_now());
    for (const auto& [address, told] : told_)
    {
        const std::uint32_t known = std::max(best.members_known, told.members_known);
        if (told.members.size() >= best.members.size())
        {
            best = told;
        }
        best.members_known = known;
    }
    events_.fleet(best);
}

boost::json::object hub_links::dump() const
{
    const core::time_point now = core::elapsed_now();
    boost::json::object out;
    out["subscribers"] = subscribers_.size();
    out["is_hub"] = fleet::is_hub(choice_, now);
    out["candidates"] = fleet::dump(choice_, now);
    out["bytes_in"] = counters_.bytes_in;
    out["bytes_out"] = counters_.bytes_out;
    return out;
}

} // namespace zinniaferry::net
