/// HTTP client of the load tool: keep-alive connections to several targets.
#pragma once

#include "load/report.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace zinniaferry::load
{

struct call
{
    std::size_t target = 0; ///< Index of the target.
    std::string method;
    std::string path; ///< With the query.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    milliseconds timeout{5000.0};
};

struct call_result
{
    load::outcome outcome = outcome::unknown;
    load::verdict verdict = verdict::cut;
    unsigned status = 0;
};

/// Idle connections by target.
struct connection_pool;

/// Returns a pool for the targets. The pool must be used on one thread.
std::shared_ptr<connection_pool> make_pool(std::vector<boost::asio::ip::tcp::endpoint> targets);

/// Sends a request once and never again: a caller cannot know whether it ran. Checks that the
/// answer is whole and its own. Precondition: the target exists.
boost::asio::awaitable<call_result> send(std::shared_ptr<connection_pool> pool, call request);

/// Judges an answer to `path`. Thread safe.
call_result judge_answer(unsigned status, std::string_view body, std::string_view path);

} // namespace zinniaferry::load
