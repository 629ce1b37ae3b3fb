/// A small HTTP/1.1 server for the stand-ins. Requests and responses are plain structs, so that
/// only one source file depends on Beast.
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
    std::string address; ///< As given, or IP:PORT of the listener.
    std::string reason;  ///< What was expected, or the system's error message.
};

/// Returns the error as one line for an operator. Thread safe.
std::string to_string(const address_error& error);

/// A received request.
struct http_request
{
    std::string method;
    std::string target; ///< Request target as received, with the query.
    std::string path;   ///< The target without the query.
    std::map<std::string, std::string, std::less<>> query;   ///< Parameters, not percent-decoded.
    std::map<std::string, std::string, std::less<>> headers; ///< Names in lower case.
    std::string body;
    std::size_t wire_bytes = 0; ///< Size of head and body as received.
};

/// A response to send. Content-Length is added when it is sent.
struct http_response
{
    unsigned status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool reset_connection = false; ///< Reset the connection instead of responding.
    /// If set, the size of the response as sent is added here. It must outlive the server.
    std::uint64_t* sent_bytes_counter = nullptr;
};

/// Handles one request. It is cancelled when the peer closes the connection before the response.
/// Must not throw except on cancellation.
using http_handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

/// The open connections of a server, so that all of them can be reset at once.
struct connection_set
{
    std::set<boost::asio::ip::tcp::socket*> sockets;
};

/// Parses "IP:PORT", or "[IP]:PORT" for IPv6. Error: address_error. Thread safe.
core::result<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Opens a listener; with port 0 the system chooses a port. Error: address_error.
core::result<boost::asio::ip::tcp::acceptor>
open_listener(const boost::asio::any_io_executor& executor,
              const boost::asio::ip::tcp::endpoint& endpoint);

/// Accepts and serves connections until the acceptor is closed.
/// Precondition: acceptor and connections outlive the execution context's handlers, which run on
/// one thread.
boost::asio::awaitable<void> serve(boost::asio::ip::tcp::acceptor& acceptor, http_handler handler,
                                   connection_set& connections);

/// Resets every connection, which cancels the running handlers. Not thread safe.
void reset_connections(connection_set& connections);

/// Returns the value, or an empty string if there is none. Thread safe.
std::string find_value(const std::map<std::string, std::string, std::less<>>& values,
                       std::string_view name);

/// Returns the value as a number, or nothing if it is absent, negative or not a finite number.
/// Thread safe.
std::optional<double> find_number(const std::map<std::string, std::string, std::less<>>& values,
                                  std::string_view name);

/// Returns a response with a JSON body. Thread safe.
http_response json_response(unsigned status, std::string body);

} // namespace zinniaferry::stand_in
