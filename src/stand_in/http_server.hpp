/// A small HTTP/1.1 server for the stand-ins. Requests and answers are plain structs, so that
/// Beast stays inside one source file.
#pragma once

#include "core/error.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace zinniaferry::stand_in
{

/// An address or listener that could not be used.
struct address_error
{
    std::string address;
    std::string reason;
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const address_error& error);

struct http_request
{
    std::string method;
    std::string target; ///< As sent, with the query.
    std::string path;   ///< Without the query.
    std::map<std::string, std::string, std::less<>> query;
    std::map<std::string, std::string, std::less<>> headers; ///< Names in lower case.
    std::string body;
    std::size_t wire_bytes = 0; ///< Head and body as received.
};

struct http_response
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool reset_connection = false; ///< Reset the connection instead of answering.
    /// The bytes sent are added here, if set. It outlives the server.
    std::uint64_t* sent_bytes_counter = nullptr;
};

/// Answers one request. It is cancelled when the connection closes before the answer.
/// Must not throw except on cancellation.
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

/// The open connections of a server, so that all can be closed at once.
struct connection_set
{
    std::set<boost::asio::ip::tcp::socket*> sockets;
};

/// Reads "IP:PORT" (IPv6 as "[IP]:PORT"). Error: address_error. Thread safe.
core::result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Opens a listener; port 0 lets the system choose. Error: address_error.
core::result<boost::asio::ip::tcp::acceptor>
open_listener(const boost::asio::any_io_executor& executor,
              const boost::asio::ip::tcp::endpoint& endpoint);

/// Accepts and serves connections until the acceptor is closed.
/// Precondition: acceptor and connections outlive the execution context's handlers, which run on
/// one thread.
boost::asio::awaitable<void> serve(boost::asio::ip::tcp::acceptor& acceptor, http_handler handler,
                                   connection_set& connections);

/// Closes every connection with a reset; handlers that run are cancelled. Not thread safe.
void reset_connections(connection_set& connections);

/// Returns the value, or an empty string if there is none. Thread safe.
std::string find_value(const std::map<std::string, std::string, std::less<>>& values,
                       std::string_view name);

/// Returns the value as a number; nothing if it is absent or not a number from 0 up. Thread safe.
std::optional<double> find_number(const std::map<std::string, std::string, std::less<>>& values,
                                  std::string_view name);

/// Returns an answer with a JSON body. Thread safe.
http_response json_response(unsigned status, std::string body);

} // namespace zinniaferry::stand_in
