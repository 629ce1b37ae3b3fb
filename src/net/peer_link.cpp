#include "net/peer_link.hpp"

#include "net/peer_link_state.hpp"

namespace zinniaferry::net
{

peer_link::peer_link(boost::asio::any_io_executor executor, peer_link_options options,
                     message_handler handler)
    : state_(std::make_shared<peer_link_state>(std::move(executor), std::move(options),
                                               std::move(handler)))
{
}

peer_link::~peer_link()
{
    state_->close();
}

core::result<void> peer_link::listen()
{
    return state_->open_listener();
}

std::uint16_t peer_link::port() const
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint = state_->acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void peer_link::set_peers(const std::vector<peer_address>& peers)
{
    state_->set_peers(peers);
}

void peer_link::send(const fleet::outgoing& message)
{
    state_->send(message);
}

void peer_link::send(const std::vector<fleet::outgoing>& messages)
{
    for (const fleet::outgoing& message : messages)
    {
        state_->send(message);
    }
}

std::vector<std::string> peer_link::connected() const
{
    std::vector<std::string> out;
    for (const auto& [vm, peer] : state_->peers)
    {
        if (peer.sender)
        {
            out.push_back(vm);
        }
    }
    return out;
}

link_counters peer_link::counters(const std::string& vm) const
{
    link_counters sum;
    const auto found = state_->peers.find(vm);
    if (found == state_->peers.end())
    {
        return sum;
    }
    add(sum, found->second.past);
    for (const session_pointer& session : {found->second.inbound, found->second.outbound})
    {
        if (session)
        {
            add(sum, session->counters());
        }
    }
    return sum;
}

link_counters peer_link::total() const
{
    link_counters sum = state_->unauthenticated;
    for (const auto& [vm, peer] : state_->peers)
    {
        add(sum, counters(vm));
    }
    return sum;
}

boost::json::object peer_link::dump() const
{
    boost::json::object links;
    for (const auto& [vm, peer] : state_->peers)
    {
        const link_counters sum = counters(vm);
        links[vm] = {{"connected", peer.sender != nullptr},  {"bytes_in", sum.bytes_in},
                     {"bytes_out", sum.bytes_out},           {"frames_in", sum.frames_in},
                     {"frames_out", sum.frames_out},         {"frames_dropped", sum.frames_dropped},
                     {"frames_refused", sum.frames_refused}, {"connections", sum.connections}};
    }
    return {{"links", std::move(links)},
            {"bad_addresses", state_->bad_addresses},
            {"refused_unauthenticated", state_->unauthenticated.frames_refused}};
}

void peer_link::close()
{
    state_->close();
}

} // namespace zinniaferry::net
