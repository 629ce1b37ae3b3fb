/// Connects the decider of one daemon to its sockets: delivers the decider's actions to the
/// sessions, peers and probes that carry them out, and feeds time to it.
#pragma once

#include "node/decider.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <unordered_map>

namespace zinniaferry::net
{

/// What one session waits for: the next action of the decider for its request.
class reply_slot
{
public:
    explicit reply_slot(boost::asio::io_context& io) : wake_(io) {}

    /// Delivers an action. Precondition: the former one was taken.
    void deliver(node::action action);

    /// Waits until there is an action and takes it.
    boost::asio::awaitable<node::action> take();

private:
    boost::asio::steady_timer wake_;
    std::optional<node::action> action_;
    bool waiting_ = false;
};

/// Where actions go that do not belong to a waiting request.
struct host_sinks
{
    std::function<void(const fleet::outgoing&)> send_to_peer;
    std::function<void(const node::send_probe&)> probe;
};

/// All members belong to the io_context's thread.
class node_host
{
public:
    node_host(boost::asio::io_context& io, node::decider& decider, host_sinks sinks);

    /// Starts a request; its actions go to `slot` until end_request.
    node::request_id start_request(const node::request_description& request, reply_slot& slot);
    bool bytes_leaving(node::request_id id);
    void attempt_ended(node::request_id id, const node::attempt_result& result);
    void caller_gone(node::request_id id);
    void end_request(node::request_id id);

    /// Gives the decider a message from a peer, or any other event through `event`.
    void run(node::action_list actions);

    /// Calls the decider's tick every tick_interval until stopped.
    boost::asio::awaitable<void> tick_loop();

    /// Number of requests that have a session waiting.
    std::size_t requests_in_progress() const { return slots_.size(); }

    node::decider& decider() { return decider_; }
    boost::asio::io_context& io() { return io_; }

private:
    void deliver(node::request_id id, node::action action);

    boost::asio::io_context& io_;
    node::decider& decider_;
    host_sinks sinks_;
    std::unordered_map<node::request_id, reply_slot*> slots_;
    node::request_id next_id_ = 1;
};

} // namespace zinniaferry::net
