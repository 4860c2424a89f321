#pragma once

#include "Coordination/CellScheduler.h"
#include "Coordination/Leadership.h"
#include "Coordination/PeerHub.h"
#include "Service/CellSettings.h"
#include "Service/Metrics.h"
#include "Service/WaitingCall.h"
#include "Transport/AsioTimerService.h"

#include <pcg_random.hpp>

#include <deque>

namespace Cranberrymount {

/**
 * One node of a cell: takes submitters' calls, passes them to the leader, and leads while it
 * holds the claim. Everything runs on the thread that runs the context.
 */
class CellNode
{
public:
    /** The platform as the node sees it. */
    struct Platform
    {
        TransactionalStore &store;
        OperatorSource &operators;
        WorkerOrders &orders;
        PlacementAdvisor &advisor;
    };

    /** @throws TransportError if the peer address cannot be bound. */
    CellNode(asio::io_context &context, CellSettings settings, Platform platform);

    void start();

    /** Answers a submitter's call within @p timeout. */
    void handle(ClientCall call, Duration timeout, ClientRespond respond);

    /** @return true while new connections should come here. */
    bool isReady() const;

    /** Hands leadership on, if it has it; @p done runs when this node leads no more. */
    void retire(std::function<void()> done);

    Metrics &metrics() { return m_metrics; }

private:
    void route(WaitingCall waiting);
    void sendToLeader(WaitingCall waiting);
    void refuse(const WaitingCall &waiting);
    bool hasLeader() const;
    void tick();
    /** Logs how busy the process is. */
    void logLoad();
    /** Offers the claim to a node that can lead better, if there is one. */
    void offerLeadership();
    void offerLeadershipTo(std::size_t index, bool isStoreLost);
    /** Offers the claim to one of the strongest followers. */
    void offerLeadershipToStrongest();
    /** Offers the claim of a node that stops to one follower after the other until one takes it. */
    void transferLeadership(uint32_t offers, std::function<void()> done);
    void heartbeat();
    HeartbeatMessage heartbeatMessage() const;
    /** Gives the present leader the ends that this node could not write as leader. */
    void forwardLeftoverEnds();
    void beat();
    void becomeLeader(Revision claim);
    void becomeFollower();
    double random();
    /** @return how far the process was suspended since the last call. */
    Duration suspendedSinceLastCall();
    WallTime wallNow() const;

    CellSettings m_settings;
    Platform m_platform;
    AsioTimerService m_timers;
    LogBudget m_logLimiter;
    Metrics m_metrics;
    pcg32 m_random;
    AdviceDesk m_adviceScheduler;
    OrderRelay m_commandRelay;
    PeerHub m_peers;
    Leadership m_leadership;
    std::unique_ptr<CellScheduler> m_scheduler;
    /** Schedulers of lost claims, until their callbacks have returned. */
    std::vector<std::unique_ptr<CellScheduler>> m_retiredSchedulers;
    std::deque<WaitingCall> m_waitingCalls;
    /** Ends that this node could not write when it last led. */
    std::vector<RunEnded> m_leftoverEnds;
    /** The claim whose holder has them. */
    Revision m_endsForwardedTo;
    std::chrono::nanoseconds m_suspendedTotal{0};
    Instant m_loadLoggedAt{};
    std::chrono::nanoseconds m_processorTimeAtLastLog{0};
    /** When this node last had a leader; its start, if it had none yet. */
    Instant m_leaderSeenAt{};
    Instant m_offeredAt{};
    std::size_t m_nextOffer = 0;
    bool m_isRetiring = false;
};

} // namespace Cranberrymount
