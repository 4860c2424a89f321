#pragma once

#include "Coordination/CellScheduler.h"
#include "Coordination/Leadership.h"
#include "Coordination/PeerHub.h"
#include "Coordination/WorkerConnections.h"
#include "Service/CellSettings.h"
#include "Service/Metrics.h"
#include "Service/WaitingCall.h"
#include "Transport/AsioTimerService.h"

#include <pcg_random.hpp>

#include <deque>

namespace Cranberrymount {

/**
 * One node of a cell: receives submitters' calls, sends them to the leader, and is the leader
 * itself while it holds the leadership claim. Everything runs on the thread that runs the context.
 */
class CellNode
{
public:
    /** Interfaces of the platform that the node uses. */
    struct Platform
    {
        TransactionalStore &store;
        OperatorSource &operators;
        WorkerCommands &commands;
        PlacementAdvisor &advisor;
    };

    /** @throws TransportError if the peer address cannot be bound. */
    CellNode(asio::io_context &context, CellSettings settings, Platform platform);

    ~CellNode();

    CellNode(const CellNode &) = delete;
    CellNode &operator=(const CellNode &) = delete;

    void start();

    /** Responds to a submitter's call within @p timeout; 0 stands for a default. */
    void handle(ClientCall call, Duration timeout, ClientResponder respond);

    /** @return true while the balancer should send new connections to this node. */
    bool isReady() const;

    /** Transfers leadership if this node has it; @p done runs once the node is not the leader. */
    void retire(std::function<void()> done);

    /** Responds to all calls that this node still holds, and from now on to each call at once. */
    void answerHeldCalls();

    /** Calls of submitters around the end of this node; a metric of the same name has each. */
    struct StopCounts
    {
        /** Calls without a response when the node began to retire. */
        std::size_t held = 0;
        /** Responses since then, by kind. */
        std::size_t served = 0;
        std::size_t refused = 0;
        std::size_t undetermined = 0;
        /** Calls without a response now. */
        std::size_t left = 0;
    };
    StopCounts stopCounts() const;

    Metrics &metrics() { return m_metrics; }

private:
    /** A call to which this node has not responded; its job is left out. */
    struct HeldCall
    {
        ClientCall::Kind kind;
        std::string path;
        ClientResponder respond;
    };

    /** Responds to a held call that may have run. */
    void answerUndetermined(uint64_t call);
    /** Counts the response to a call if this node is retiring. */
    void countStopReply(ClientReply::Outcome outcome);
    /** Handles the call here or sends it to the leader; without a leader the call waits. */
    void route(WaitingCall waiting);
    void sendToLeader(WaitingCall waiting);
    /** Lets a call wait for the next leader, unless its time is over. */
    void awaitNextLeader(WaitingCall waiting);
    void refuse(const WaitingCall &waiting);
    bool hasLeader() const;
    void tick();
    /** Logs the processor time used since the last such line and the number of waiting calls. */
    void logLoad();
    /** Offers leadership if the store does not respond or a follower is stronger. */
    void offerLeadership();
    void offerLeadershipTo(std::size_t index, bool isStoreUnresponsive);
    /** Offers leadership to one of the strongest followers. */
    void offerLeadershipToStrongest();
    /** Offers leadership to one follower after the other until one takes it, since this node stops.
     * @param offers how many offers were made before */
    void transferLeadership(uint32_t offers, std::function<void()> done);
    /** Sends a heartbeat to all followers if this node is the leader. */
    void heartbeat();
    HeartbeatMessage heartbeatMessage() const;
    /** Sends the current leader the ends of runs that this node could not write as leader. */
    void forwardLeftoverEnds();
    /** Sends heartbeats periodically. */
    void beat();
    void becomeLeader(Revision claim, Instant claimHeldAt);
    void becomeFollower();
    double random();
    /** @return for how long the machine was suspended since the last call. */
    Duration suspendedSinceLastCall();
    WallTime wallNow() const;

    CellSettings m_settings;
    Platform m_platform;
    AsioTimerService m_timers;
    LogRateLimiter m_logLimiter;
    Metrics m_metrics;
    pcg32 m_random;
    /** Outlives what holds the calls' responders. */
    std::map<uint64_t, HeldCall> m_heldCalls;
    uint64_t m_nextCall = 1;
    /** For all writes of this node to the store. */
    ResendPolicy m_storeResends;
    AdviceCallScheduler m_adviceScheduler;
    /** All commands from this node to workers, its own and those that it forwards. */
    WorkerConnections m_workerConnections;
    CommandRelay m_commandRelay;
    PeerHub m_peers;
    Leadership m_leadership;
    std::unique_ptr<CellScheduler> m_scheduler;
    /** Schedulers of lost leadership claims, kept until their callbacks have returned. */
    std::vector<std::unique_ptr<CellScheduler>> m_retiredSchedulers;
    /** Calls that wait for a leader. */
    std::deque<WaitingCall> m_waitingCalls;
    /** Ends of runs that this node could not write when it was last the leader. */
    std::vector<RunEnded> m_leftoverEnds;
    /** The leadership claim to whose holder m_leftoverEnds were sent last. */
    Revision m_endsForwardedTo;
    std::chrono::nanoseconds m_suspendedTotal{0};
    Instant m_loadLoggedAt{};
    std::chrono::nanoseconds m_processorTimeAtLastLog{0};
    /** When this node last had a leader; when it started, if it had none yet. */
    Instant m_leaderSeenAt{};
    Instant m_offeredAt{};
    std::size_t m_nextOffer = 0;
    bool m_isRetiring = false;
    /** Set if each call is answered at once, since the process ends. */
    bool m_isEnding = false;
    StopCounts m_stopCounts;
};

} // namespace Cranberrymount
