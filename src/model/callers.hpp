/// The callers of the model: client accounts that send requests to random daemons.
#pragma once

#include "model/world.hpp"

namespace zinniaferry::model
{

/// Limits and usual traffic of an account.
struct account_traffic
{
    const char* name = "";
    double rate = 0.0; ///< Requests/s; also the burst, in requests.
};

/// The accounts of every configuration.
inline constexpr account_traffic accounts[] = {{"big", 60.0}, {"middle", 24.0}, {"small", 4.0}};

/// Returns the key that the account holds in every configuration.
std::string lasting_key(std::string_view account);
/// Returns the key that an account holds only in the configurations of the version and the next.
std::string passing_key(std::size_t version);
/// Returns the path of a route that exists only in the configurations of the version and the next.
std::string passing_path(std::size_t version);

/// Sends requests of all accounts until `end`.
void start_callers(world& world, core::time_point end);

} // namespace zinniaferry::model
