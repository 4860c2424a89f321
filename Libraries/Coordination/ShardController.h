#pragma once

#include "Coordination/ActiveAttempts.h"
#include "Coordination/EscrowManager.h"
#include "Coordination/RecordWriter.h"
#include "Coordination/WorkerPool.h"
#include "Decision/ShardChoice.h"
#include "Decision/ShardScheduler.h"
#include "State/Configuration.h"
#include "Transport/ScopedTimers.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Cranberrymount {

/** Outcome of offering a move of tasks to another shard. */
enum class MoveOutcome {
    /** The target shard has recorded the move, now or on an earlier offer. */
    Accepted,
    /** The target shard may have recorded the move; it is offered again. */
    Unknown,
};

/** What a ShardController needs from the rest of the system. */
class ShardContext
{
public:
    virtual ~ShardContext() = default;

    virtual const Configuration &configuration() const = 0;
    /** @return true while there is recent evidence that no newer configuration was accepted. */
    virtual bool isConfigurationFresh() const = 0;
    /** @return active shards of other owners, in any zone that is in service. */
    virtual std::vector<ShardCandidate> otherShards() const = 0;
    /** Offers @p move to the owner of its target shard. */
    virtual void offerMove(const ShardId &from, const OutgoingMove &move,
                           std::function<void(MoveOutcome)> done) = 0;
};

/** Outcome of a job submission. */
enum class AdmissionOutcome {
    /** The job is recorded now. */
    Recorded,
    /** The same job was recorded before. */
    AlreadyRecorded,
    /** A different job with the same name is recorded. */
    NameTaken,
    /** The job is not recorded and will not be. */
    NotRun,
    /** The job may have been recorded. */
    Unknown,
};

/** A request to cancel a job. */
struct Cancellation
{
    JobId job;
    /** The job must belong to this team; empty matches any team. */
    TeamId team = {};
    /**
     * True if the job is known to exist. Each shard then remembers the cancellation, so that tasks
     * of the job that a move brings later are cancelled too.
     */
    bool known = false;
};

/** State of one task, as the status and explain calls show it. */
struct TaskView
{
    uint32_t index = 0;
    /** "waiting", "starting", "running", "done", "failed", "cancelled" or "moving". */
    std::string state;
    WorkerId worker;
    uint32_t failures = 0;
};

/** One job with its tasks on one shard. */
struct JobView
{
    JobSpec spec;
    ShardId shard;
    bool cancelled = false;
    std::vector<TaskView> tasks;
    /** Why waiting tasks of the job, if there are any, do not start; may be empty. */
    std::string waitReason;
    /** Latest decisions about the job, oldest first. */
    std::vector<std::string> history;
};

/** Figures of one shard, for status calls, heartbeats and the placement of new jobs. */
struct ShardStatus
{
    ShardId shard;
    Epoch epoch;
    bool isActive = false;
    std::size_t workers = 0;
    Resources free;
    Resources capacity;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t recordBytes = 0;
    /** Workers that keep the shard from becoming active after a takeover. */
    std::vector<WorkerId> unresolved;
};

/**
 * Schedules one shard: takes over its workers, starts tasks, records how tasks end and moves
 * waiting tasks to other shards.
 *
 * After a takeover no task starts until every worker in the record's roster has been taken over or
 * is known to be gone, since only the workers know which attempts run. From then on a task starts
 * only if it is open in the record and has no active attempt.
 */
class ShardController : private WorkerPoolObserver
{
public:
    struct Settings
    {
        WorkerPool::Settings pool;
        RecordWriter::Settings record;
        EscrowManager::Settings escrow;
        ShardScheduler::Settings scheduler;
        /** A submission is answered within this time, if need be with Unknown. */
        Duration admissionTimeout{2000};
        /** A task that failed this often is not retried, unless its job is a service. */
        uint32_t maxFailures = 3;
        /** Ended jobs are removed from the record after this time. */
        Duration retention{3'600'000};
    };

    ShardController(Store &store, WorkerLink &link, TimerService &timers, ShardContext &context,
                    ShardId shard, ZoneId zone, EntryId self, Settings settings);

