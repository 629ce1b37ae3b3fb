/// What callers, backend servers and the store see of the fleet, on which the checks are based, and
/// which disturbances the scenario caused.
#pragma once

#include "config/index.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::model
{

/// A request as its caller sees it.
struct request_record
{
    std::uint64_t id = 0; ///< Index in history::requests.
    std::size_t daemon = 0;
    std::uint64_t process = 0; ///< Number of the daemon's process.
    std::string path;
    std::string key;
    core::time_point sent_at;
    std::optional<core::time_point> answered_at;
    unsigned status = 0; ///< HTTP status; 0 without a response.
};

/// A request that reached a backend server.
struct arrival
{
    std::uint64_t request = 0; ///< Id.
    std::size_t daemon = 0;
    std::string server;
    std::uint64_t incarnation = 0; ///< Of the server.
    std::string service;
    std::string data_centre;
    std::string account;      ///< As stated by the daemon.
    core::time_point sent_at; ///< By the daemon.
    core::time_point arrived_at;
    bool ran = false;         ///< The server began to work on it.
    bool server_cold = false; ///< The server was cold.
};

struct published_configuration
{
    std::shared_ptr<const config::configuration_index> index;
    core::time_point confirmed_at; ///< By the store.
};

/// A time without end lasts to the end of the run.
struct span
{
    core::time_point from;
    core::time_point until = core::time_point::max();
};

/// A server that the store lists as leaving or has removed.
struct departure
{
    std::string server;
    std::uint64_t incarnation = 0;
    core::time_point confirmed_at;
};

struct evacuation
{
    std::string data_centre;
    span out_of_service;
};

struct history
{
    std::vector<request_record> requests;
    std::vector<arrival> arrivals; ///< In the order of arrival.
    std::vector<published_configuration> configurations;
    std::vector<departure> departures;
    std::vector<evacuation> evacuations;
    std::vector<span> store_restorations;               ///< From the store's absence to its return.
    std::vector<std::vector<span>> daemon_disturbances; ///< By daemon.
};

} // namespace zinniaferry::model
