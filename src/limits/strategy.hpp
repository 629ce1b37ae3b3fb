/// The ways to divide an account's limit between processes, as values, so that the history check
/// and the benchmark compare them on the same code.
#pragma once

#include <array>
#include <optional>

namespace zinniaferry::limits
{

/// Who generates the tokens of an account that are not in seats.
enum class pool_source
{
    none,           ///< Everything is in seats.
    majority_lease, ///< The holder of the account's group.
    hashed_list     ///< The first by rendezvous hash over the member list; unsafe, for comparison.
};

struct strategy
{
    const char* name = "";
    pool_source pool = pool_source::majority_lease;
    bool lends = true;
    std::optional<double> seat_fraction{}; ///< Overrides the configuration.
    bool safe = true;                      ///< Keeps rate x window + burst under every fault.
};

inline constexpr strategy static_share{
    .name = "static_share", .pool = pool_source::none, .lends = false, .seat_fraction = 1.0};
inline constexpr strategy hashed_owner{
    .name = "hashed_owner", .pool = pool_source::hashed_list, .seat_fraction = 0.0, .safe = false};
inline constexpr strategy seats_and_loans{
    .name = "seats_and_loans", .pool = pool_source::none, .seat_fraction = 1.0};
inline constexpr strategy seats_pool_and_loans{.name = "seats_pool_and_loans"};

inline constexpr std::array<strategy, 4> all_strategies{static_share, hashed_owner, seats_and_loans,
                                                        seats_pool_and_loans};

} // namespace zinniaferry::limits
