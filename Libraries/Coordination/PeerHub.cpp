#include "Coordination/PeerHub.h"

#include "Coordination/WorkerConnections.h"
#include "Protocol/ProtocolError.h"
#include "Transport/BootClock.h"

#include <asio/post.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Nodes are milliseconds apart, so a connection that takes longer will hardly succeed. */
constexpr Duration ConnectTimeout{300};
constexpr Duration VoteTimeout{300};
constexpr Duration ExpiryInterval{50};
/** A command's own timeout of 0.8 s, plus the round trip to its forwarder, and the time that it may
 * wait there for a connection. */
constexpr Duration ForwardedCommandTimeout = Duration(1300) + WorkerConnections::MaxQueueTime;

/** A vote or an announcement ends within VoteTimeout; a link that is kept begins with a greeting.
 */
constexpr Duration MaxUnidentifiedLinkTime{3000};
/** A greeting, a vote or an announcement has less than 1 KB. */
constexpr std::size_t MaxUnidentifiedLinkFrameBytes = 8'192;

/** @return the message; if it cannot be decoded, closes the link and returns nothing. */
std::optional<CellEnvelope> decodeOrClose(const std::shared_ptr<FrameLink> &link,
                                          const Frame &frame)
{
    try {
        return decodeCellEnvelope(frame);
    } catch (const ProtocolError &error) {
        LOG(WARNING) << "event=peer_message_unreadable error=" << error.what();
        link->close();
        return std::nullopt;
    }
}

} // namespace

PeerHub::PeerHub(asio::io_context &context, TimerService &timers, HelloMessage self,
                 const Endpoint &address, Handlers handlers, std::size_t maxUnidentifiedLinks)
    : m_context(context)
    , m_timers(timers)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
    , m_maxUnidentifiedLinks(maxUnidentifiedLinks)
    , m_listener(context, address, [this](const Link &link) { accept(link); })
{
    expireRequests();
}

void PeerHub::accept(const Link &link)
{
    m_inbound.emplace(link, EntryId());
    m_unidentifiedLinks.emplace_back(link, m_timers.now());
    link->limitFrames(MaxUnidentifiedLinkFrameBytes);
    link->start([this](const Link &from, const Frame &frame) { handleInbound(from, frame); },
                [this](const Link &closed) { dropInbound(closed); });
    if (m_unidentifiedLinks.size() > m_maxUnidentifiedLinks)
        closeOldestUnidentifiedLink();
}

void PeerHub::closeOldestUnidentifiedLink()
{
    const Link link = m_unidentifiedLinks.front().first;
    m_unidentifiedLinks.pop_front();
    ++m_closedUnidentifiedLinks;
    LOG_EVERY_N(WARNING, 100) << "event=peer_link_unidentified_closed count="
                              << m_closedUnidentifiedLinks;
    link->close();
}

void PeerHub::forgetUnidentifiedLink(const Link &link)
{
    std::erase_if(m_unidentifiedLinks, [&link](const auto &item) { return item.first == link; });
}

void PeerHub::expireUnidentifiedLinks()
{
    while (!m_unidentifiedLinks.empty()
           && m_timers.now() - m_unidentifiedLinks.front().second >= MaxUnidentifiedLinkTime)
        closeOldestUnidentifiedLink();
}

void PeerHub::handleInbound(const Link &link, const Frame &frame)
{
    std::optional<CellEnvelope> envelope = decodeOrClose(link, frame);
    if (!envelope)
        return;
    const uint64_t correlation = envelope->correlation;
    if (const auto *hello = std::get_if<HelloMessage>(&envelope->message))
        return handleHello(link, *hello);
    const bool needsNoGreeting = std::holds_alternative<VoteRequest>(envelope->message)
        || std::holds_alternative<AnnouncementMessage>(envelope->message);
    const auto known = m_inbound.find(link);
    if (!needsNoGreeting && (known == m_inbound.end() || known->second == EntryId()))
        return link->close();
    if (auto *call = std::get_if<ClientCall>(&envelope->message)) {
        return m_handlers.clientCall(std::move(*call),
                                     [this, link, correlation](ClientReply reply) {
                                         send(link, correlation, std::move(reply));
                                     });
    }
    if (const auto *vote = std::get_if<VoteRequest>(&envelope->message))
        return send(link, correlation, VoteResponse{m_handlers.vote(vote->claim)});
    if (const auto *announcement = std::get_if<AnnouncementMessage>(&envelope->message)) {
        send(link, correlation, VoteResponse{true});
        return m_handlers.announced(*announcement);
    }
    if (const auto *leftover = std::get_if<LeftoverEndsMessage>(&envelope->message))
        return m_handlers.leftoverEnds(leftover->ends);
    completeRequest(correlation, envelope->message);
}

