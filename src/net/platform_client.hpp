/// Reads the platform: the published configuration and the list of VMs. It only reads.
#pragma once

#include "net/http_client.hpp"
#include "net/node_host.hpp"

#include <string>

namespace zinniaferry::net
{

struct platform_options
{
    std::string address; ///< IP:port of the platform.
    core::duration call_timeout = std::chrono::seconds(2);
    core::duration vm_list_pause = std::chrono::milliseconds(500); ///< Between two calls.
    core::duration vm_list_wait = std::chrono::seconds(10);
};

/// Reads the configuration until the io_context stops; the decider says when a call is due. Thread
/// safety: the io_context's thread only.
boost::asio::awaitable<void> follow_configuration(node_host& host, platform_options options);

/// Reads the VM list until the io_context stops. Thread safety: as follow_configuration.
boost::asio::awaitable<void> follow_vm_list(node_host& host, platform_options options);

/// Reads the VM list from the platform's JSON. Returns nothing for malformed text. Thread safe.
std::optional<std::vector<node::listed_vm>> parse_vm_list(std::string_view text);

} // namespace zinniaferry::net
