/// Virtual-time model of processes that spread a configuration: membership and config_spread as
/// the daemon drives them, a configuration service, and a network with delays, losses and splits.
/// Used by the benchmark and the tests.
#pragma once

#include "fleet/config_spread.hpp"
#include "fleet/membership.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinniaferry::fleet
{

enum class service_mode
{
    up,
    down, ///< Calls get no answer.
    stale ///< Answers with `stale_version`.
};

struct spread_model_options
{
    std::uint32_t processes = 19;
    std::uint32_t max_vms = 20;
    std::uint64_t seed = 1;
    std::size_t entries = 100;     ///< Of the document.
    std::size_t entry_bytes = 300; ///< A version changes one entry.
    double loss = 0.0;             ///< Part of the messages between processes.
    core::duration message_delay = std::chrono::microseconds(1500);
    core::duration delay_jitter = std::chrono::milliseconds(3);
    core::duration service_delay = std::chrono::milliseconds(5);
};

struct open_service_call
{
    service_call call;
    core::time_point arrives{};
    std::optional<core::time_point> answered{}; ///< When the answer reaches the caller.
    std::string document;                       ///< Empty when the version is unchanged.
};

struct modelled_process
{
    membership members;
    config_spread spread;
    bool reaches_service = true;
    bool running = true;
    core::time_point paused_until{};
    std::uint32_t group = 0; ///< Messages pass only inside a group.
    std::optional<open_service_call> call;
    std::vector<std::string> alive_vms;
    core::time_point alive_until{};  ///< Then `alive_vms` is renewed.
    std::uint64_t bytes_sent = 0;    ///< Frames to peers, as the peer transport would send them.
    std::uint64_t largest_ready = 0; ///< Highest version in force while ready.
};

struct message_in_flight
{
    std::size_t to = 0;
    message content;
};

struct spread_model
{
    spread_model_options options;
    core::time_point now{};
    core::random_generator random;
    std::vector<modelled_process> processes;
    std::multimap<core::time_point, message_in_flight> network;
    std::vector<std::string> entries; ///< Of the newest document.
    std::string document;
    std::uint64_t version = 0;
    service_mode mode = service_mode::up;
    std::string stale_document;
    std::uint64_t service_calls = 0;
};

/// Returns a spread whose check, delta and application work on the model's documents: a line with
/// the version and a line for each entry. Thread safe.
config_spread_options modelled_spread_options(core::process_id self);

/// Builds a fleet that has just started with version 1 published. Thread safe.
spread_model make_spread_model(spread_model_options options);

/// Publishes the next version, in which one entry differs. Not thread safe, as all below.
void publish(spread_model& model);

/// Ends the process and starts it anew with another incarnation, which knows the published list.
void restart(spread_model& model, std::size_t index);

/// Runs all processes until `end` in steps of 10 ms.
void run_until(spread_model& model, core::time_point end);

/// Returns the number of running processes that have the version or a higher one in force.
std::size_t count_in_force(const spread_model& model, std::uint64_t version);

/// Runs until the version is in force everywhere or `limit` has passed; returns the time taken,
/// or nothing.
std::optional<core::duration> time_to_reach_all(spread_model& model, std::uint64_t version,
                                                core::duration limit);

} // namespace zinniaferry::fleet
