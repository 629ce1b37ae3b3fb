/// The backend servers of the model: what they answer to load probes and requests, and the log of
/// what reached them.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// How an exchange with a server ends, as the daemon sees it.
enum class exchange_end
{
    answered,   ///< With a success.
    not_run,    ///< The server states that it did not run the request.
    lost,       ///< The connection ended without a response after the request had been sent.
    unreachable ///< No connection; no byte was sent.
};

/// A request as a daemon sends it to a server.
struct forwarded_request
{
    std::uint64_t request = 0;
    std::size_t daemon = 0;
    std::string server;
    std::string account;
    core::time_point sent_at;
};

/// Returns the response to a load probe that arrives now, or nothing if the server has ended.
std::optional<routing::load_reading> load_of(const world& world, const std::string& server);

/// Returns the warm-up time that the server states.
core::duration warmup_left(const world& world, const std::string& server);

/// Handles a request that arrives at the server now. `on_end` runs when its end leaves the server.
void serve(world& world, const forwarded_request& request,
           std::function<void(exchange_end)> on_end);

} // namespace zinniaferry::model
