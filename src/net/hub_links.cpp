#include "net/hub_links.hpp"

#include "net/accept_loop.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A hub sends the age of its replica after each report of a subscriber, and at least this often.
constexpr core::duration update_interval = std::chrono::milliseconds(600);
/// An update counts as sent at the time of the report that it repeats, so updates look older by up
/// to this time.
constexpr core::duration report_interval = std::chrono::milliseconds(400);
constexpr core::duration fleet_interval = std::chrono::seconds(1);
constexpr core::duration selection_rate_interval = std::chrono::seconds(1);
/// Interval at which the choice of hubs is checked.
constexpr core::duration hub_check_interval = std::chrono::milliseconds(200);
/// The same while no hub is reachable.
constexpr core::duration fast_hub_check_interval = std::chrono::milliseconds(50);
constexpr core::duration connect_timeout = std::chrono::milliseconds(400);
/// An update that may have been on its way for longer is logged.
constexpr core::duration late_update_time = std::chrono::milliseconds(1000);

} // namespace

hub_links::hub_links(asio::io_context& io, fleet::member self, std::uint64_t incarnation,
                     fleet::replica& replica, event_log& log, hub_link_callbacks callbacks)
    : io_(io), incarnation_(incarnation), replica_(replica), log_(log),
      callbacks_(std::move(callbacks)), grant_requests_(io)
{
    choice_.own_address = self.address;
    choice_.own_link_mbps = self.link_mbps;
    registry_.self = std::move(self);
    registry_.started = core::boot_clock_now();
    selections_counted_at_ = registry_.started;
}

void hub_links::set_seeds(const std::vector<std::string>& seeds)
{
    fleet::set_seeds(choice_, seeds);
}

bool hub_links::must_follow_platform() const
{
    return fleet::must_follow_platform(choice_, !subscribers_.empty(), registry_.started,
                                       core::boot_clock_now());
}

void hub_links::close(link& connection)
{
    close_link(connection);
    connection.notification.cancel();
}

asio::awaitable<void> hub_links::wait_for_notification(link& connection, core::duration time)
{
    if (!connection.notification_pending && !connection.closed)
    {
        connection.notification.expires_after(time);
        error_code ignored;
        co_await connection.notification.async_wait(redirect_error_to(ignored));
    }
    connection.notification_pending = false;
}

void hub_links::send(link& to, const fleet::hub_message& message, fleet::compression mode)
{
    const auto frame = std::make_shared<const std::string>(fleet::encode_frame(message, mode));
    counters_.bytes_out += frame->size();
    queue_frame(to, frame);
}

asio::awaitable<std::optional<fleet::hub_message>> hub_links::receive(link& from)
{
    auto received = co_await receive_message(from, log_);
    if (!received)
    {
        co_return std::nullopt;
    }
    counters_.bytes_in += received->bytes;
    co_return std::move(received->message);
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
    const fleet::hello_message subscriber_hello = *hello;
    const std::string vm = subscriber_hello.self.vm;
    fleet::on_hello(registry_, subscriber_hello, core::boot_clock_now());
    fleet::on_met(choice_, subscriber_hello.self.address);
    report_fleet_view();
    log_.write("peers", "subscribed",
               {{"subscriber", vm}, {"revision", subscriber_hello.revision}});
    subscribers_.insert(subscriber);
    // A subscriber whose revision differs from that of the replica gets a snapshot, with the values
    // of the entries that it lacks.
    const bool is_up_to_date =
        subscriber_hello.revision != 0 && subscriber_hello.revision == replica_.revision;
    subscriber->position = {.sent_sequence = is_up_to_date ? replica_.sequence : 0,
                            .known_revision = subscriber_hello.revision,
                            .compression = subscriber_hello.accepts_compressed
                                               ? fleet::compression::allowed
                                               : fleet::compression::off};
    asio::co_spawn(io_, write_frames(subscriber), asio::detached);
    asio::co_spawn(io_, send_updates(subscriber), asio::detached);
    while (const auto message = co_await receive(*subscriber))
    {
        if (const auto* report = std::get_if<fleet::report_message>(&*message))
        {
            subscriber->last_report = report->number;
            notify(*subscriber);
            if (fleet::on_report(registry_, vm, *report, core::boot_clock_now()))
            {
                report_fleet_view();
            }
        }
        else if (const auto* request = std::get_if<fleet::ask_message>(&*message))
        {
            answer_grant_request(*subscriber, vm, *request);
        }
    }
    close(*subscriber);
    subscribers_.erase(subscriber);
    fleet::on_unsubscribed(registry_, vm, subscriber_hello.incarnation, core::boot_clock_now());
    report_fleet_view();
    log_.write("peers", "left", {{"subscriber", vm}});
}

