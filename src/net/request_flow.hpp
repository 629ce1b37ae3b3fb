/// One request from its arrival to its answer: route, account, choice of backend servers, repeats,
/// and the outcome that the caller is told.
#pragma once

#include "net/gateway.hpp"
#include "net/request_attempt.hpp"
#include "request/progress.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace zinniaferry::net
{

/// A request in progress. The session holds it, so that it can end it when the caller leaves. One
/// thread: the io_context's.
class request_flow : public std::enable_shared_from_this<request_flow>
{
public:
    /// Preconditions: `gateway` and `message` outlive run(); `arrived` is not in the future.
    request_flow(gateway& gateway, const http_request& message, core::time_point arrived);
    request_flow(const request_flow&) = delete;
    request_flow& operator=(const request_flow&) = delete;

    /// Returns the answer for the caller, or nothing when the caller has left. To be called once.
    asio::awaitable<std::optional<http_response>> run();

    /// Ends the work at the backend servers because nobody waits for the answer.
    void cancel();

private:
    asio::awaitable<std::optional<request::refusal>> admit();
    std::optional<request::refusal> check_in_force();
    asio::awaitable<http_response> serve();
    asio::awaitable<bool> send_to_next();
    void start_attempt(target_choice choice);
    static asio::awaitable<void> carry_out(std::shared_ptr<request_flow> flow,
                                           std::shared_ptr<request_attempt> entry,
                                           http_request message);
    std::optional<http_response> settle_ended();
    std::optional<http_response> settle(request_attempt& entry);
    std::optional<http_response> settle_answer(request_attempt& entry, core::duration latency);
    void settle_loss(request_attempt& entry, core::time_point now);
    std::size_t open_attempts() const;
    core::time_point hold_until() const;
    routing::queueing accepted_queueing() const;
    core::duration patience() const;
    std::optional<core::time_point> second_send_time() const;
    bool may_send_now(core::time_point now) const;
    asio::awaitable<void> wait_until(core::time_point at);
    void notify();
    void stop_attempts();
    http_response give_up(core::time_point now);
    http_response refuse(const request::refusal& refusal);
    http_response hand_over(http_response answer);
    void log_end(std::string_view outcome, unsigned status);

    gateway& gateway_;
    const http_request& message_;
    request_description described_;
    std::shared_ptr<const config::configuration_index>
        configuration_; ///< Decided the route and the account.
    const config::route* route_ = nullptr;
    std::shared_ptr<routing::route_latency> pace_; ///< Of the route.
    std::string account_;
    std::string service_;
    core::time_point arrived_;
    core::time_point deadline_;
    asio::steady_timer wake_;
    bool notified_ = false;
    bool caller_gone_ = false;
    request::progress progress_;
    std::vector<std::shared_ptr<request_attempt>> attempts_;
    std::vector<routing::backend_pointer> tried_;
    bool servers_full_ = false;
    std::optional<request::refusal> withdrawn_;   ///< By a version that came before the first send.
    std::optional<request::refusal_reason> loss_; ///< How the last lost attempt ended.
    std::optional<http_response> error_answer_;   ///< Of a server, if nothing better comes.
    boost::json::array trail_;                    ///< The attempts, for the log.
};

} // namespace zinniaferry::net