    /** Takes over the shard's record under @p epoch, then its workers. */
    void takeOver(Epoch epoch);
    /** Continues under a higher epoch, after this owner has acquired the shard's key again. */
    void raiseEpoch(Epoch epoch);
    /** Releases the workers once pending writes have ended, then calls @p done. */
    void releaseAll(std::function<void()> done);
    /** Releases the workers without waiting for the store, after the shard was lost. */
    void resign(std::function<void()> done);
    /** Sets what is called when another owner has taken over the shard. */
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }

    /** Applies the platform's worker list, restricted to this shard's workers. */
    void setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers);
    void configurationChanged();

    /** Records a new job, or recognises a repeated submission of a recorded one. */
    void admit(const JobSpec &spec, std::function<void(AdmissionOutcome)> done);
    /**
     * Cancels a job's tasks on this shard.
     * @param done gets true once the cancellation is recorded, false if it cannot be confirmed.
     * @return true if this shard has tasks of the job or is moving some of them away.
     */
    bool cancel(const Cancellation &wanted, std::function<void(bool)> done);
    /** Records the tasks that @p from moves here; a repeated offer changes nothing. */
    void acceptMove(const ShardId &from, const OutgoingMove &move,
                    std::function<void(MoveOutcome)> done);

    std::vector<JobView> jobs() const;
    std::optional<JobView> job(const JobId &id) const;
    ShardStatus status() const;
    bool isActive() const { return m_isActive; }
    const ShardId &shard() const { return m_shard; }
    Epoch epoch() const { return m_epoch; }
    const WorkerPool &pool() const { return m_pool; }

private:
    /** What the owner knows about a job beyond its record; lost when another owner takes over. */
    struct JobRuntimeState
    {
        Instant waitingSince;
        Instant retryAt;
        unsigned failuresInRow = 0;
        std::optional<WaitReason> reason;
        std::deque<std::string> history;
        std::optional<Instant> endedSince;
        /** Moving average over successful attempts, weighted towards the latest. */
        std::optional<Duration> runTime;
    };

    void attemptConfirmed(const RunningAttempt &attempt, const WorkerId &worker) override;
    void attemptEnded(const EndedAttempt &ended, const WorkerId &worker, bool reported) override;
    void poolChanged() override;

    void recordTakenOver();
    void tick();
    void becomeActiveIfResolved();
    void addHeldWorkersToRoster();
    void schedule();
    void applyDecision(const ShardDecision &decision);
    ShardView view() const;
    std::optional<WaitingGroup> waitingGroup(const JobPortion &portion) const;
    std::vector<RunningTask> runningTasks() const;
    bool mayStart() const;
    bool isZoneUnavailable() const;
    void updateEscrow();
    void enforceSlices();
    void stopCancelledJobs();
    void evacuateZone();
    void moveWaitingTasks();
    void moveTasksOut(const JobId &job, std::size_t count, const ShardId &target);
    void offerMoves();
    void handleMoveOutcome(const ShardId &target, uint64_t sequence, MoveOutcome answer);
    void forgetEndedJobs();
    void stopGang(const JobId &job);

    bool isOpen(const TaskId &id) const;
    TaskRecord &editTask(const TaskId &id);
    void recordOutcome(const TaskId &id, AttemptOutcome outcome);
    void updateRunTimeEstimate(const JobId &job, const ActiveAttempt &active);
    void taskFailed(const TaskId &id);
    void updateWaitingSince(const JobId &job);
    void finishCancelled(const JobId &job);
    bool isCancelled(const JobId &job) const;
    void addHistory(const JobId &job, const std::string &event);
    std::vector<uint32_t> waitingIndexes(const JobPortion &portion) const;
    std::size_t countWaiting(const JobPortion &portion) const;
    void stopTask(const TaskId &id, bool checkpoint);

    ScopedTimers m_timers;
    ShardContext &m_context;
    ShardId m_shard;
    ZoneId m_zone;
    EntryId m_self;
    Settings m_settings;
    RecordWriter m_record;
    EscrowManager m_escrow;
    WorkerPool m_pool;
    ShardScheduler m_scheduler;
    std::function<void()> m_onLost;
    Epoch m_epoch;
    InstanceListVersion m_listVersion;
    bool m_isRecordTakenOver = false;
    bool m_isActive = false;
    bool m_isReleasing = false;
    bool m_isScheduleQueued = false;
    uint64_t m_attemptCount = 0;
    ActiveAttempts m_activeAttempts;
    std::map<JobId, JobRuntimeState> m_jobStates;
    /** Moving average over all jobs, used for jobs without a run time of their own. */
    std::optional<Duration> m_meanRunTime;
    /** Workers whose roster entry has been written to the store. */
    std::set<WorkerId> m_recordedWorkers;
    /** Target shards with an offer in flight, or waiting to be repeated. */
    std::set<ShardId> m_offersInFlight;
    Instant m_lastMoveAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
