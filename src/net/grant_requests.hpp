/// Requests for grants that this daemon has sent to its primary hub, and the wait for their
/// answers.
#pragma once

#include "fleet/hub_messages.hpp"
#include "limits/account_pools.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace zinniaferry::net
{

namespace asio = boost::asio;

/// A grant that arrived after its request had stopped waiting for it. The hub has taken its
/// requests from the account's pool.
struct late_grant
{
    std::string account;
    limits::grant granted;
    core::time_point asked_at;
};

/// Thread safety: the io_context's thread only.
class grant_requests
{
public:
    /// Precondition: `io` outlives the grant_requests.
    explicit grant_requests(asio::io_context& io) : io_(io) {}

    /// Adds a request for the account. Returns its number, for the ask_message.
    std::uint64_t add(std::string account);

    /// Waits for the grant. Returns nullopt when it does not arrive within 20 ms. Precondition:
    /// `number` comes from add, and is waited for once.
    asio::awaitable<std::optional<limits::grant>> wait(std::uint64_t number);

    /// Gives the grant to the request that waits for it. Returns it if the request has timed out.
    std::optional<late_grant> on_grant(const fleet::grant_message& message);

    /// Removes requests whose grant would be void by now.
    void remove_expired(core::time_point now);

private:
    struct request
    {
        request(asio::io_context& io, std::string for_account)
            : account(std::move(for_account)), asked_at(core::boot_clock_now()), answered(io)
        {
        }

        std::string account;
        core::time_point asked_at;
        bool timed_out = false;
        asio::steady_timer answered; ///< Cancelled when the grant arrives.
        std::optional<limits::grant> grant;
    };

    asio::io_context& io_;
    std::unordered_map<std::uint64_t, std::shared_ptr<request>> requests_; ///< By number.
    std::uint64_t next_number_ = 1;
};

} // namespace zinniaferry::net
