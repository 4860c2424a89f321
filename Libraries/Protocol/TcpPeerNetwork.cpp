#include "Protocol/TcpPeerNetwork.h"

#include "Protocol/ProtocolError.h"
#include "Transport/BootClock.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

constexpr Duration ConnectTimeout{500};

bool isReply(const PeerMessage &message)
{
    return std::holds_alternative<LookupReply>(message)
        || std::holds_alternative<ControlReply>(message);
}

} // namespace

TcpPeerNetwork::TcpPeerNetwork(asio::io_context &traffic, const Endpoint &address, Handler handler)
    : m_context(traffic)
    , m_handler(std::move(handler))
    , m_listener(traffic, address,
                 [this](const std::shared_ptr<FrameLink> &link) { handleAccept(link); })
{
}

bool TcpPeerNetwork::isBlocked(const Endpoint &peer)
{
    return m_blocked.contains(peer.text());
}

void TcpPeerNetwork::block(std::set<std::string> peers)
{
    const std::lock_guard lock(m_mutex);
    m_blocked = std::move(peers);
}

void TcpPeerNetwork::send(const Endpoint &peer, PeerMessage message)
{
    enqueue(peer, 0, encodeEnvelope({0, {}, std::move(message)}));
}

void TcpPeerNetwork::call(const Endpoint &peer, PeerMessage message, const std::string &trace,
                          Duration timeout, std::function<void(PeerResult)> done)
{
    uint64_t id = 0;
    {
        const std::lock_guard lock(m_mutex);
        id = m_nextId++;
        auto timer = std::make_shared<asio::steady_timer>(m_context, timeout);
        timer->async_wait([this, id](const asio::error_code &error) {
            if (!error)
                handleTimeout(id);
        });
        m_pendingCalls.emplace(id, PendingCall{peer, std::move(done), timer, false, {}});
    }
    enqueue(peer, id, encodeEnvelope({id, trace, std::move(message)}));
}

void TcpPeerNetwork::transmit(const std::shared_ptr<FrameLink> &link, uint64_t id, Frame frame)
{
    const auto pending = m_pendingCalls.find(id);
    if (pending != m_pendingCalls.end()) {
        pending->second.isSent = true;
        pending->second.sentAt = bootInstant();
    }
    m_bytesSent += frame.size();
    ++m_messagesSent;
    link->send(std::move(frame));
}

void TcpPeerNetwork::enqueue(const Endpoint &peer, uint64_t id, Frame frame)
{
    bool connect = false;
    {
        const std::lock_guard lock(m_mutex);
        if (isBlocked(peer))
            return;
        Peer &state = m_peers[peer];
        if (state.link)
            return transmit(state.link, id, std::move(frame));
        state.queuedFrames.emplace_back(id, std::move(frame));
        connect = !std::exchange(state.isConnecting, true);
    }
    if (connect) {
        connectFrameLink(
            m_context, peer, ConnectTimeout,
            [this, peer](const std::shared_ptr<FrameLink> &link) { handleConnect(peer, link); });
    }
}

void TcpPeerNetwork::handleConnect(const Endpoint &peer, const std::shared_ptr<FrameLink> &link)
{
    std::vector<std::pair<uint64_t, Frame>> queuedFrames;
    {
        const std::lock_guard lock(m_mutex);
        Peer &state = m_peers[peer];
        state.isConnecting = false;
        queuedFrames.swap(state.queuedFrames);
        if (link) {
            state.link = link;
            for (auto &[id, frame] : queuedFrames)
                transmit(link, id, std::move(frame));
        }
    }
    if (link) {
        link->start([this](const auto &from, const Frame &frame) { handleFrame(from, frame); },
                    [this, peer](const auto &closed) { handleClose(peer, closed); });
        return;
    }
    for (const auto &[id, frame] : queuedFrames)
        finish(id, {PeerResult::NotSent, {}});
}

void TcpPeerNetwork::handleAccept(const std::shared_ptr<FrameLink> &link)
{
    link->start([this](const auto &from, const Frame &frame) { handleFrame(from, frame); },
                [](const auto &) {});
}

void TcpPeerNetwork::handleFrame(const std::shared_ptr<FrameLink> &link, const Frame &frame)
{
    PeerEnvelope envelope;
    try {
        envelope = decodeEnvelope(frame);
    } catch (const ProtocolError &error) {
        LOG(WARNING) << "event=peer_frame_malformed error=\"" << error.what() << "\"";
        return link->close();
    }
    if (isReply(envelope.message))
        return finish(envelope.id, {PeerResult::Answered, std::move(envelope.message)});
    if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
        const std::lock_guard lock(m_mutex);
        if (isBlocked(heartbeat->address))
            return;
    }
    const uint64_t id = envelope.id;
    const std::string trace = envelope.trace;
    m_handler(std::move(envelope.message), trace, [this, link, id, trace](PeerMessage reply) {
        if (id == 0)
            return;
        Frame replyFrame = encodeEnvelope({id, trace, std::move(reply)});
        m_bytesSent += replyFrame.size();
        ++m_messagesSent;
        link->send(std::move(replyFrame));
    });
}

void TcpPeerNetwork::handleClose(const Endpoint &peer, const std::shared_ptr<FrameLink> &link)
{
    std::vector<uint64_t> interruptedCalls;
    {
        const std::lock_guard lock(m_mutex);
        Peer &state = m_peers[peer];
        if (state.link != link)
            return;
        state.link.reset();
        for (const auto &[id, pending] : m_pendingCalls) {
            if (pending.peer == peer && pending.isSent)
                interruptedCalls.push_back(id);
        }
    }
    for (const uint64_t id : interruptedCalls)
        finish(id, {PeerResult::Unknown, {}});
}

void TcpPeerNetwork::finish(uint64_t id, PeerResult result)
{
    std::function<void(PeerResult)> done;
    {
        const std::lock_guard lock(m_mutex);
        const auto pending = m_pendingCalls.find(id);
        if (pending == m_pendingCalls.end())
            return;
        done = std::move(pending->second.done);
        pending->second.timer->cancel();
        m_pendingCalls.erase(pending);
    }
    done(std::move(result));
}

void TcpPeerNetwork::handleTimeout(uint64_t id)
{
    std::shared_ptr<FrameLink> unresponsiveLink;
    PeerResult result;
    {
        const std::lock_guard lock(m_mutex);
        const auto pending = m_pendingCalls.find(id);
        if (pending == m_pendingCalls.end())
            return;
        result.outcome = pending->second.isSent ? PeerResult::Unknown : PeerResult::NotSent;
        Peer &peer = m_peers[pending->second.peer];
        std::erase_if(peer.queuedFrames, [id](const auto &item) { return item.first == id; });
        if (peer.link && peer.link->lastReceived() < pending->second.sentAt)
            unresponsiveLink = peer.link;
    }
    finish(id, std::move(result));
    if (unresponsiveLink)
        unresponsiveLink->close();
}

} // namespace Cranberrymount
