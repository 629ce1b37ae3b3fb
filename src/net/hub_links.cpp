#include "net/hub_links.hpp"

#include "net/await_error.hpp"
#include "net/endpoint.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// An update counts as sent at the time of the report that it repeats, so updates look older by up
/// to this time.
constexpr core::duration report_interval = std::chrono::milliseconds(400);
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

void hub_links::set_data_centres(std::optional<std::vector<std::string>> names)
{
    registry_.data_centres = std::move(names);
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
            registry_.own_loads = callbacks_.loads_to_state();
            send_reports();
            report_fleet_view();
            if (primary_hub_ == choice_.own_address)
            {
                report_own_sums(now);
            }
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
                                        fleet::state_primary_time(hub.statement, is_primary, now),
                                    .loads = registry_.own_loads});
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
                                    .era = replica_.era,
                                    .revision = replica_.complete ? replica_.revision : 0,
                                    .accepts_compressed = true,
                                    .members_known = fleet::size_to_state(known_fleet_.recent_size,
                                                                          known_fleet_.size)});
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
    fleet::on_met(choice_, address, core::boot_clock_now());
    if (const auto* update = std::get_if<fleet::update_message>(&message))
    {
        handle_update(address, hub, *update);
    }
    else if (const auto* fleet = std::get_if<fleet::fleet_message>(&message))
    {
        hub.last_fleet = *fleet;
        if (!fleet->members.empty())
        {
            hub.members = fleet->members;
            fleet::set_members(choice_, hub.members);
        }
        fleet::on_members_heard(known_fleet_.heard, choice_, hub.members, core::boot_clock_now());
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
    callbacks_.on_changes(fleet::apply_update(replica_, update, as_of, now));
    // Older hubs send no loads, and a hub none in updates with changes.
    if (address == primary_hub_ && !update.loads.empty())
    {
        callbacks_.on_fleet_load(
            fleet::make_fleet_load(update.loads, fleet::sent_after(hub.echoes)));
    }
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

void hub_links::report_fleet_view()
{
    const core::time_point now = core::boot_clock_now();
    // The time until now counts by the size of the fleet until now.
    callbacks_.on_primary_time(fleet::take_primary_time(registry_, now));
    std::vector<fleet::hub_statement> statements;
    for (const auto& [address, hub] : hubs_)
    {
        statements.push_back({address, &hub->last_fleet, &hub->members});
    }
    const bool was_known = known_fleet_.size.is_known;
    const fleet::fleet_view view =
        fleet::view_fleet(known_fleet_, registry_, choice_, primary_hub_, statements, now);
    if (view.is_size_known != was_known)
    {
        const fleet::contact contact =
            fleet::find_contact(registry_, choice_, known_fleet_.heard, now);
        log_.write("peers", view.is_size_known ? "fleet_size_known" : "fleet_size_unknown",
                   {{"members", view.members_known},
                    {"seeds_met", contact.seeds},
                    {"data_centres_met", contact.data_centres},
                    {"size_stated", registry_.size_was_stated}});
    }
    callbacks_.on_fleet_view(view);
}

void hub_links::report_own_sums(core::time_point now)
{
    fleet::update_sums(load_sums_, registry_, now);
    callbacks_.on_fleet_load(load_sums_.sums);
}

boost::json::object hub_links::dump() const
{
    const core::time_point now = core::boot_clock_now();
    boost::json::object out;
    out["subscribers"] = subscribers_.size();
    out["is_hub"] = fleet::is_hub(choice_, now);
    out["fleet_size"] = known_fleet_.size.members_known;
    out["is_fleet_size_known"] = known_fleet_.size.is_known;
    const fleet::contact contact = fleet::find_contact(registry_, choice_, known_fleet_.heard, now);
    out["seeds_met"] = contact.seeds;
    out["data_centres_met"] = contact.data_centres;
    out["candidates"] = fleet::dump(choice_, now);
    out["bytes_in"] = counters_.bytes_in;
    out["bytes_out"] = counters_.bytes_out;
    return out;
}

} // namespace zinniaferry::net
