#include "net/hub_links.hpp"

#include "net/accept_loop.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
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
/// The same while no hub is reached.
constexpr core::duration hasty_check_interval = std::chrono::milliseconds(50);
constexpr core::duration connect_limit = std::chrono::milliseconds(400);
constexpr core::duration write_limit = std::chrono::seconds(2);
/// A request waits no longer for its account's grant; a hub in the region answers in a few.
constexpr core::duration ask_limit = std::chrono::milliseconds(20);
constexpr std::size_t length_bytes = 4;
/// A peer that reads too slowly for this many frames is cut off.
constexpr std::size_t max_outbox_frames = 1024;
/// While not all members had time to be heard, the fleet is taken to have at least so many.
constexpr std::size_t assumed_members = 20;

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
    return fleet::must_follow_platform(choice_, !subscribers_.empty(), registry_.started,
                                       core::elapsed_now());
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
        co_await on.wake.async_wait(redirect_error_to(ignored));
    }
    on.notified = false;
}

void hub_links::send(link& to, const fleet::hub_message& message)
{
    const std::string body = fleet::encode(message);
    std::string frame(length_bytes, '\0');
    boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                                 static_cast<std::uint32_t>(body.size()));
    frame += body;
    counters_.bytes_out += frame.size();
    to.outbox.push_back(std::move(frame));
    if (to.outbox.size() > max_outbox_frames)
    {
        close(to);
    }
    to.outbox_filled.cancel();
}

// The only writer of a connection.
asio::awaitable<void> hub_links::write_frames(link_pointer to)
{
    error_code error;
    while (!to->closed && !error)
    {
        if (to->outbox.empty())
        {
            to->outbox_filled.expires_at(asio::steady_timer::time_point::max());
            error_code woken;
            co_await to->outbox_filled.async_wait(redirect_error_to(woken));
            continue;
        }
        const std::string frame = std::move(to->outbox.front());
        to->outbox.pop_front();
        to->timer.expires_after(write_limit);
        co_await asio::async_write(to->socket, asio::buffer(frame), redirect_error_to(error));
        to->timer.clear();
    }
    close(*to);
}

asio::awaitable<std::optional<fleet::hub_message>> hub_links::receive(link& from)
{
    std::array<unsigned char, length_bytes> length{};
    error_code error;
    co_await asio::async_read(from.socket, asio::buffer(length), redirect_error_to(error));
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (error)
    {
        co_return std::nullopt;
    }
    if (size > fleet::max_hub_message_bytes)
    {
        const core::peer_message_error refused = {core::peer_message_error::reason::too_large,
                                                  size};
        log_.write("peers", "refused", {{"why", core::to_string(refused)}});
        co_return std::nullopt;
    }
    std::string body(size, '\0');
    co_await asio::async_read(from.socket, asio::buffer(body), redirect_error_to(error));
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
        [&](const core::peer_message_error& refused) {
            log_.write("peers", "refused", {{"why", core::to_string(refused)}});
        },
        [&] {
            log_.write("peers", "refused", {{"why", "unknown error"}});
        });
    co_return out;
}

asio::awaitable<void> hub_links::serve(asio::ip::tcp::acceptor& acceptor)
{
    return accept_connections(
        acceptor,
        [this](asio::ip::tcp::socket socket)
        { return serve_subscriber(std::make_shared<link>(std::move(socket))); },
        [this](const error_code& error) {
            log_.write("peers", "accept_failed", {{"error", error.message()}});
        });
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
    const std::string vm = greeted.self.vm;
    fleet::on_hello(registry_, greeted, core::elapsed_now());
    tell_fleet();
    log_.write("peers", "subscribed", {{"vm", vm}, {"revision", greeted.revision}});
    subscribers_.insert(subscriber);
    // A subscriber that knows another revision gets a complete copy.
    const bool same = greeted.revision != 0 && greeted.revision == replica_.revision;
    subscriber->sent_sequence = same ? replica_.sequence : 0;
    asio::co_spawn(io_, write_frames(subscriber), asio::detached);
    asio::co_spawn(io_, feed_subscriber(subscriber), asio::detached);
    while (const auto message = co_await receive(*subscriber))
    {
        if (const auto* report = std::get_if<fleet::report_message>(&*message))
        {
            if (fleet::on_report(registry_, vm, report->primary, core::elapsed_now()))
            {
                tell_fleet();
            }
        }
        else if (const auto* ask = std::get_if<fleet::ask_message>(&*message))
        {
            answer_ask(*subscriber, *ask);
        }
    }
    close(*subscriber);
    subscribers_.erase(subscriber);
    fleet::on_left(registry_, vm, greeted.incarnation, core::elapsed_now());
    tell_fleet();
    log_.write("peers", "left", {{"vm", vm}});
}

void hub_links::answer_ask(link& subscriber, const fleet::ask_message& ask)
{
    const limits::grant grant = events_.take_from_pool(ask.account);
    send(subscriber, fleet::grant_message{.number = ask.number,
                                          .requests = grant.requests,
                                          .retry_after = grant.retry_after});
}

asio::awaitable<void> hub_links::feed_subscriber(link_pointer subscriber)
{
    core::time_point fleet_due = core::elapsed_now();
    while (!subscriber->closed)
    {
        if (replica_.complete)
        {
            send_changes(*subscriber);
        }
        if (core::elapsed_now() >= fleet_due)
        {
            fleet_due = core::elapsed_now() + report_interval;
            send_fleet(*subscriber);
        }
        co_await wait(*subscriber, update_interval);
    }
}

void hub_links::send_changes(link& subscriber)
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
    send(subscriber, update);
}