limits::grant hub_links::take_from_pool(const std::string& account)
{
    callbacks_.on_primary_time(fleet::take_primary_time(registry_, core::boot_clock_now()));
    return callbacks_.take_from_pool(account);
}

void hub_links::answer_grant_request(link& subscriber, const std::string& vm,
                                     const fleet::ask_message& request)
{
    fleet::on_grant_request(registry_, vm, request, core::boot_clock_now());
    // Without a configuration no account is known to have a limit.
    if (!replica_.complete)
    {
        return;
    }
    const limits::grant grant = take_from_pool(request.account);
    send(subscriber, fleet::grant_message{.number = request.number,
                                          .requests = grant.requests,
                                          .retry_after = grant.retry_after});
}

asio::awaitable<void> hub_links::send_updates(link_pointer subscriber)
{
    core::time_point fleet_due = core::boot_clock_now();
    while (!subscriber->closed)
    {
        if (replica_.complete)
        {
            send_changes(*subscriber);
        }
        if (core::boot_clock_now() >= fleet_due)
        {
            fleet_due = core::boot_clock_now() + fleet_interval;
            send_fleet(*subscriber);
        }
        co_await wait_for_notification(*subscriber, update_interval);
    }
}

void hub_links::send_changes(link& subscriber)
{
    if (subscriber.position.sent_sequence == 0 ||
        subscriber.position.sent_sequence != replica_.sequence)
    {
        const frame_pointer previous = shared_update_.update.frame;
        const encoded_update update =
            update_for(shared_update_, replica_, subscriber.position, core::boot_clock_now());
        counters_.updates_encoded += update.frame == previous ? 0 : 1;
        subscriber.position.sent_sequence = replica_.sequence;
        subscriber.position.known_revision = replica_.revision;
        counters_.bytes_out += update.frame->size();
        queue_frame(subscriber, update.frame);
        log_snapshot(update);
    }
    send(subscriber, fleet::update_message{.revision = replica_.revision,
                                           .age = core::boot_clock_now() - replica_.current_as_of,
                                           .last_report = subscriber.last_report});
}

void hub_links::log_snapshot(const encoded_update& update)
{
    if (update.is_snapshot)
    {
        ++counters_.snapshots_out;
        log_.write("peers", "snapshot_sent",
                   {{"entries", update.entries}, {"bytes", update.frame->size()}});
    }
}

void hub_links::send_fleet(link& subscriber)
{
    const core::time_point now = core::boot_clock_now();
    const bool members_unchanged = subscriber.members_version_sent == registry_.members_version;
    subscriber.members_version_sent = registry_.members_version;
    send(subscriber,
         members_unchanged ? fleet::make_fleet_summary(registry_, now)
                           : fleet::make_fleet_message(registry_, now),
         subscriber.position.compression);
}

void hub_links::notify_subscribers()
{
    for (const link_pointer& subscriber : subscribers_)
    {
        notify(*subscriber);
    }
}

void hub_links::notify(link& subscriber)
{
    subscriber.notification_pending = true;
    subscriber.notification.cancel();
}

asio::awaitable<void> hub_links::run()
{
    asio::steady_timer timer(io_);
    core::time_point report_at = core::boot_clock_now();
    while (true)
    {
        const core::time_point now = core::boot_clock_now();
        for (const std::string& address : fleet::connections_to_open(choice_, now))
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
        if (primary != primary_hub_ || now >= report_at)
        {
            if (primary != primary_hub_)
            {
                log_.write("peers", "hub_chosen", {{"address", primary.value_or("none")}});
            }
            primary_hub_ = primary;
            fleet::set_own_primary(registry_, primary_hub_ == choice_.own_address, now);
            report_at = now + report_interval;
            fleet::remove_expired_members(registry_, now);
            grant_requests_.remove_expired(now);
            if (now - selections_counted_at_ >= selection_rate_interval)
            {
                update_selection_rate(now);
            }
            send_reports();
            report_fleet_view();
        }
        timer.expires_after(primary_hub_ ? hub_check_interval : fast_hub_check_interval);
        error_code ignored;
        co_await timer.async_wait(redirect_error_to(ignored));
    }
}

