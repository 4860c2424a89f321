#pragma once

#include "Coordination/PeerHub.h"
#include "Protocol/TransactionalStore.h"

namespace Cranberrymount {

/** A node of the cell, as it enters itself into the store. */
struct CellMember
{
    EntryId node;
    Endpoint address;
    /** Share of a processor that the node has. */
    CpuMillis processor;
};

/**
 * Decides which node leads. The claim is one key of the store: whoever writes it last leads, and
 * its revision fences all that earlier holders try. A follower takes the claim over when it and
 * most of its peers hear nothing sound of the holder, so that no lease has to run out.
 */
class Leadership
{
public:
    struct Observer
    {
        std::function<void(Revision claim)> won;
        /** Another node holds the claim now. */
        std::function<void()> lost;
    };

    Leadership(TransactionalStore &store, TimerService &timers, PeerHub &peers, CellMember self,
               std::function<double()> random, Observer observer);

    void begin();
    Revision claim() const { return m_leader.revision; }

    /** The scheduler has seen a later claim. */
    void giveUp();
    /** @return true if this node hears nothing sound of the holder of @p claim. */
    bool votesAgainst(Revision claim) const;
    /** The holder of the claim asks this node to take it. */
    void takeOver(const HandOverMessage &offer);
    /** A node says that it leads. */
    void handleAnnouncement(const AnnouncementMessage &announcement);
    /** Claims nothing any more. */
    void retire() { m_isRetired = true; }

private:
    struct Leader
    {
        Revision revision;
        EntryId node;
        Endpoint address;
    };

    void registerMember();
    void renewMember();
    void tick();
    bool isLeaderHealthy() const;
    void readLeader();
    void handleLeader(const StoreRead &read);
    void awaitLeader();
    void recordLeader(const StoreEntry &entry);
    /** Opens a new link to the leader. */
    void followLeader();
    void callElection();
    void countVotes(const StoreRead &members);
    /** @return true if the node should wait, once a claim, for a stronger one to take it. */
    bool yieldsOnce(Revision claim);
    /** Takes an offered claim, unless the store serves its holder again. */
    void claimIfStillLost(Revision claim);
    void claimVacantCell();
    void claimLeadership(Revision expected);
    void becomeLeader(Revision revision);
    void announce();
    void endElection(Duration pause);

    TransactionalStore &m_store;
    GuardedTimers m_timers;
    PeerHub &m_peers;
    CellMember m_self;
    std::function<double()> m_random;
    Observer m_observer;
    Leader m_leader;
    /** The last claim that was left to stronger nodes for a moment. */
    std::optional<Revision> m_lastYieldedClaim;
    StoreLeaseId m_lease;
    std::string m_claimValue;
    Instant m_followedAt{};
    Instant m_noElectionUntil{};
    bool m_isLeading = false;
    bool m_isElecting = false;
    bool m_isRetired = false;
    uint64_t m_claimCount = 0;
};

} // namespace Cranberrymount
