#pragma once

#include "Decision/ShardView.h"
#include "Protocol/WorkerLink.h"
#include "Transport/GuardedTimers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Cranberrymount {

/** What a pool tells the keeper of its shard. */
class WorkerPoolObserver
{
public:
    virtual ~WorkerPoolObserver() = default;

    /** A worker runs an attempt that the pool did not start, or whose start was uncertain. */
    virtual void attemptConfirmed(const RunningAttempt &attempt, const WorkerId &worker) = 0;
    /**
     * An attempt has ended for certain.
     * @param reported true if the worker keeps the end until it is acknowledged.
     */
    virtual void attemptEnded(const EndedAttempt &attempt, const WorkerId &worker,
                              bool reported) = 0;
    /** Room or the state of a worker has changed. */
    virtual void poolChanged() = 0;
};

/** A worker whose lease an owner holds. */
struct HeldWorker
{
    WorkerInfo info;
    Epoch epoch;
    /** When the lease was last got after a gap. */
    Instant since;
    Instant until;
};

/**
 * The workers of one shard under the exclusive leases that they grant to this owner.
 *
 * A worker's answer is the only source of what runs on it. The lease's epoch is raised whenever the
 * outcome of a start is uncertain, so that a late order is refused and the worker's next complete
 * report is final.
 */
class WorkerPool
{
public:
    struct Settings
    {
        Duration leaseTtl{6000};
        /** A worker stops its tasks when its lease has been over for this long. */
        Duration orphanGrace{30'000};
        /** Longest time that a renewal may take to arrive, and allowance for clock rates. */
        Duration endMargin{5000};
        /** No task starts on a lease that ends sooner than this. */
        Duration startMargin{500};
        Duration retryDelay{500};
        /** A former owner without the store hands its leases back after this time. */
        Duration isolationBound{7'200'000};
        /** First time for which a worker that fails all it starts is set aside; doubles. */
        Duration firstQuarantine{10'000};
    };

    WorkerPool(WorkerLink &link, TimerService &timers, EntryId self, Settings settings,
               WorkerPoolObserver &observer);

    /** Begins to take workers over under @p shardEpoch. */
    void takeOver(Epoch shardEpoch);
    /** Goes on under a higher shard epoch with all leases kept. */
    void raiseEpoch(Epoch shardEpoch) { m_shardEpoch = shardEpoch; }

    /** A worker that this shard may have tasks on, from the record's roster. */
    void expect(const WorkerId &worker, ListVersion listedAt);
    /** Takes the platform's list in, restricted to this shard's workers. */
    void setListed(ListVersion version, const std::vector<WorkerInfo> &workers);

    /** @return true if every expected worker was taken over or is known to be gone. */
    bool isResolved() const;
    /** @return the workers that still keep the shard from being resolved. */
    std::vector<WorkerId> unresolved() const;

    void start(const WorkerId &worker, const StartOrder &command);
    /** Sends the orders that @c start collected, one call a worker. */
    void sendStarts();
    void stop(const WorkerId &worker, const AttemptRef &attempt, bool checkpoint);
    /** The end of @p attempt is recorded; the worker may forget it. */
    void acknowledge(const WorkerId &worker, const AttemptRef &attempt);

    /** @return the room on each worker whose lease this owner holds. */
    std::vector<WorkerRoom> workerCapacities() const;
    /** @return what all attempts of each team take, from start order to certain end. */
    std::map<TeamId, Resources> usedByTeam() const;
    /** @return the workers whose lease is held now. */
    std::vector<HeldWorker> heldWorkers() const;
    std::optional<WorkerInfo> info(const WorkerId &worker) const;
    /** @return true if some listed worker could ever hold a task of @p need. */
    bool canEverHold(const Resources &need) const;

    /** Hands every lease back and calls @p done; tasks run on for the orphan grace. */
    void handBack(std::function<void()> done);

private:
    struct Attempt
    {
        TeamId team;
        Resources resources;
        /** Lease epoch of the start order. */
        Epoch epoch;
        bool isConfirmed = false;
        bool stopWanted = false;
        bool checkpoint = true;
        Instant stopSentAt;
    };
    struct Worker
    {
        WorkerInfo info;
        bool isListed = false;
        ListVersion listedAt;
        /** Counts up whenever late orders have to be shut out. */
        uint64_t subEpoch = 0;
        Epoch grantedEpoch;
        std::optional<Instant> heldUntil;
        Instant heldSince;
        /** Latest point at which a renewal left, whether or not it was answered. */
        std::optional<Instant> lastRenewalSentAt;
        /** True if a former owner may have tasks here. */
        bool isExpected = false;
        Instant expectedSince;
        bool isResolved = false;
        /** No answer came; only probes are sent, since a renewal might extend the lease unseen. */
        bool isUnresponsive = false;
        bool isCallInFlight = false;
        bool needsCompleteReport = true;
        std::map<AttemptRef, Attempt> attempts;
        std::set<AttemptRef> reportedEnds;
        std::set<AttemptRef> acknowledged;
        std::vector<StartOrder> pendingStarts;
        std::set<JobId> failedJobs;
        Duration quarantineTime{0};
        Instant quarantinedUntil;
    };

    void renew(const WorkerId &id);
    void probe(const WorkerId &id);
    void handleLeaseAnswer(const WorkerId &id, Instant askedAt, const LeaseRequest &request,
                           const LeaseAnswer &answer);
    void applyReport(const WorkerId &id, const WorkerReport &report);
    void applyRunning(const WorkerId &id, const WorkerReport &report);
    void updateQuarantine(Worker &worker, const EndedAttempt &ended);
    void endUnreported(const WorkerId &id, const WorkerReport &report);
    void endAllAttempts(const WorkerId &id);
    void checkUnresponsive(const WorkerId &id);
    void renewLater(const WorkerId &id);
    void sendStops(Worker &worker);
    void handleStartAnswer(const WorkerId &id, const std::vector<AttemptRef> &attempts,
                           const StartAnswer &answer);
    Epoch epochOf(const Worker &worker) const;
    /** @return how long a worker holds a renewal back unless a task ends. */
    Duration renewalWait() const { return m_settings.leaseTtl / 4; }

    WorkerLink &m_link;
    GuardedTimers m_timers;
    EntryId m_self;
    Settings m_settings;
    WorkerPoolObserver &m_observer;
    Epoch m_shardEpoch;
    ListVersion m_listVersion;
    std::map<WorkerId, Worker> m_workers;
    bool m_isReleasing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
