#pragma once

#include "Decision/ShardView.h"
#include "Protocol/WorkerLink.h"
#include "Transport/ScopedTimers.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Cranberrymount {

/** Receives the events of a WorkerPool. */
class WorkerPoolObserver
{
public:
    virtual ~WorkerPoolObserver() = default;

    /** A worker has confirmed that it runs an attempt, which this pool may not have started. */
    virtual void attemptConfirmed(const RunningAttempt &attempt, const WorkerId &worker) = 0;
    /**
     * An attempt has definitely ended.
     * @param reported true if the worker reported the end and keeps it until it is acknowledged.
     */
    virtual void attemptEnded(const EndedAttempt &attempt, const WorkerId &worker,
                              bool reported) = 0;
    /** Free capacity or the state of a worker has changed. */
    virtual void poolChanged() = 0;
};

/** A worker whose lease an owner holds. */
struct HeldWorker
{
    WorkerInfo info;
    Epoch epoch;
    /** Since when the lease has been held without a gap. */
    Instant since;
    Instant until;
};

/**
 * The workers of one shard and the exclusive leases that they grant to this owner.
 *
 * Only a worker itself can report what runs on it. Whenever the outcome of a start is unknown, the
 * pool raises the lease's epoch, so that the worker refuses late commands and its next complete
 * report is final.
 */
class WorkerPool
{
public:
    struct Settings
    {
        Duration leaseTtl{6000};
        /** A worker stops its tasks this long after its lease has expired. */
        Duration orphanGrace{30'000};
        /** Longest time that a renewal may take to arrive, plus an allowance for clock drift. */
        Duration endMargin{5000};
        /** No task is started on a lease that ends within this time. */
        Duration startMargin{500};
        Duration retryDelay{500};
        /** A former owner that cannot reach the store releases its leases after this time. */
        Duration isolationBound{7'200'000};
        /** Duration of the first quarantine of a worker on which tasks keep failing; it doubles
         * with each further one until a task succeeds there. */
        Duration firstQuarantine{10'000};
    };

    WorkerPool(WorkerLink &link, TimerService &timers, EntryId self, Settings settings,
               WorkerPoolObserver &observer);

    /** Starts to take over the workers under @p shardEpoch. */
    void takeOver(Epoch shardEpoch);
    /** Continues under a higher shard epoch and keeps all leases. */
    void raiseEpoch(Epoch shardEpoch) { m_shardEpoch = shardEpoch; }

    /** Adds a worker from the record's roster, on which a former owner may have started tasks. */
    void expect(const WorkerId &worker, InstanceListVersion listedAt);
    /** Applies the platform's worker list, restricted to this shard's workers. */
    void setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers);

    /** @return true if every expected worker has been taken over or is known to be gone. */
    bool isResolved() const;
    /** @return the expected workers that are neither taken over nor known to be gone. */
    std::vector<WorkerId> unresolved() const;

    /** Queues a start command until sendStarts() is called. */
    void start(const WorkerId &worker, const StartCommand &command);
    /** Sends the start commands queued by start(), in one call per worker. */
    void sendStarts();
    /** Stops @p attempt, as soon as the worker has confirmed that it runs. */
    void stop(const WorkerId &worker, const AttemptRef &attempt, bool checkpoint);
    /** Lets the worker forget the end of @p attempt, which is recorded. */
    void acknowledge(const WorkerId &worker, const AttemptRef &attempt);

    /** @return the free capacity of each listed worker whose lease this owner holds. */
    std::vector<WorkerCapacity> workerCapacities() const;
    /** @return the resources of each team's attempts, from start command to definite end. */
    std::map<TeamId, Resources> usedByTeam() const;
    /** @return the workers whose lease is held now. */
    std::vector<HeldWorker> heldWorkers() const;
    std::optional<WorkerInfo> info(const WorkerId &worker) const;
    /** @return true if some listed worker is large enough for a task that needs @p need. */
    bool canEverHold(const Resources &need) const;

    /** Releases every lease, then calls @p done; tasks keep running for the orphan grace. */
    void releaseAll(std::function<void()> done);

private:
    struct Attempt
    {
        TeamId team;
        Resources resources;
        /** Lease epoch of the start command. */
        Epoch epoch;
        /** True once the worker has confirmed that the attempt runs. */
        bool isConfirmed = false;
        bool stopWanted = false;
        bool checkpoint = true;
        Instant stopSentAt;
    };
    struct Worker
    {
        WorkerInfo info;
        bool isListed = false;
        InstanceListVersion listedAt;
        /** Incremented whenever the worker has to refuse late commands. */
        uint64_t subEpoch = 0;
        Epoch grantedEpoch;
        std::optional<Instant> heldUntil;
        Instant heldSince;
        /** When the latest renewal was sent, whether or not it was answered. */
        std::optional<Instant> lastRenewalSentAt;
        /** True if a former owner may have tasks here. */
        bool isExpected = false;
        Instant expectedSince;
        /** True once no attempt of a former owner can run here unnoticed. */
        bool isResolved = false;
        /** Did not respond; only probes are sent, as a renewal might extend the lease unnoticed. */
        bool isUnresponsive = false;
        bool isCallInFlight = false;
        /** The next renewal raises the epoch and requests a list of everything that runs. */
        bool needsCompleteReport = true;
        std::map<AttemptRef, Attempt> attempts;
        /** Ends passed to the observer that the worker still keeps. */
        std::set<AttemptRef> reportedEnds;
        /** Recorded ends that the next renewal acknowledges. */
        std::set<AttemptRef> acknowledged;
        std::vector<StartCommand> pendingStarts;
        std::set<JobId> failedJobs;
        /** Length of the latest quarantine; zero after a success. */
        Duration quarantineTime{0};
        Instant quarantinedUntil;
    };

    void renew(const WorkerId &id);
    void probe(const WorkerId &id);
    void handleLeaseResult(const WorkerId &id, Instant askedAt, const LeaseRequest &request,
                           const LeaseResult &result);
    void applyReport(const WorkerId &id, const WorkerReport &report);
    void applyRunning(const WorkerId &id, const WorkerReport &report);
    void updateQuarantine(Worker &worker, const EndedAttempt &ended);
    void endUnreported(const WorkerId &id, const WorkerReport &report);
    void endAllAttempts(const WorkerId &id);
    void checkUnresponsive(const WorkerId &id);
    void renewLater(const WorkerId &id);
    void sendStops(Worker &worker);
    void handleStartResult(const WorkerId &id, const std::vector<AttemptRef> &attempts,
                           const StartResult &result);
    Epoch epochOf(const Worker &worker) const;
    /** @return how long a worker delays its response to a renewal unless a task ends. */
    Duration renewalWait() const { return m_settings.leaseTtl / 4; }

    WorkerLink &m_link;
    ScopedTimers m_timers;
    EntryId m_self;
    Settings m_settings;
    WorkerPoolObserver &m_observer;
    Epoch m_shardEpoch;
    InstanceListVersion m_listVersion;
    std::map<WorkerId, Worker> m_workers;
    bool m_isReleasing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