void PeerHub::handleHello(const Link &link, const HelloMessage &hello)
{
    m_inbound[link] = hello.node;
    forgetUnidentifiedLink(link);
    link->liftFrameLimit();
    m_followers[hello.node] = {link, hello};
    if (m_compressesFollowerLinks && hello.acceptsCompression)
        link->enableCompression();
    // A node that stops soon still receives the leader's heartbeats.
    if (hello.isStopping)
        m_handlers.followerLeft(hello.node);
    else
        m_handlers.followerJoined(hello.node);
}

void PeerHub::retire()
{
    m_self.isStopping = true;
    if (m_leaderLink)
        send(m_leaderLink, 0, m_self);
}

void PeerHub::dropInbound(const Link &link)
{
    const auto found = m_inbound.find(link);
    if (found == m_inbound.end())
        return;
    const EntryId node = found->second;
    m_inbound.erase(found);
    forgetUnidentifiedLink(link);
    failRequests(link);
    const auto follower = m_followers.find(node);
    if (follower != m_followers.end() && follower->second.link == link) {
        m_followers.erase(follower);
        m_handlers.followerLeft(node);
    }
}

void PeerHub::follow(std::optional<Endpoint> leader)
{
    const uint64_t generation = ++m_followGeneration;
    if (const Link old = std::exchange(m_leaderLink, nullptr)) {
        failRequests(old);
        old->close();
    }
    m_heartbeat.reset();
    m_leaderDelay = {};
    m_hasFailedToLink = false;
    if (!leader)
        return;
    connectFrameLink(m_context, *leader, ConnectTimeout,
                     [this, generation, alive = std::weak_ptr(m_alive)](const Link &link) {
                         if (alive.expired())
                             return;
                         if (generation != m_followGeneration) {
                             if (link)
                                 link->close();
                             return;
                         }
                         m_hasFailedToLink = !link;
                         if (!link)
                             return;
                         m_leaderLink = link;
                         link->start([this](const Link &from,
                                            const Frame &frame) { handleFromLeader(from, frame); },
                                     [this](const Link &closed) { dropLeader(closed); });
                         send(link, 0, m_self);
                     });
}

void PeerHub::dropLeader(const Link &link)
{
    if (m_leaderLink == link) {
        m_leaderLink.reset();
        m_heartbeat.reset();
        m_hasFailedToLink = true;
    }
    failRequests(link);
}

void PeerHub::handleFromLeader(const Link &link, const Frame &frame)
{
    std::optional<CellEnvelope> envelope = decodeOrClose(link, frame);
    if (!envelope)
        return;
    const uint64_t correlation = envelope->correlation;
    if (link == m_leaderLink) {
        const auto delay = m_leaderDelay.measure(envelope->sentAt, bootTime());
        const bool isLate = !delay || *delay > CommandRelay::MaxCommandDelay;
        const bool isCommand = std::holds_alternative<HoldCall>(envelope->message)
            || std::holds_alternative<StartCall>(envelope->message)
            || std::holds_alternative<StopCall>(envelope->message);
        if (isCommand)
            return executeForLeader(link, std::move(*envelope), isLate);
    }
    if (const auto *beat = std::get_if<HeartbeatMessage>(&envelope->message)) {
        if (link == m_leaderLink) {
            m_heartbeat = *beat;
            m_heartbeatAt = m_timers.now();
        }
        return;
    }
    if (auto *advice = std::get_if<AdviceCall>(&envelope->message)) {
        return m_handlers.advice(std::move(*advice), [this, link, correlation](AdviceReply reply) {
            send(link, correlation, std::move(reply));
        });
    }
    if (const auto *handOver = std::get_if<HandOverMessage>(&envelope->message))
        return m_handlers.handOver(*handOver);
    completeRequest(correlation, envelope->message);
}

