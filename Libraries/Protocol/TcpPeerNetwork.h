#pragma once

#include "Protocol/PeerNetwork.h"
#include "Transport/FrameLink.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace Cranberrymount {

/**
 * Sends peer messages as frames over TCP and keeps one link to each peer open. If a call times out
 * and nothing has arrived on its link since the call was sent, the link counts as unresponsive and
 * is closed, so that the next call opens a new connection.
 */
class TcpPeerNetwork : public PeerNetwork
{
public:
    /** Handles one received message; @p reply does nothing if the sender expects no reply. */
    using Handler = std::function<void(PeerMessage message, const std::string &trace,
                                       std::function<void(PeerMessage)> reply)>;

    /** @throws TransportError if @p address cannot be bound. */
    TcpPeerNetwork(asio::io_context &traffic, const Endpoint &address, Handler handler);

    void send(const Endpoint &peer, PeerMessage message) override;
    void call(const Endpoint &peer, PeerMessage message, const std::string &trace, Duration timeout,
              std::function<void(PeerResult)> done) override;

    /** Simulates a network partition: drops messages to @p peers and heartbeats from them. */
    void block(std::set<std::string> peers);

    uint64_t bytesSent() const { return m_bytesSent; }
    uint64_t messagesSent() const { return m_messagesSent; }

private:
    struct PendingCall
    {
        Endpoint peer;
        std::function<void(PeerResult)> done;
        std::shared_ptr<asio::steady_timer> timer;
        bool isSent = false;
        Instant sentAt;
    };
    struct Peer
    {
        std::shared_ptr<FrameLink> link;
        bool isConnecting = false;
        std::vector<std::pair<uint64_t, Frame>> queuedFrames;
    };

    void enqueue(const Endpoint &peer, uint64_t id, Frame frame);
    void handleConnect(const Endpoint &peer, const std::shared_ptr<FrameLink> &link);
    void handleAccept(const std::shared_ptr<FrameLink> &link);
    void handleFrame(const std::shared_ptr<FrameLink> &link, const Frame &frame);
    void handleClose(const Endpoint &peer, const std::shared_ptr<FrameLink> &link);
    void finish(uint64_t id, PeerResult result);
    void handleTimeout(uint64_t id);
    bool isBlocked(const Endpoint &peer);
    void transmit(const std::shared_ptr<FrameLink> &link, uint64_t id, Frame frame);

    asio::io_context &m_context;
    Handler m_handler;
    std::mutex m_mutex;
    std::map<Endpoint, Peer> m_peers;
    std::map<uint64_t, PendingCall> m_pendingCalls;
    std::set<std::string> m_blocked;
    uint64_t m_nextId = 1;
    std::atomic<uint64_t> m_bytesSent = 0;
    std::atomic<uint64_t> m_messagesSent = 0;
    FrameListener m_listener;
};

} // namespace Cranberrymount
