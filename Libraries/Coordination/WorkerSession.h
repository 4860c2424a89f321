#pragma once

#include "Protocol/WorkerCommands.h"
#include "Transport/ScopedTimers.h"

namespace Cranberrymount {

/** Duration of leases, and when those are over that another session may have granted. */
struct LeaseTerms
{
    Epoch epoch;
    /** Longest lease that a worker grants; from the platform's settings. */
    Duration longest{6000};
    /** When every lease is over that an earlier leader, or a command to an earlier incarnation of
     * the worker, may have granted. */
    Instant inheritedExpiry{};
};

/**
 * The leader's connection to one incarnation of a worker: extends the lease of its runs, receives
 * reports on running and ended runs, and computes when none of its runs can be alive any more.
 */
class WorkerSession
{
public:
    struct Observer
    {
        /** A report arrived; @p sentAt is when it was requested. */
        std::function<void(WorkerSession &, const HoldReply &, Instant sentAt)> report;
        std::function<void(WorkerSession &, bool isReachable)> reachabilityChanged;
        /** Another incarnation answers, with the reply given; no run of this one is alive any
         * more. */
        std::function<void(WorkerSession &, const HoldReply &)> ended;
        /** The worker has seen a higher epoch: another leader may hold the claim, or the worker
         * belongs to another system. */
        std::function<void(WorkerSession &)> refused;
        /** @return true while this leader may request reports. */
        std::function<bool()> mayRequestReports;
        /** @return the longest lease that this leader may grant now; 0 or less for none. */
        std::function<Duration()> grantableLease;
    };

    WorkerSession(WorkerCommands &commands, TimerService &timers, CellWorker worker,
                  LeaseTerms terms, Observer observer);

    const CellWorker &worker() const { return m_worker; }
    const WorkerIncarnation &incarnation() const { return m_worker.incarnation; }
    /** Replaces the worker's announcement by a newer one of the same incarnation. */
    void update(CellWorker worker) { m_worker = std::move(worker); }

    /** @return true if the worker answered the last call; commands may then be sent. */
    bool isReachable() const { return m_isReachable; }
    /** @return when the latest report arrived. */
    Instant lastReportAt() const { return m_clockReadAt; }
    /** @return when every lease that this or an earlier leader granted has expired. */
    Instant allLeasesExpireAt() const;
    /** @return when every lease has expired if the commands of this session have reached the
     * worker's next incarnation, whose clock starts anew: it grants the longest lease instead. */
    Instant nextIncarnationLeasesExpireAt() const;
    /** @return how long the worker may delay its next report. */
    Duration reportWait() const;
    /** @return when a lease of @p length granted at @p given has expired even on the slowest worker
     * clock. */
    static Instant leaseExpiry(Instant given, Duration length);
    /** Counts on leases of earlier sessions that are over at @p expiry at the latest. */
    void addInheritedLeases(Instant expiry)
    {
        m_terms.inheritedExpiry = std::max(m_terms.inheritedExpiry, expiry);
    }
    CommandTarget commandAddress() const;
    /** Records that a lease of @p length is granted now.
     * @return the new lease end, by the worker's clock, to be sent at once */
    WorkerClock newLeaseEnd(Duration length);

    /** Marks ends up to @p number as written; the next call lets the worker drop them. */
    void acknowledge(uint64_t number) { m_acknowledged = std::max(m_acknowledged, number); }
    /** @return true if the next call, and none before it, lets the worker drop some ends. */
    bool hasUnsentAcknowledgement() const
    {
        return m_isReachable && m_acknowledged > m_sentAcknowledgement;
    }
    /** Requests the next report, unless a request is in flight, the incarnation has ended or the
     * worker has just refused a command. */
    void requestReport();

    /** Handles the worker's refusal of a command: the worker counts as unreachable, and a report
     * request after a growing pause shows whether it still refuses. */
    void handleRefusal();
    /** Records that the worker has refused commands although this leader's claim stands. */
    void setForeign() { m_isForeign = true; }
    /** @return true if setForeign() was called and the worker has accepted no command since. */
    bool isForeign() const { return m_isForeign; }

private:
    void hold();
    void handleReply(const HoldReply &reply, Instant sentAt);
    void setReachable(bool isReachable);

    WorkerCommands &m_commands;
    ScopedTimers m_timers;
    CellWorker m_worker;
    LeaseTerms m_terms;
    Observer m_observer;
    bool m_isReachable = false;
    bool m_isEnded = false;
    bool m_isHoldInFlight = false;
    bool m_isForeign = false;
    uint32_t m_consecutiveFailures = 0;
    /** Refusals in the life of the session that were followed by a pause. */
    uint32_t m_refusals = 0;
    Instant m_refusedAt{};
    /** No report is requested before this time. */
    Instant m_pausedUntil{};
    uint64_t m_acknowledged = 0;
    uint64_t m_sentAcknowledgement = 0;
    WorkerClock m_clock;
    Instant m_clockReadAt{};
    /** The worker sent its latest response at this time or later. */
    Instant m_respondedAt{};
    Instant m_lastLeaseExtension{};
    /** The latest end of a lease that this session has granted, by this node's clock. */
    Instant m_leaseEnd{};
    /** When that lease has expired even on the slowest worker clock. */
    Instant m_leaseExpiry{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
