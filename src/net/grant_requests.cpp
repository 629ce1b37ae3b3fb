#include "net/grant_requests.hpp"

#include "net/await_error.hpp"

namespace zinniaferry::net
{

namespace
{

/// A request waits no longer for its account's grant; a hub in the region answers in a few ms.
constexpr core::duration grant_timeout = std::chrono::milliseconds(20);
/// A grant that arrives later is void.
constexpr core::duration late_grant_retention = std::chrono::seconds(1);

} // namespace

std::uint64_t grant_requests::add(std::string account)
{
    const std::uint64_t number = next_number_++;
    requests_.emplace(number, std::make_shared<request>(io_, std::move(account)));
    return number;
}

asio::awaitable<std::optional<limits::grant>> grant_requests::wait(std::uint64_t number)
{
    // Shared, because on_grant removes the request while it is waited for.
    const std::shared_ptr<request> waiting = requests_.at(number);
    waiting->answered.expires_after(grant_timeout);
    boost::system::error_code ignored;
    co_await waiting->answered.async_wait(redirect_error_to(ignored));
    waiting->timed_out = !waiting->grant;
    co_return waiting->grant;
}

std::optional<late_grant> grant_requests::on_grant(const fleet::grant_message& message)
{
    const auto found = requests_.find(message.number);
    if (found == requests_.end())
    {
        return std::nullopt;
    }
    const std::shared_ptr<request> answered = found->second;
    requests_.erase(found);
    const limits::grant grant = {.requests = message.requests, .retry_after = message.retry_after};
    if (answered->timed_out)
    {
        return late_grant{
            .account = answered->account, .granted = grant, .asked_at = answered->asked_at};
    }
    answered->grant = grant;
    answered->answered.cancel();
    return std::nullopt;
}

void grant_requests::remove_expired(core::time_point now)
{
    std::erase_if(
        requests_, [&](const auto& entry)
        { return entry.second->timed_out && now - entry.second->asked_at > late_grant_retention; });
}

} // namespace zinniaferry::net
