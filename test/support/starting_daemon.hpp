/// A daemon that has just started, as the decision logic of fleet/ sees it, without sockets.
#pragma once

#include "fleet/contact.hpp"

#include <string>
#include <vector>

namespace zinniaferry::test_support
{

/// Starts at `started_at`, with the seeds s1, s2 and s3. Data centres are letters.
struct starting_daemon
{
    explicit starting_daemon(const std::string& address, const std::string& data_centre = "a",
                             const std::vector<std::string>& seeds = {"s1", "s2", "s3"})
        : registry{.self = {.vm = "vm-" + address, .address = address, .data_centre = data_centre},
                   .started = started_at,
                   .data_centres = std::vector<std::string>{"a"}}
    {
        choice.own_address = address;
        fleet::set_seeds(choice, seeds);
    }

    /// Receives a subscription. The member reports from then on, until it is silent.
    void receive_hello(const std::string& address, core::time_point now, std::uint32_t size = 0,
                       const std::string& data_centre = "a")
    {
        fleet::on_hello(
            registry,
            {.self = {.vm = "vm-" + address, .address = address, .data_centre = data_centre},
             .incarnation = 1,
             .members_known = size},
            now);
        reporting.push_back(address);
    }

    void lose(const std::string& address, core::time_point now)
    {
        fleet::on_unsubscribed(registry, "vm-" + address, 1, now);
        std::erase(reporting, address);
    }

    fleet::size_estimate estimate(core::time_point now)
    {
        for (const std::string& address : reporting)
        {
            fleet::on_member_heard(heard, choice, registry.members.at("vm-" + address).identity,
                                   now);
        }
        std::vector<const fleet::fleet_message*> hubs;
        for (const fleet::fleet_message& message : hub_messages)
        {
            hubs.push_back(&message);
        }
        fleet::update_contact(registry, choice, heard, hubs, now);
        return fleet::estimate_fleet_size(size, registry, hubs, now);
    }

    static constexpr core::time_point started_at{std::chrono::seconds(1000)};

    fleet::registry registry;
    fleet::hub_choice choice;
    fleet::contact_history heard;
    fleet::known_size size;
    std::vector<fleet::fleet_message> hub_messages;
    std::vector<std::string> reporting; ///< Addresses of the members that report.
};

} // namespace zinniaferry::test_support
