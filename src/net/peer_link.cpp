#include "net/peer_link.hpp"

#include "net/peer_link_state.hpp"

namespace zinniaferry::net
{

peer_link::peer_link(boost::asio::any_io_executor executor, peer_link_options options,
                     message_handler handler)
    : m_state(std::make_shared<peer_link_state>(std::move(executor), std::move(options),
                                                std::move(handler)))
{
}

peer_link::~peer_link()
{
    m_state->close();
}

core::result<void> peer_link::listen()
{
    return m_state->open_listener();
}

std::uint16_t peer_link::port() const
{
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint endpoint = m_state->acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

void peer_link::set_peers(const std::vector<peer_address>& peers)
{
    m_state->set_peers(peers);
}

void peer_link::send(const fleet::outgoing& message)
{
    m_state->send(message);
}

void peer_link::send(const std::vector<fleet::outgoing>& messages)
{
    for (const fleet::outgoing& message : messages)
    {
        m_state->send(message);
    }
}

std::vector<std::string> peer_link::connected() const
{
    std::vector<std::string> out;
    for (const auto& [vm, peer] : m_state->peers)
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
    const auto found = m_state->peers.find(vm);
    if (found == m_state->peers.end())
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
    link_counters sum = m_state->unauthenticated;
    for (const auto& [vm, peer] : m_state->peers)
    {
        add(sum, counters(vm));
    }
    return sum;
}

boost::json::object peer_link::dump() const
{
    boost::json::object links;
    for (const auto& [vm, peer] : m_state->peers)
    {
        const link_counters sum = counters(vm);
        links[vm] = {{"connected", peer.sender != nullptr},  {"bytes_in", sum.bytes_in},
                     {"bytes_out", sum.bytes_out},           {"frames_in", sum.frames_in},
                     {"frames_out", sum.frames_out},         {"frames_dropped", sum.frames_dropped},
                     {"frames_refused", sum.frames_refused}, {"connections", sum.connections}};
    }
    return {{"links", std::move(links)},
            {"bad_addresses", m_state->bad_addresses},
            {"refused_unauthenticated", m_state->unauthenticated.frames_refused}};
}

void peer_link::close()
{
    m_state->close();
}

} // namespace zinniaferry::net
