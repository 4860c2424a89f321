#pragma once

#include "Protocol/PeerNetwork.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace Cranberrymount {

/** Forwards all calls to another PeerNetwork and runs their callbacks on the control thread. */
class ControlThreadPeerNetwork : public PeerNetwork
{
public:
    ControlThreadPeerNetwork(PeerNetwork &network, asio::io_context &control)
        : m_network(network)
        , m_control(control)
    {
    }

    void send(const Endpoint &peer, PeerMessage message) override
    {
        m_network.send(peer, std::move(message));
    }

    void call(const Endpoint &peer, PeerMessage message, const std::string &trace, Duration timeout,
              std::function<void(PeerResult)> done) override
    {
        m_network.call(peer, std::move(message), trace, timeout,
                       [this, done = std::move(done)](PeerResult result) {
                           asio::post(m_control,
                                      [done, result = std::move(result)] { done(result); });
                       });
    }

private:
    PeerNetwork &m_network;
    asio::io_context &m_control;
};

} // namespace Cranberrymount