void hub_links::send_reports()
{
    for (const auto& [address, hub] : hubs_)
    {
        send_report(address, *hub);
    }
}

void hub_links::send_report(const std::string& address, link& hub)
{
    const core::time_point now = core::boot_clock_now();
    const bool is_primary = address == primary_hub_;
    send(hub, fleet::report_message{.primary = is_primary,
                                    .selection_rate = registry_.own_selection_rate,
                                    .number = fleet::on_report_sent(hub.echoes, now),
                                    .primary_time =
                                        fleet::state_primary_time(hub.statement, is_primary, now)});
}

void hub_links::update_selection_rate(core::time_point now)
{
    const std::uint64_t count = callbacks_.selection_count();
    registry_.own_selection_rate =
        static_cast<float>(static_cast<double>(count - selections_counted_) /
                           core::to_seconds(now - selections_counted_at_));
    selections_counted_ = count;
    selections_counted_at_ = now;
}

asio::awaitable<void> hub_links::subscribe(std::string address)
{
    const auto endpoint = parse_endpoint(address);
    asio::ip::tcp::socket socket(io_);
    error_code error = asio::error::invalid_argument;
    if (endpoint)
    {
        deadline_timer connect_timer(socket);
        connect_timer.expires_after(connect_timeout);
        co_await socket.async_connect(*endpoint, redirect_error_to(error));
    }
    if (!error)
    {
        co_await receive_from_hub(address, std::make_shared<link>(std::move(socket)));
    }
    fleet::on_closed(choice_, address, core::boot_clock_now());
}

asio::awaitable<void> hub_links::receive_from_hub(std::string address, link_pointer hub)
{
    set_connection_options(hub->socket);
    hubs_[address] = hub;
    const core::time_point now = core::boot_clock_now();
    hub->echoes.echoed_sent_at = now;
    fleet::on_connected(choice_, address, now);
    send(*hub, fleet::hello_message{.self = registry_.self,
                                    .incarnation = incarnation_,
                                    .revision = replica_.complete ? replica_.revision : 0,
                                    .accepts_compressed = true,
                                    .members_known = stated_fleet_size()});
    send_report(address, *hub);
    asio::co_spawn(io_, write_frames(hub), asio::detached);
    while (const auto message = co_await receive(*hub))
    {
        handle_message(address, *hub, *message);
    }
    close(*hub);
    hubs_.erase(address);
    log_.write("peers", "hub_left", {{"address", address}});
}

void hub_links::handle_message(const std::string& address, link& hub,
                               const fleet::hub_message& message)
{
    if (const auto* update = std::get_if<fleet::update_message>(&message))
    {
        handle_update(address, hub, *update);
    }
    else if (const auto* fleet = std::get_if<fleet::fleet_message>(&message))
    {
        hub.last_fleet = *fleet;
        fleet::on_met(choice_, address);
        if (!fleet->members.empty())
        {
            hub.members = fleet->members;
            fleet::set_members(choice_, hub.members);
        }
        report_fleet_view();
    }
    else if (const auto* grant = std::get_if<fleet::grant_message>(&message))
    {
        if (const auto late = grant_requests_.on_grant(*grant))
        {
            callbacks_.on_late_grant(*late);
        }
    }
}

core::time_point hub_links::current_as_of(const std::string& address, link& hub,
                                          const fleet::update_message& update)
{
    const core::time_point now = core::boot_clock_now();
    fleet::on_echo(hub.echoes, update.last_report);
    const core::time_point sent_after = fleet::sent_after(hub.echoes);
    const bool is_late = now - sent_after >= late_update_time;
    if (is_late != hub.is_late)
    {
        log_.write("peers", is_late ? "updates_late" : "updates_in_time",
                   {{"address", address},
                    {"delay_ms", core::to_milliseconds(now - sent_after)},
                    {"hub_age_ms", core::to_milliseconds(update.age)}});
    }
    hub.is_late = is_late;
    return sent_after - update.age;
}

