#pragma once

#include "Protocol/WorkerOrders.h"
#include "Transport/GuardedTimers.h"

namespace Cranberrymount {

/** How long leases run and who may still extend them. */
struct LeaseTerms
{
    Epoch epoch;
    /** Longest lease that a worker grants; from the platform's settings. */
    Duration length{6000};
    /** Latest point at which another leader's lease on any worker may have been extended. */
    Instant lastInheritedExtension{};
};

/**
 * The leader's dealings with one life of a worker: keeps the lease of what runs there, learns
 * what runs and what has ended, and says when nothing of it can run any more.
 */
class WorkerSession
{
public:
    struct Observer
    {
        /** A report came; @p sentAt is when it was asked for. */
        std::function<void(WorkerSession &, const HoldReply &, Instant sentAt)> report;
        std::function<void(WorkerSession &, bool isReachable)> reachability;
        /** Another life answers; nothing of this one runs any more. */
        std::function<void(WorkerSession &)> ended;
        /** A leader with a higher epoch gives orders here. */
        std::function<void()> fenced;
        /** @return true while this leader may extend leases. */
        std::function<bool()> mayExtendLeases;
    };

    WorkerSession(WorkerOrders &commands, TimerService &timers, CellWorker worker, LeaseTerms terms,
                  Observer observer);

    void begin();

    const CellWorker &worker() const { return m_worker; }
    const WorkerLife &life() const { return m_worker.life; }
    /** Takes in a newer announcement of the same life. */
    void update(CellWorker worker) { m_worker = std::move(worker); }

    /** @return true if the last call was answered; orders may then be given. */
    bool isReachable() const { return m_isReachable; }
    /** @return when every lease that this or an earlier leader gave has run out. */
    Instant allLeasesExpireAt() const;
    /** @return when a lease of @p length that was given at @p given is over on the slowest clock.
     */
    static Instant leaseExpiry(Instant given, Duration length);
    OrderAddress commandAddress() const;
    /** @return a lease end for an order sent now, by the worker's clock. */
    WorkerClock newLeaseEnd();

    /** Ends up to @p number are recorded. */
    void acknowledge(uint64_t number) { m_acknowledged = std::max(m_acknowledged, number); }
    /** Asks for the next report once the ends of the last one are recorded. */
    void requestReport();

private:
    void hold();
    void handleReply(const HoldReply &reply, Instant sentAt);
    void setReachable(bool isReachable);

    WorkerOrders &m_commands;
    GuardedTimers m_timers;
    CellWorker m_worker;
    LeaseTerms m_terms;
    Observer m_observer;
    bool m_isReachable = false;
    bool m_isEnded = false;
    bool m_isHoldInFlight = false;
    uint32_t m_consecutiveFailures = 0;
    uint64_t m_acknowledged = 0;
    WorkerClock m_clock;
    Instant m_clockReadAt{};
    Instant m_lastLeaseExtension{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