void PeerHub::executeForLeader(const Link &link, CellEnvelope envelope, bool isLate)
{
    const uint64_t correlation = envelope.correlation;
    const auto answer = [this, link, correlation, alive = std::weak_ptr(m_alive)](auto reply) {
        if (!alive.expired())
            send(link, correlation, std::move(reply));
    };
    if (isLate) {
        LOG_EVERY_N(WARNING, 20) << "event=late_order_left_out";
    }
    if (auto *hold = std::get_if<HoldCall>(&envelope.message))
        return isLate ? answer(HoldReply()) : m_handlers.commands->hold(std::move(*hold), answer);
    if (auto *start = std::get_if<StartCall>(&envelope.message))
        return isLate ? answer(StartReply{StartReply::Refused})
                      : m_handlers.commands->start(std::move(*start), answer);
    if (auto *stop = std::get_if<StopCall>(&envelope.message))
        return isLate ? answer(StopReply()) : m_handlers.commands->stop(std::move(*stop), answer);
}

void PeerHub::send(const Link &link, uint64_t correlation, CellMessage message)
{
    link->send(encodeCellEnvelope({correlation, std::move(message), bootTime()}));
}

uint64_t PeerHub::trackRequest(const Link &link, Duration timeout, ReplyCallback done)
{
    const uint64_t correlation = m_nextCorrelation++;
    m_pendingRequests.emplace(correlation,
                              PendingRequest{link, m_timers.now() + timeout, std::move(done)});
    return correlation;
}

void PeerHub::completeRequest(uint64_t correlation, const CellMessage &message)
{
    const auto node = m_pendingRequests.extract(correlation);
    if (!node.empty())
        node.mapped().done(&message);
}

void PeerHub::failRequests(const Link &link)
{
    std::vector<ReplyCallback> failedCallbacks;
    std::erase_if(m_pendingRequests, [&](auto &entry) {
        if (entry.second.link != link)
            return false;
        failedCallbacks.push_back(std::move(entry.second.done));
        return true;
    });
    for (const ReplyCallback &done : failedCallbacks)
        done(nullptr);
}

void PeerHub::expireRequests()
{
    const Instant now = m_timers.now();
    std::vector<ReplyCallback> failedCallbacks;
    std::erase_if(m_pendingRequests, [&](auto &entry) {
        if (entry.second.deadline > now)
            return false;
        failedCallbacks.push_back(std::move(entry.second.done));
        return true;
    });
    for (const ReplyCallback &done : failedCallbacks)
        done(nullptr);
    expireUnidentifiedLinks();
    m_timers.after(ExpiryInterval, [this] { expireRequests(); });
}

void PeerHub::callLeader(const ClientCall &call, Duration replyTimeout, ClientResponder respond)
{
    const uint64_t correlation = trackRequest(
        m_leaderLink, replyTimeout, [respond = std::move(respond)](const CellMessage *message) {
            const auto *reply = message ? std::get_if<ClientReply>(message) : nullptr;
            if (reply)
                return respond(*reply);
            ClientReply undetermined;
            undetermined.outcome = ClientReply::Undetermined;
            undetermined.detail = "the scheduler did not answer";
            respond(undetermined);
        });
    send(m_leaderLink, correlation, call);
}

void PeerHub::sendLeftoverEnds(std::vector<RunEnded> ends)
{
    send(m_leaderLink, 0, LeftoverEndsMessage{std::move(ends)});
}

void PeerHub::broadcast(const HeartbeatMessage &heartbeat)
{
    for (const auto &[node, follower] : m_followers)
        send(follower.link, 0, heartbeat);
}