void hub_links::send_fleet(link& subscriber)
{
    const core::time_point now = core::elapsed_now();
    const bool same = subscriber.members_sent == registry_.heard_version;
    subscriber.members_sent = registry_.heard_version;
    send(subscriber,
         same ? fleet::describe_size(registry_, now) : fleet::describe_fleet(registry_, now));
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
    core::time_point report_at = core::elapsed_now();
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
        const auto primary = fleet::primary_hub(choice_, now);
        if (primary != primary_ || now >= report_at)
        {
            if (primary != primary_)
            {
                log_.write("peers", "hub_chosen", {{"address", primary.value_or("none")}});
            }
            primary_ = primary;
            report_at = now + report_interval;
            fleet::forget_vanished(registry_, now);
            send_reports();
            tell_fleet();
        }
        timer.expires_after(primary_ ? check_interval : hasty_check_interval);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
    }
}

void hub_links::send_reports()
{
    for (const auto& [address, hub] : hubs_)
    {
        send(*hub, fleet::report_message{.primary = address == primary_});
    }
}

asio::awaitable<void> hub_links::subscribe(std::string address)
{
    const auto endpoint = parse_endpoint(address);
    asio::ip::tcp::socket socket(io_);
    error_code error = asio::error::invalid_argument;
    if (endpoint)
    {
        deadline_timer limit(socket);
        limit.expires_after(connect_limit);
        co_await socket.async_connect(*endpoint, redirect_error_to(error));
    }
    if (!error)
    {
        co_await follow_hub(address, std::make_shared<link>(std::move(socket)));
    }
    fleet::on_closed(choice_, address, core::elapsed_now());
}

asio::awaitable<void> hub_links::follow_hub(std::string address, link_pointer hub)
{
    set_connection_options(hub->socket);
    hubs_[address] = hub;
    fleet::on_connected(choice_, address, core::elapsed_now());
    send(*hub, fleet::hello_message{.self = registry_.self,
                                    .incarnation = incarnation_,
                                    .revision = replica_.complete ? replica_.revision : 0});
    send(*hub, fleet::report_message{.primary = address == primary_});
    asio::co_spawn(io_, write_frames(hub), asio::detached);
    while (const auto message = co_await receive(*hub))
    {
        take(address, *hub, *message);
    }
    close(*hub);
    hubs_.erase(address);
    log_.write("peers", "hub_left", {{"address", address}});
}

void hub_links::take(const std::string& address, link& hub, const fleet::hub_message& message)
{
    if (const auto* update = std::get_if<fleet::update_message>(&message))
    {
        take_update(address, *update);
    }
    else if (const auto* fleet = std::get_if<fleet::fleet_message>(&message))
    {
        hub.told = *fleet;
        if (!fleet->members.empty())
        {
            hub.members = fleet->members;
            fleet::set_members(choice_, hub.members);
        }
        tell_fleet();
    }
    else if (const auto* grant = std::get_if<fleet::grant_message>(&message))
    {
        take_grant(*grant);
    }
}

void hub_links::take_update(const std::string& address, const fleet::update_message& update)
{
    const core::time_point now = core::elapsed_now();
    fleet::on_heard(choice_, address, update.age, now);
    heard_hub_ = true;
    const auto changes = update.complete
                             ? fleet::apply_copy(replica_, update.changes, update.revision, {}, now)
                             : fleet::apply_changes(replica_, update.changes, update.revision);
    replica_.current_at = std::max(replica_.current_at, now - update.age);
    events_.changed(changes);
}

void hub_links::take_grant(const fleet::grant_message& message)
{
    const auto found = asks_.find(message.number);
    if (found != asks_.end())
    {
        found->second->grant =
            limits::grant{.requests = message.requests, .retry_after = message.retry_after};
        found->second->answered.cancel();
    }
}

asio::awaitable<std::optional<limits::grant>> hub_links::ask(std::string account)
{
    if (primary_ == choice_.self)
    {
        co_return events_.take_from_pool(account);
    }
    const auto hub = primary_ ? hubs_.find(*primary_) : hubs_.end();
    if (hub == hubs_.end() || hub->second->closed)
    {
        co_return std::nullopt;
    }
    waiting_ask waiting(io_);
    const std::uint64_t number = next_ask_++;
    asks_.emplace(number, &waiting);
    send(*hub->second, fleet::ask_message{.number = number, .account = std::move(account)});
    waiting.answered.expires_after(ask_limit);
    error_code ignored;
    co_await waiting.answered.async_wait(redirect_error_to(ignored));
    asks_.erase(number);
    co_return waiting.grant;
}

// Combines what the hubs tell with what this daemon hears itself: all members that any of them
// names, and the highest number of those known.
void hub_links::tell_fleet()
{
    const core::time_point now = core::elapsed_now();
    const fleet::fleet_message own = fleet::describe_fleet(registry_, now);
    fleet::note_members(told_members_, own.members, now);
    std::size_t known = own.members_known;
    bool settled = own.settled;
    bool one_settled = own.settled;
    for (const auto& [address, hub] : hubs_)
    {
        const bool told = hub->told.members_known > 0;
        known = std::max<std::size_t>(known, hub->told.members_known);
        settled = settled && (!told || hub->told.settled);
        one_settled = one_settled || (told && hub->told.settled);
        fleet::note_members(told_members_, hub->members, now);
    }
    fleet_view view;
    view.members = fleet::recent_members(told_members_, now);
    view.members_known = settled ? known : std::max(known, assumed_members);
    view.members_own = fleet::primary_members(registry_) + (primary_ == choice_.self ? 1 : 0);
    view.hub_reached = primary_.has_value();
    view.is_size_known = one_settled;
    events_.fleet(view);
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
