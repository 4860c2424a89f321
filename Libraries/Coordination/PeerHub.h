#pragma once

#include "Coordination/OrderRelay.h"
#include "Decision/LeaderChoice.h"
#include "Protocol/CellMessages.h"
#include "Transport/GuardedTimers.h"
#include "Transport/MessageDelay.h"

#include <asio/io_context.hpp>

#include <map>
#include <optional>

namespace Cranberrymount {

/**
 * Links between the nodes of a cell. Every follower keeps one link to the leader; calls and
 * heartbeats share it. Votes use links of their own, opened for the occasion.
 *
 * Everything runs on the control thread.
 */
class PeerHub
{
public:
    struct Handlers
    {
        std::function<void(ClientCall, ClientRespond)> clientCall;
        std::function<void(AdviceCall, std::function<void(AdviceReply)>)> advice;
        /** @return true if this node, too, hears nothing sound of the holder of the claim. */
        std::function<bool(Revision claim)> vote;
        std::function<void(const HandOverMessage &)> handOver;
        std::function<void(const AnnouncementMessage &)> announced;
        /** An earlier leader passes on what it could not write. */
        std::function<void(const std::vector<RunEnded> &)> leftoverEnds;
        /** Gives the orders that the leader lets this node carry. */
        WorkerOrders *orders = nullptr;
        std::function<void(const EntryId &node)> followerJoined;
        std::function<void(const EntryId &node)> followerLeft;
    };

    /** @throws TransportError if @p address cannot be bound. */
    PeerHub(asio::io_context &context, TimerService &timers, HelloMessage self,
            const Endpoint &address, Handlers handlers);

    /** Tells the leader, now and later ones, that this node ends soon. */
    void retire();

    // Towards the leader.
    /** Opens a link to @p leader, in place of any other; unset to have none. */
    void follow(std::optional<Endpoint> leader);
    bool isLinked() const { return m_leaderLink != nullptr; }
    /** @return true if the last follow() came to nothing, or its link broke. */
    bool hasFailedToLink() const { return m_hasFailedToLink; }
    /** @return the last heartbeat on the present link, if one came. */
    const std::optional<HeartbeatMessage> &heartbeat() const { return m_heartbeat; }
    Instant heartbeatAt() const { return m_heartbeatAt; }
    /** Heartbeats come five times a second; three in a row are missing after this. */
    static constexpr Duration HeartbeatTimeout{700};
    /**
     * Sends a call to the leader; a call whose link breaks is answered Undetermined.
     * Must only be called while isLinked().
     */
    void callLeader(const ClientCall &call, Duration replyTimeout, ClientRespond respond);

    /** Passes ends on to the leader. Must only be called while isLinked(). */
    void sendLeftoverEnds(std::vector<RunEnded> ends);

    // Towards followers.
    void broadcast(const HeartbeatMessage &heartbeat);
    void sendHeartbeat(const EntryId &node, const HeartbeatMessage &heartbeat);
    void askAdvice(const EntryId &node, AdviceCall call, std::function<void(AdviceReply)> done);
    /** @return a way to give orders through a follower. */
    OrderRelay::Carrier carrier(const EntryId &node);
    void sendHandOver(const EntryId &node, const HandOverMessage &offer);
    /** @return the followers that stay, in the order in which the claim is offered to them. */
    std::vector<LeaderCandidate> followers() const;
    /** @return true if the cell gains by being led by a follower instead of this node. */
    bool hasStrongerFollower() const;
    bool hasFollower(const EntryId &node) const { return m_followers.contains(node); }

    /** Asks @p peer for its vote; @p done gets nothing if it does not answer in time. */
    void askVote(const Endpoint &peer, Revision claim,
                 std::function<void(std::optional<bool>)> done);

    /** Tells @p peer who leads. */
    void announce(const Endpoint &peer, const AnnouncementMessage &announcement);

private:
    using Link = std::shared_ptr<FrameLink>;
    using ReplyCallback = std::function<void(const CellMessage *)>;

    void accept(const Link &link);
    void handleInbound(const Link &link, const Frame &frame);
    void handleFromLeader(const Link &link, const Frame &frame);
    void handleHello(const Link &link, const HelloMessage &hello);
    void dropInbound(const Link &link);
    void dropLeader(const Link &link);
    /** Opens a link for one request, which a VoteResponse answers. */
    void askOnce(const Endpoint &peer, CellMessage request,
                 std::function<void(std::optional<bool>)> done);
    /** Carries an order out for the leader, unless it has been on its way for too long. */
    void executeForLeader(const Link &link, CellEnvelope envelope, bool isLate);
    /** Sends a request to a follower; @p done gets nothing if it does not answer in time. */
    template <typename Reply, typename Call>
    void request(const EntryId &node, Call call, Duration timeout,
                 std::function<void(std::optional<Reply>)> done);
    void send(const Link &link, uint64_t correlation, CellMessage message);
    /** Remembers a request; @p done gets null when it is given up. */
    uint64_t trackRequest(const Link &link, Duration timeout, ReplyCallback done);
    void completeRequest(uint64_t correlation, const CellMessage &message);
    void failRequests(const Link &link);
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
    GuardedTimers m_timers;
    HelloMessage m_self;
    Handlers m_handlers;
    Link m_leaderLink;
    uint64_t m_followGeneration = 0;
    bool m_hasFailedToLink = false;
    std::optional<HeartbeatMessage> m_heartbeat;
    Instant m_heartbeatAt{};
    MessageDelay m_leaderDelay;
    std::map<Link, EntryId> m_inbound;
    std::map<EntryId, Follower> m_followers;
    std::map<uint64_t, PendingRequest> m_pendingRequests;
    uint64_t m_nextCorrelation = 1;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    FrameListener m_listener;
};

} // namespace Cranberrymount
