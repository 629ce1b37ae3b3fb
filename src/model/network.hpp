/// Links between daemons, and between daemons and the store, with delay, bandwidth and partitions.
/// Messages of a link stay in order. A cut link holds its messages until it heals, as TCP does when
/// it sends them again. Links to callers and backend servers have a fixed delay and are never cut.
#pragma once

#include "model/event_queue.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace zinniaferry::model
{

/// Index of a daemon, or the number of daemons for the store.
using node = std::size_t;

struct held_message
{
    node from = 0;
    node to = 0;
    std::size_t bytes = 0;
    action deliver;
};

/// Side of a node that all others reach during a partition.
inline constexpr std::uint32_t every_side = 0xffffffff;

struct network
{
    std::vector<std::uint32_t> side;  ///< By node: nodes on different sides of a partition are cut.
    std::vector<double> delay_factor; ///< By node: more than 1 while its links are slow.
    std::map<std::pair<node, node>, core::time_point> last_arrival; ///< By link.
    std::vector<held_message> held;
};

/// One-way delay between a daemon and a caller or backend server.
inline constexpr core::duration outer_delay = std::chrono::milliseconds(1);

/// All functions: not thread safe for the same network.

network make_network(std::size_t nodes);

bool is_cut(const network& net, node a, node b);

/// Delivers a message of `bytes` after the delay of the link, or after the link heals.
void send(network& net, event_queue& queue, node from, node to, std::size_t bytes, action deliver);

/// Replaces the sides, and sends the held messages of links that have healed.
void set_sides(network& net, event_queue& queue, std::vector<std::uint32_t> sides);

} // namespace zinniaferry::model
