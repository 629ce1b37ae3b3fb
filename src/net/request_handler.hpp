/// Handles one request from its arrival to its response: looks up the route and the account,
/// applies the rate limit, selects backend servers, retries and hedges, and reports the outcome to
/// the caller.
#pragma once

#include "admission/placement.hpp"
#include "net/gateway.hpp"
#include "net/request_attempt.hpp"
#include "request/progress.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace zinniaferry::net
{

/// Handler of one request. The caller's session owns it, so that it can cancel it when the caller
/// disconnects. Thread safety: the io_context's thread only.
class request_handler : public std::enable_shared_from_this<request_handler>
{
public:
    /// Preconditions: `gateway` outlives run(); `arrived` is not in the future.
    request_handler(gateway& gateway, http_request message, core::time_point arrived);
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    /// Returns the response for the caller, or nothing when the caller has disconnected. Must be
    /// called at most once.
    asio::awaitable<std::optional<http_response>> run();

    /// Returns the room of the response that run() has returned.
    held_body take_response_room() { return std::move(response_room_); }

    /// Cancels the request and its attempts because the caller has disconnected.
    void cancel();

private:
    /// Validates the request, looks up its route and account and applies the rate limit. Returns
    /// the refusal if the request must not be forwarded.
    asio::awaitable<std::optional<request::refusal>> admit();
    asio::awaitable<void> wait_for_configuration();
    std::optional<request::refusal> resolve_route_and_account();
    /// Returns the refusal if the selected service has no capacity left for the request's priority.
    std::optional<request::refusal> admit_to_service();
    /// Sends the request to backend servers until one responds or no further attempt is allowed.
    asio::awaitable<http_response> forward();
    /// Returns whether an attempt was started.
    asio::awaitable<bool> send_to_next_backend(const admission::placement& placement);
    void start_attempt(backend_selection selection);
    static asio::awaitable<void> run_attempt(std::shared_ptr<request_handler> handler,
                                             std::shared_ptr<request_attempt> attempt,
                                             forwarded_request message);
    /// The settle functions evaluate the result of an attempt. They return the response if it is
    /// the one for the caller.
    std::optional<http_response> settle_finished_attempts();
    std::optional<http_response> settle_attempt(request_attempt& attempt);
    std::optional<http_response> settle_response(request_attempt& attempt, core::duration latency);
    void settle_failure(request_attempt& attempt, core::time_point now);
    /// Returns the number of attempts whose result has not been evaluated.
    std::size_t open_attempt_count() const;
    admission::placement current_placement();
    /// Lets the request wait for a server of its service. Has no effect if it waits already.
    void start_waiting(const admission::placement& placement, core::time_point now);
    void stop_waiting();
    /// Returns whether another waiting request looks for a server in place of this one.
    bool waits_behind_others(core::time_point now) const;
    bool has_lost_its_place() const;
    std::optional<core::duration> service_pause(core::time_point now) const;
    std::optional<core::time_point> hedge_time() const;
    core::time_point next_hedge_check(core::time_point now) const;
    bool may_send_now(core::time_point now) const;
    /// Returns until when the request may be sent to a server.
    core::time_point last_send_time() const;
    asio::awaitable<void> wait_until(core::time_point at);
    /// Wakes wait_until().
    void notify();
    void cancel_attempts();
    /// Returns the response for a request that no server has responded to successfully.
    http_response give_up(core::time_point now);
    http_response refuse(const request::refusal& refusal);
    http_response finish_with_response(http_response response);
    void log_outcome(std::string_view outcome, unsigned status);

    gateway& gateway_;
    const http_request message_;
    request_description description_;
    std::shared_ptr<const config::configuration_index> configuration_; ///< Owns `route_`.
    const config::route* route_ = nullptr;
    std::shared_ptr<route_statistics> statistics_;
    std::string account_;
    std::uint64_t decided_by_version_ = 0; ///< Configuration that was looked up last; 0 for none.
    /// What decided on the account's rate; nothing if no limit applies or none was looked up.
    std::optional<limits::grant_source> grant_source_;
    std::string service_;
    std::uint32_t priority_ = 0;      ///< Of the account if it has one, else of the route.
    double admission_fraction_ = 0.0; ///< For admission::decide.
    /// The last decision; nothing before the request's service is selected.
    std::optional<admission::admission_decision> admission_;
    std::optional<std::uint64_t> waiter_id_; ///< While the request waits for a server.
    core::time_point latest_start_;          ///< Of the request while it waits.
    std::size_t waiting_level_ = 0; ///< Priority level at which the request was counted as waiting.
    core::time_point arrived_;
    core::time_point first_asked_at_; ///< When the caller made its first attempt, if that is known.
    core::time_point deadline_;       ///< The response must have left the daemon by then.
    asio::steady_timer wake_timer_;
    bool notified_ = false;    ///< notify() was called and no wait_until() has returned since.
    bool caller_gone_ = false; ///< The caller has disconnected.
    request::progress progress_;
    std::vector<std::shared_ptr<request_attempt>> attempts_;
    std::vector<routing::backend_pointer> tried_servers_;
    bool servers_full_ = false; ///< The last servers that were tried had no free capacity.
    /// Set if a configuration that came into force before the first send refuses the request.
    std::optional<request::refusal> configuration_refusal_;
    std::optional<request::refusal_reason> last_failure_reason_; ///< Of the last failed attempt.
    /// Error response of a server, returned unless a later attempt succeeds.
    std::optional<http_response> error_response_;
    held_body response_room_;        ///< Of the last response that was kept.
    boost::json::array attempt_log_; ///< Log fields of the attempts.
};

} // namespace zinniaferry::net
