/// One request from its arrival to its response: route, account, choice of backend servers, repeats,
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
class request_handler : public std::enable_shared_from_this<request_handler>
{
public:
    /// Preconditions: `gateway` and `message` outlive run(); `arrived` is not in the future.
    request_handler(gateway& gateway, const http_request& message, core::time_point arrived);
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    /// Returns the response for the caller, or nothing when the caller has left. To be called once.
    asio::awaitable<std::optional<http_response>> run();

    /// Ends the work at the backend servers because nobody waits for the response.
    void cancel();

private:
    asio::awaitable<std::optional<request::refusal>> admit();
    std::optional<request::refusal> resolve_route_and_account();
    asio::awaitable<http_response> forward();
    asio::awaitable<bool> send_to_next_backend();
    void start_attempt(backend_selection selection);
    static asio::awaitable<void> run_attempt(std::shared_ptr<request_handler> handler,
                                           std::shared_ptr<request_attempt> attempt,
                                           http_request message);
    std::optional<http_response> settle_finished_attempts();
    std::optional<http_response> settle_attempt(request_attempt& attempt);
    std::optional<http_response> settle_response(request_attempt& attempt, core::duration latency);
    void settle_failure(request_attempt& attempt, core::time_point now);
    std::size_t open_attempt_count() const;
    core::time_point selection_deadline() const;
    routing::queueing accepted_queueing() const;
    core::duration max_queue_time() const;
    std::optional<core::time_point> hedge_time() const;
    bool may_send_now(core::time_point now) const;
    asio::awaitable<void> wait_until(core::time_point at);
    void notify();
    void cancel_attempts();
    http_response give_up(core::time_point now);
    http_response refuse(const request::refusal& refusal);
    http_response finish_with_response(http_response response);
    void log_outcome(std::string_view outcome, unsigned status);

    gateway& gateway_;
    const http_request& message_;
    request_description description_;
    std::shared_ptr<const config::index> configuration_; ///< Decided the route and the account.
    const config::route* route_ = nullptr;
    std::shared_ptr<routing::route_pace> route_latency_; ///< Of the route.
    std::string account_;
    std::string service_;
    core::time_point arrived_;
    core::time_point deadline_;
    asio::steady_timer wake_timer_;
    bool notified_ = false;
    bool caller_gone_ = false;
    request::progress progress_;
    std::vector<std::shared_ptr<request_attempt>> attempts_;
    std::vector<routing::backend_pointer> tried_servers_;
    bool servers_full_ = false;
    std::optional<request::refusal> configuration_refusal_;   ///< By a version that came before the first send.
    std::optional<request::refusal_reason> last_failure_reason_; ///< How the last lost attempt ended.
    std::optional<http_response> error_response_;   ///< Of a server, if nothing better comes.
    boost::json::array attempt_log_;                    ///< The attempts, for the log.
};

} // namespace zinniaferry::net
