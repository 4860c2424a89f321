#pragma once

#include "Coordination/ElectionPeers.h"
#include "Coordination/ResendPolicy.h"
#include "Decision/LeaderChoice.h"
#include "Protocol/TransactionalStore.h"
#include "Transport/ScopedTimers.h"

namespace Cranberrymount {

/** A node of the cell, as it registers itself in the store. */
struct CellMember
{
    EntryId node;
    Endpoint address;
    /** Share of a processor that the node has. */
    CpuMillis processor;
};

/**
 * Elects the cell's leader. The leadership claim is one key of the store: the node that wrote it
 * last leads, and its revision fences every write and command of earlier leaders. A follower takes
 * over the claim when it and most of its peers find the leader unhealthy, so that no lease has to
 * expire first. Peers that don't respond are left out of the count if the store shows that the
 * leader has stopped using it (docs/design/Elections.md).
 */
class Leadership
{
public:
    struct Observer
    {
        /** This node holds the claim; it held it for certain at @p heldAt. */
        std::function<void(Revision claim, Instant heldAt)> won;
        /** Another node holds the claim now. */
        std::function<void()> lost;
        /** Another node may hold the claim; the store has not said so yet. */
        std::function<void()> doubted;
    };

    /** @param resends when writes to the store are sent again */
    Leadership(TransactionalStore &store, TimerService &timers, ResendPolicy &resends,
               ElectionPeers &peers, CellMember self, std::function<double()> random,
               Observer observer);

    void begin();
    Revision claim() const { return m_leader.revision; }

    /** Stops leading, after this node has seen a later claim. */
    void stepDown();
    /** @return true if this node finds the holder of @p claim unhealthy or has no link to it. */
    bool votesAgainst(Revision claim) const;
    /** Handles the leader's offer to hand its claim over to this node. */
    void takeOver(const HandOverMessage &offer);
    /** Handles the message in which a node announces that it leads. */
    void handleAnnouncement(const AnnouncementMessage &announcement);
    /** Stops this node from claiming leadership again. */
    void retire() { m_isRetired = true; }

private:
    /** Reads the claim; this leader steps down unless the store says that its claim stands. */
    void checkAnnouncement(const AnnouncementMessage &announcement);
    void followAnnounced(const AnnouncementMessage &announcement);

    struct Leader
    {
        Revision revision;
        EntryId node;
        Endpoint address;
    };

    /** The leader's last known use of the store. */
    struct Activity
    {
        /** The leader's claim; activity under another claim says nothing about this one. */
        Revision claim;
        /** Revision of LeaderActivityKey, or that of the claim if the leader has not written it. */
        Revision revision;
        /** When a read first returned this revision. */
        Instant since;
    };

    /** Votes on a suspected leader. */
    struct VoteCount
    {
        /** Members except the leader; this node is one of them. */
        std::size_t members = 1;
        std::size_t answering = 1;
        std::size_t agreeing = 1;
        std::size_t awaited = 0;
        /** A stronger node also votes against the leader, so it would claim leadership too. */
        bool hasStronger = false;
    };

    /** A try to write the claim; the store may execute each of its copies, now or later. Only one
     * of them can succeed, since each needs the revision that the claim had before. */
    struct ClaimTry
    {
        uint64_t number = 0;
        std::string value;
        Revision expected;
        /** The leader has asked this node to replace it. */
        bool isHandedOver = false;
        Instant begin;
        uint32_t copies = 0;
        /** How often the answer was looked for by a read. */
        uint32_t readBacks = 0;
        /** The claim is still looked for and sent again; answers count in any case. */
        bool isActive = true;
    };
    using ClaimTryHandle = std::shared_ptr<ClaimTry>;

    void registerMember();
    void writeMember();
    /** @param isWritten false if the entry must be written again */
    void renewMember(bool isWritten);
    void tick();
    bool isLeaderHealthy() const;
    void readLeader();
    /** @param known the claim that this node knew when it sent the read */
    void handleLeader(const StoreRead &read, Revision known);
    void awaitLeader();
    void recordLeader(const StoreEntry &entry);
    /** Opens a new link to the leader. */
    void followLeader();
    void callElection();
    void countVotes(Revision claim, const StoreRead &members);
    void decideElection(Revision claim, const VoteCount &count);
    /** Claims leadership after a won vote, unless a stronger node gets the first try. */
    void claimAfterVote(Revision claim, const VoteCount &count);
    /** Records what @p read says about the leader's use of the store. */
    void observeActivity(const StoreRead &read);
    /** Reads the leader's activity while its heartbeats are late, so that an election can compare.
     */
    void watchLateLeader();
    /** @return when a read can show that the leader has stopped using the store. */
    Instant inactiveAt() const;
    /** Waits until the leader's inactivity is long enough, and claims leadership if it is. */
    void awaitInactivity(Revision claim, const VoteCount &count);
    /** @return true the first time for each @p claim: the node lets a stronger one claim first. */
    bool yieldsOnce(Revision claim);
    /** Claims leadership unless the holder of @p claim can use the store again. */
    void claimIfStillLost(Revision claim);
    void claimVacantCell();
    /** @param isHandedOver true if the leader has asked for it and may be healthy */
    void claimLeadership(Revision expected, bool isHandedOver = false);
    void sendClaim(const ClaimTryHandle &claimTry);
    void handleClaimResult(const ClaimTryHandle &claimTry, Instant sentAt,
                           const CommitResult &result);
    /** Looks for the claim in a while, unless it is answered before. */
    void awaitClaim(const ClaimTryHandle &claimTry);
    void readClaimBack(const ClaimTryHandle &claimTry);
    /** @return false if the leader that the try would replace can use the store again. */
    bool isStillWanted(const ClaimTry &claimTry) const;
    /** Ends a try that this node no longer waits for; the store may still execute it. */
    void giveUpClaim(const ClaimTryHandle &claimTry);
    void becomeLeader(Revision revision, Instant heldAt);
    void announce(Revision claim);
    void endElection(Duration pause);

    TransactionalStore &m_store;
    ScopedTimers m_timers;
    ResendPolicy &m_resends;
    ElectionPeers &m_peers;
    CellMember m_self;
    std::function<double()> m_random;
    Observer m_observer;
    Leader m_leader;
    Activity m_activity;
    /** The heartbeat after which watchLateLeader() last read the activity. */
    Instant m_watchedHeartbeat{};
    /** The last claim for which this node let stronger nodes go first. */
    std::optional<Revision> m_lastYieldedClaim;
    StoreLeaseId m_lease;
    Instant m_followedAt{};
    Instant m_noElectionUntil{};
    bool m_isLeading = false;
    bool m_isElecting = false;
    bool m_isRetired = false;
    bool m_isCheckingClaim = false;
    uint64_t m_claimChecks = 0;
    uint64_t m_claimCount = 0;
};

} // namespace Cranberrymount