void PeerHub::sendHeartbeat(const EntryId &node, const HeartbeatMessage &heartbeat)
{
    const auto found = m_followers.find(node);
    if (found != m_followers.end())
        send(found->second.link, 0, heartbeat);
}

template <typename Reply, typename Call>
void PeerHub::request(const EntryId &node, Call call, Duration timeout,
                      std::function<void(std::optional<Reply>)> done)
{
    const auto found = m_followers.find(node);
    if (found == m_followers.end())
        return done(std::nullopt);
    const uint64_t correlation = trackRequest(
        found->second.link, timeout, [done = std::move(done)](const CellMessage *message) {
            const auto *reply = message ? std::get_if<Reply>(message) : nullptr;
            done(reply ? std::optional(*reply) : std::nullopt);
        });
    send(found->second.link, correlation, std::move(call));
}

void PeerHub::askAdvice(const EntryId &node, AdviceCall call, std::function<void(AdviceReply)> done)
{
    const Duration timeout = call.timeout;
    request<AdviceReply>(node, std::move(call), timeout,
                         [done = std::move(done)](const std::optional<AdviceReply> &reply) {
                             done(reply.value_or(AdviceReply()));
                         });
}

CommandRelay::Forwarder PeerHub::forwarder(const EntryId &node)
{
    CommandRelay::Forwarder forwarder;
    const HelloMessage &hello = m_followers.at(node).hello;
    forwarder.processor = hello.processor;
    forwarder.zone = hello.zone;
    forwarder.hold = [this, node](HoldCall call, auto done) {
        const Duration timeout = call.wait + ForwardedCommandTimeout;
        request<HoldReply>(node, std::move(call), timeout, std::move(done));
    };
    forwarder.start = [this, node](StartCall call, auto done) {
        request<StartReply>(node, std::move(call), ForwardedCommandTimeout, std::move(done));
    };
    forwarder.stop = [this, node](StopCall call, auto done) {
        request<StopReply>(node, std::move(call), ForwardedCommandTimeout, std::move(done));
    };
    return forwarder;
}

void PeerHub::sendHandOver(const EntryId &node, const HandOverMessage &offer)
{
    const auto found = m_followers.find(node);
    if (found != m_followers.end())
        send(found->second.link, 0, offer);
}

std::vector<LeaderCandidate> PeerHub::followers() const
{
    std::vector<LeaderCandidate> nodes;
    for (const auto &[node, follower] : m_followers) {
        if (!follower.hello.isStopping)
            nodes.push_back({node, follower.hello.processor});
    }
    return handOverOrder(std::move(nodes));
}

bool PeerHub::hasStrongerFollower() const
{
    return std::ranges::any_of(followers(), [this](const LeaderCandidate &follower) {
        return isClearlyStronger(follower.processor, m_self.processor);
    });
}

void PeerHub::askVote(const Endpoint &peer, Revision claim,
                      std::function<void(std::optional<bool>)> done)
{
    askOnce(peer, VoteRequest{claim}, std::move(done));
}

void PeerHub::announce(const Endpoint &peer, const AnnouncementMessage &announcement)
{
    // Members that cannot be reached learn of the leader from the next announcement.
    askOnce(peer, announcement, [](std::optional<bool>) {});
}

void PeerHub::askOnce(const Endpoint &peer, CellMessage request,
                      std::function<void(std::optional<bool>)> done)
{
    connectFrameLink(
        m_context, peer, ConnectTimeout,
        [this, request = std::move(request), done = std::move(done),
         alive = std::weak_ptr(m_alive)](const Link &link) {
            if (alive.expired())
                return;
            if (!link)
                return done({});
            link->start(
                [this](const Link &from, const Frame &frame) { handleFromLeader(from, frame); },
                [this](const Link &closed) { failRequests(closed); });
            const uint64_t correlation =
                trackRequest(link, VoteTimeout, [link, done](const CellMessage *message) {
                    const auto *vote = message ? std::get_if<VoteResponse>(message) : nullptr;
                    done(vote ? std::optional(vote->agrees) : std::nullopt);
                    link->close();
                });
            send(link, correlation, request);
        });
}

} // namespace Cranberrymount
