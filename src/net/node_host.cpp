#include "net/node_host.hpp"

#include "net/deadline_timer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace zinniaferry::net
{

namespace asio = boost::asio;

namespace
{

core::unix_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

void reply_slot::deliver(node::action action)
{
    action_ = std::move(action);
    if (waiting_)
    {
        wake_.cancel();
    }
}

asio::awaitable<node::action> reply_slot::take()
{
    while (!action_)
    {
        waiting_ = true;
        wake_.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code aborted;
        co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, aborted));
        waiting_ = false;
    }
    node::action out = std::move(*action_);
    action_.reset();
    co_return out;
}

node_host::node_host(asio::io_context& io, node::decider& decider, host_sinks sinks)
    : io_(io), decider_(decider), sinks_(std::move(sinks))
{
}

node::request_id node_host::start_request(const node::request_description& request,
                                          reply_slot& slot)
{
    const node::request_id id = next_id_++;
    slots_[id] = &slot;
    run(node::start_request(decider_, id, request, core::elapsed_now()));
    return id;
}

bool node_host::bytes_leaving(node::request_id id)
{
    return node::bytes_leaving(decider_, id, core::elapsed_now());
}

void node_host::attempt_ended(node::request_id id, const node::attempt_result& result)
{
    run(node::attempt_ended(decider_, id, result, core::elapsed_now()));
}

void node_host::caller_gone(node::request_id id)
{
    run(node::caller_gone(decider_, id, core::elapsed_now()));
}

void node_host::end_request(node::request_id id)
{
    slots_.erase(id);
}

void node_host::run(node::action_list actions)
{
    for (node::action& action : actions)
    {
        if (const auto* message = std::get_if<fleet::outgoing>(&action))
        {
            sinks_.send_to_peer(*message);
        }
        else if (const auto* probe = std::get_if<node::send_probe>(&action))
        {
            sinks_.probe(*probe);
        }
        else if (const auto* dispatch = std::get_if<node::dispatch>(&action))
        {
            deliver(dispatch->request, *dispatch);
        }
        else if (const auto* refusal = std::get_if<node::refusal>(&action))
        {
            deliver(refusal->request, *refusal);
        }
        else if (const auto* relay = std::get_if<node::relay_answer>(&action))
        {
            deliver(relay->request, *relay);
        }
    }
}

void node_host::deliver(node::request_id id, node::action action)
{
    const auto found = slots_.find(id);
    if (found != slots_.end())
    {
        found->second->deliver(std::move(action));
    }
}

asio::awaitable<void> node_host::tick_loop()
{
    asio::steady_timer timer(io_);
    auto next = std::chrono::steady_clock::now();
    while (true)
    {
        // After a pause of the process the missed ticks are skipped, not made up for.
        next = std::max(next + node::tick_interval, std::chrono::steady_clock::now());
        timer.expires_at(next);
        boost::system::error_code error;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        if (error)
        {
            co_return;
        }
        run(node::tick(decider_, wall_now(), core::elapsed_now()));
    }
}

} // namespace zinniaferry::net
