/// Completion tokens for coroutines that handle an operation's error as a value.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace zinniaferry::net
{

/// Makes `co_await` store the operation's error in `error` instead of throwing it. Precondition:
/// `error` outlives the operation. Thread safe.
inline auto redirect_error_to(boost::system::error_code& error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// Makes `co_await` return the operation's error and its results as a tuple.
inline constexpr auto tuple_awaitable = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace zinniaferry::net
