// The part of hub_links that serves this daemon's subscribers.
#include "net/accept_loop.hpp"
#include "net/hub_links.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace zinniaferry::net
{

namespace
{

using boost::system::error_code;

/// A hub sends the age of its replica after each report of a subscriber, and at least this often.
constexpr core::duration update_interval = std::chrono::milliseconds(600);
constexpr core::duration fleet_interval = std::chrono::seconds(1);

} // namespace

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
    fleet::on_member_heard(known_fleet_.heard, choice_, subscriber_hello.self,
                           core::boot_clock_now());
    report_fleet_view();
    log_.write("peers", "subscribed",
               {{"subscriber", vm}, {"revision", subscriber_hello.revision}});
    subscriber->vm = vm;
    subscribers_.insert(subscriber);
    subscriber->position = fleet::position_from(subscriber_hello, replica_);
    asio::co_spawn(io_, write_frames(subscriber), asio::detached);
    asio::co_spawn(io_, send_updates(subscriber), asio::detached);
    while (const auto message = co_await receive(*subscriber))
    {
        if (const auto* report = std::get_if<fleet::report_message>(&*message))
        {
            subscriber->last_report = report->number;
            fleet::on_member_heard(known_fleet_.heard, choice_, subscriber_hello.self,
                                   core::boot_clock_now());
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
    if (fleet::is_behind(subscriber.position, replica_))
    {
        const frame_pointer previous = shared_update_.update.frame;
        const encoded_update update =
            update_for(shared_update_, replica_, subscriber.position, core::boot_clock_now());
        counters_.updates_encoded += update.frame == previous ? 0 : 1;
        fleet::on_update_sent(subscriber.position, replica_);
        counters_.bytes_out += update.frame->size();
        queue_frame(subscriber, update.frame);
        log_snapshot(update);
    }
    send(subscriber, fleet::update_message{.era = replica_.era,
                                           .revision = replica_.revision,
                                           .age = core::boot_clock_now() - replica_.current_as_of,
                                           .last_report = subscriber.last_report,
                                           .loads = loads_for(subscriber)});
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

std::vector<fleet::stated_load> hub_links::loads_for(const link& subscriber)
{
    const auto member = registry_.members.find(subscriber.vm);
    if (member == registry_.members.end() || !member->second.primary)
    {
        return {};
    }
    fleet::update_sums(load_sums_, registry_, core::boot_clock_now());
    return fleet::sums_for(load_sums_, member->second.loads);
}

} // namespace zinniaferry::net
