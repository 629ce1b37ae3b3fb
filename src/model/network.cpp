#include "model/network.hpp"

#include <algorithm>

namespace zinniaferry::model
{

namespace
{

constexpr core::duration base_delay = std::chrono::microseconds(1500);
constexpr double bytes_per_second = 1.0e6;

core::duration transit_time(const network& net, node from, node to, std::size_t bytes)
{
    const double factor = std::max(net.delay_factor[from], net.delay_factor[to]);
    const double transfer_s = static_cast<double>(bytes) / bytes_per_second;
    return core::from_seconds((core::to_seconds(base_delay) + transfer_s) * factor);
}

} // namespace

network make_network(std::size_t nodes)
{
    return {.side = std::vector<std::uint32_t>(nodes, 0),
            .delay_factor = std::vector<double>(nodes, 1.0)};
}

bool is_cut(const network& net, node a, node b)
{
    const bool is_one_on_every_side = net.side[a] == every_side || net.side[b] == every_side;
    return net.side[a] != net.side[b] && !is_one_on_every_side;
}

void send(network& net, event_queue& queue, node from, node to, std::size_t bytes, action deliver)
{
    if (is_cut(net, from, to))
    {
        net.held.push_back({from, to, bytes, std::move(deliver)});
        return;
    }
    core::time_point& last = net.last_arrival[{from, to}];
    last = std::max(last, queue.now + transit_time(net, from, to, bytes));
    schedule(queue, last, std::move(deliver));
}

void set_sides(network& net, event_queue& queue, std::vector<std::uint32_t> sides)
{
    net.side = std::move(sides);
    std::vector<held_message> waiting;
    waiting.swap(net.held);
    for (held_message& message : waiting)
    {
        send(net, queue, message.from, message.to, message.bytes, std::move(message.deliver));
    }
}

} // namespace zinniaferry::model
