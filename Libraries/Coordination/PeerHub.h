#pragma once

#include "Coordination/CommandRelay.h"
#include "Coordination/ElectionPeers.h"
#include "Decision/LeaderChoice.h"
#include "Protocol/CellMessages.h"
#include "Transport/MessageDelay.h"
#include "Transport/ScopedTimers.h"

#include <asio/io_context.hpp>

#include <deque>
#include <map>
#include <optional>

namespace Cranberrymount {

/**
 * Links between the nodes of a cell. Every follower keeps one link to the leader, which calls and
 * heartbeats share. Each vote and each announcement opens a link of its own.
 *
 * Everything runs on the control thread.
 */
class PeerHub : public ElectionPeers
{
public:
    struct Handlers
    {
        std::function<void(ClientCall, ClientResponder)> clientCall;
        std::function<void(AdviceCall, std::function<void(AdviceReply)>)> advice;
        /** @return true if this node, too, considers the holder of the leadership claim failed. */
        std::function<bool(Revision claim)> vote;
        std::function<void(const HandOverMessage &)> handOver;
        std::function<void(const AnnouncementMessage &)> announced;
        /** Handles ends of runs that an earlier leader could not write. */
        std::function<void(const std::vector<RunEnded> &)> leftoverEnds;
        /** Sends the commands that this node forwards for the leader. */
        WorkerCommands *commands = nullptr;
        std::function<void(const EntryId &node)> followerJoined;
        std::function<void(const EntryId &node)> followerLeft;
    };

    /** More than the links of 150 nodes that ask for votes at the same time. */
    static constexpr std::size_t MaxUnidentifiedLinks = 256;

    /**
     * @param maxUnidentifiedLinks number of accepted links without a greeting; a further one closes
     * the oldest of them
     * @throws TransportError if @p address cannot be bound
     */
    PeerHub(asio::io_context &context, TimerService &timers, HelloMessage self,
            const Endpoint &address, Handlers handlers,
            std::size_t maxUnidentifiedLinks = MaxUnidentifiedLinks);

    /** @return the number of accepted links that were closed, since they sent no greeting. */
    uint64_t closedUnidentifiedLinks() const { return m_closedUnidentifiedLinks; }

    /** Compresses what this node exchanges with followers that join from now on. */
    void compressFollowerLinks() { m_compressesFollowerLinks = true; }
    /** Reports to the leader, and to later ones, that this node stops soon. */
    void retire();

    // As a follower.
    void follow(std::optional<Endpoint> leader) override;
    bool isLinked() const override { return m_leaderLink != nullptr; }
    bool hasFailedToLink() const override { return m_hasFailedToLink; }
    const std::optional<HeartbeatMessage> &heartbeat() const override { return m_heartbeat; }
    Instant heartbeatAt() const override { return m_heartbeatAt; }
    /**
     * Sends a call to the leader; @p respond gets Undetermined if the link breaks or no reply
     * arrives within @p replyTimeout.
     * Must only be called while isLinked().
     */
    void callLeader(const ClientCall &call, Duration replyTimeout, ClientResponder respond);

    /** Sends ends of runs to the leader. Must only be called while isLinked(). */
    void sendLeftoverEnds(std::vector<RunEnded> ends);

    // As the leader.
    void broadcast(const HeartbeatMessage &heartbeat);
    void sendHeartbeat(const EntryId &node, const HeartbeatMessage &heartbeat);
    void askAdvice(const EntryId &node, AdviceCall call, std::function<void(AdviceReply)> done);
    /** @return a forwarder that sends commands through the follower @p node. */
    CommandRelay::Forwarder forwarder(const EntryId &node);
    void sendHandOver(const EntryId &node, const HandOverMessage &offer);
    /** @return the followers that are not stopping, in the order in which a claim is offered. */
    std::vector<LeaderCandidate> followers() const;
    /** @return true if a follower is so much stronger that it should lead instead of this node. */
    bool hasStrongerFollower() const;
    bool hasFollower(const EntryId &node) const override { return m_followers.contains(node); }

    void askVote(const Endpoint &peer, Revision claim,
                 std::function<void(std::optional<bool>)> done) override;
    void announce(const Endpoint &peer, const AnnouncementMessage &announcement) override;

private:
    using Link = std::shared_ptr<FrameLink>;
    using ReplyCallback = std::function<void(const CellMessage *)>;

    void accept(const Link &link);
    void handleInbound(const Link &link, const Frame &frame);
    void handleFromLeader(const Link &link, const Frame &frame);
    void handleHello(const Link &link, const HelloMessage &hello);
    void dropInbound(const Link &link);
    void dropLeader(const Link &link);
    /** Opens a link for one request that is answered with a VoteResponse. */
    void askOnce(const Endpoint &peer, CellMessage request,
                 std::function<void(std::optional<bool>)> done);
    /** Executes a command for the leader, unless it took too long to arrive. */
    void executeForLeader(const Link &link, CellEnvelope envelope, bool isLate);
    /** Sends a request to a follower; @p done gets no value if it does not answer in time. */
    template <typename Reply, typename Call>
    void request(const EntryId &node, Call call, Duration timeout,
                 std::function<void(std::optional<Reply>)> done);
    void send(const Link &link, uint64_t correlation, CellMessage message);
    /**
     * Tracks a request until its reply arrives.
     * @param done gets the reply, or null after @p timeout or when @p link breaks.
     * @return the correlation of the request.
     */
    uint64_t trackRequest(const Link &link, Duration timeout, ReplyCallback done);
    /** Passes the reply to the request that waits for it, if any. */
    void completeRequest(uint64_t correlation, const CellMessage &message);
    /** Fails the requests that wait for a reply on @p link. */
    void failRequests(const Link &link);
    void closeOldestUnidentifiedLink();
    void forgetUnidentifiedLink(const Link &link);
    /** Closes the accepted links that have sent no greeting for too long. */
    void expireUnidentifiedLinks();
    /** Fails the requests whose deadline has passed, at regular intervals. */
    void expireRequests();

    struct Follower
    {
        Link link;
        HelloMessage hello;
    };
    struct PendingRequest
    {
        Link link;
        Instant deadline;
        ReplyCallback done;
    };

    asio::io_context &m_context;
    ScopedTimers m_timers;
    HelloMessage m_self;
    bool m_compressesFollowerLinks = false;
    Handlers m_handlers;
    Link m_leaderLink;
    uint64_t m_followGeneration = 0;
    bool m_hasFailedToLink = false;
    std::optional<HeartbeatMessage> m_heartbeat;
    Instant m_heartbeatAt{};
    MessageDelay m_leaderDelay;
    std::map<Link, EntryId> m_inbound;
    /** Accepted links without a greeting and when they were accepted, oldest first. */
    std::deque<std::pair<Link, Instant>> m_unidentifiedLinks;
    const std::size_t m_maxUnidentifiedLinks;
    uint64_t m_closedUnidentifiedLinks = 0;
    std::map<EntryId, Follower> m_followers;
    std::map<uint64_t, PendingRequest> m_pendingRequests;
    uint64_t m_nextCorrelation = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    FrameListener m_listener;
};

} // namespace Cranberrymount