void hub_links::handle_update(const std::string& address, link& hub,
                              const fleet::update_message& update)
{
    const core::time_point now = core::boot_clock_now();
    const core::time_point as_of = current_as_of(address, hub, update);
    fleet::on_update(choice_, address, as_of, now);
    received_update_ = true;
    const auto changes =
        update.complete ? fleet::apply_snapshot(replica_, update.changes, update.revision, {}, now)
                        : fleet::apply_changes(replica_, update.changes, update.revision);
    replica_.current_as_of = std::max(replica_.current_as_of, as_of);
    callbacks_.on_changes(changes);
}

asio::awaitable<std::optional<limits::grant>> hub_links::request_grant(std::string account)
{
    if (primary_hub_ == choice_.own_address)
    {
        co_return take_from_pool(account);
    }
    const auto hub = primary_hub_ ? hubs_.find(*primary_hub_) : hubs_.end();
    if (hub == hubs_.end() || hub->second->closed)
    {
        co_return std::nullopt;
    }
    const std::string address = hub->first;
    const std::uint64_t number = grant_requests_.add(account);
    link& asked = *hub->second;
    send(asked, fleet::ask_message{.number = number,
                                   .account = std::move(account),
                                   .primary_time = fleet::state_primary_time(
                                       asked.statement, true, core::boot_clock_now())});
    const auto grant = co_await grant_requests_.wait(number);
    if (grant)
    {
        fleet::on_grant_in_time(choice_, address);
    }
    else
    {
        ++counters_.grant_timeouts;
        fleet::on_grant_late(choice_, address, core::boot_clock_now());
    }
    co_return grant;
}

// Combines the reports of the hubs with this daemon's own registry: the union of their members, and
// the highest number of known members.
void hub_links::report_fleet_view()
{
    const core::time_point now = core::boot_clock_now();
    // The time until now counts by the size of the fleet until now.
    callbacks_.on_primary_time(fleet::take_primary_time(registry_, now));
    const fleet::fleet_message own = fleet::make_fleet_message(registry_, now);
    fleet::record_members(member_cache_, own.members, now);
    std::vector<const fleet::fleet_message*> hub_messages;
    double fleet_selection_rate = primary_hub_ == choice_.own_address ? own.selection_rate : 0.0;
    for (const auto& [address, hub] : hubs_)
    {
        hub_messages.push_back(&hub->last_fleet);
        if (address == primary_hub_)
        {
            fleet_selection_rate = hub->last_fleet.selection_rate;
        }
        fleet::record_members(member_cache_, hub->members, now);
    }
    fleet::confirm_contact(registry_, choice_, hub_messages, now);
    const bool was_known = fleet_size_.is_known;
    fleet_size_ = fleet::estimate_fleet_size(known_size_, registry_, hub_messages, now);
    if (fleet_size_.is_known != was_known)
    {
        log_.write("peers", fleet_size_.is_known ? "fleet_size_known" : "fleet_size_unknown",
                   {{"members", fleet_size_.members_known},
                    {"met_most_seeds", fleet::has_met_most_seeds(choice_)}});
    }
    fleet_view view;
    view.members = fleet::recent_members(member_cache_, now);
    view.members_known = fleet_size_.members_known;
    view.primary_members = fleet::count_primary_members(registry_, now) +
                           (primary_hub_ == choice_.own_address ? 1 : 0);
    view.hub_reachable = primary_hub_.has_value();
    view.own_selection_rate = registry_.own_selection_rate;
    view.fleet_selection_rate = fleet_selection_rate;
    view.is_size_known = fleet_size_.is_known;
    callbacks_.on_fleet_view(view);
}

// The largest size is stated, not one that is only assumed while a hub does not know the fleet.
std::uint32_t hub_links::stated_fleet_size() const
{
    return fleet_size_.is_known ? static_cast<std::uint32_t>(known_size_.largest) : 0;
}

boost::json::object hub_links::dump() const
{
    const core::time_point now = core::boot_clock_now();
    boost::json::object out;
    out["subscribers"] = subscribers_.size();
    out["is_hub"] = fleet::is_hub(choice_, now);
    out["fleet_size"] = fleet_size_.members_known;
    out["is_fleet_size_known"] = fleet_size_.is_known;
    out["candidates"] = fleet::dump(choice_, now);
    out["bytes_in"] = counters_.bytes_in;
    out["bytes_out"] = counters_.bytes_out;
    return out;
}

} // namespace zinniaferry::net
