#pragma once

#include "Coordination/EscrowKeeper.h"
#include "Coordination/LiveTasks.h"
#include "Coordination/RecordWriter.h"
#include "Coordination/WorkerPool.h"
#include "Decision/ShardChoice.h"
#include "Decision/ShardScheduler.h"
#include "State/Configuration.h"
#include "Transport/GuardedTimers.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Cranberrymount {

/** What became of a portion that was offered to another shard. */
enum class MoveOutcome {
    /** Recorded by the target, now or before. */
    Accepted,
    Unknown,
};

/** What a shard keeper sees of the rest of the system. */
class ShardContext
{
public:
    virtual ~ShardContext() = default;

    virtual const Configuration &configuration() const = 0;
    /** @return true while there is recent evidence that no newer configuration was accepted. */
    virtual bool isConfigurationFresh() const = 0;
    /** @return the shards of other zones and owners that may take work now. */
    virtual std::vector<ShardCandidate> otherShards() const = 0;
    virtual void offerMove(const ShardId &from, const OutgoingMove &move,
                           std::function<void(MoveOutcome)> done) = 0;
};

/** What became of a submitted job. */
enum class AdmissionOutcome {
    Recorded,
    /** The same job was recorded before. */
    AlreadyRecorded,
    /** A different job of that name is recorded. */
    NameTaken,
    /** Not recorded, and never will be. */
    NotRun,
    /** May have been recorded. */
    Unknown,
};

/** Which job is to be cancelled. */
struct Cancellation
{
    JobId job;
    /** Only a job of this team counts; empty for any. */
    TeamId team = {};
    /** The job exists, so that tasks of it that are still on their way to a shard end too. */
    bool known = false;
};

/** Where one task is, for status and explain. */
struct TaskView
{
    uint32_t index = 0;
    /** "waiting", "starting", "running", "done", "failed", "cancelled" or "moving". */
    std::string state;
    WorkerId worker;
    uint32_t failures = 0;
};

/** One job as one shard sees it. */
struct JobView
{
    JobSpec spec;
    ShardId shard;
    bool cancelled = false;
    std::vector<TaskView> tasks;
    /** Why tasks wait; empty if none does. */
    std::string waitReason;
    /** Latest decisions about the job, oldest first. */
    std::vector<std::string> history;
};

/** Counts that a shard shows. */
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
    std::vector<WorkerId> unresolved;
};

/**
 * Runs one shard: takes its workers over, starts tasks, records ends, moves work to other shards.
 *
 * After a take-over no task starts until every worker in the record's roster was taken over or is
 * known to be gone, since only the workers know what runs. From then on a task starts only if it
 * is open in the record and no attempt of it is alive.
 */
class ShardKeeper : private WorkerPoolObserver
{
public:
    struct Settings
    {
        WorkerPool::Settings pool;
        RecordWriter::Settings record;
        EscrowKeeper::Settings escrow;
        ShardScheduler::Settings scheduler;
        /** A submitter is answered within this time. */
        Duration admissionTimeout{2000};
        /** A task that failed this often is not tried again. */
        uint32_t maxFailures = 3;
        /** Ended jobs are forgotten after this time. */
        Duration retention{3'600'000};
    };

    ShardKeeper(Store &store, WorkerLink &link, TimerService &timers, ShardContext &context,
                ShardId shard, ZoneId zone, EntryId self, Settings settings);

    void takeOver(Epoch epoch);
    /** The owner got the shard back under a higher epoch before anyone else had it. */
    void raiseEpoch(Epoch epoch);
    /** Hands workers and shard back; @p done is called when nothing is held any more. */
    void handBack(std::function<void()> done);
    /** Gives the workers back without waiting for the store, after the shard was lost. */
    void resign(std::function<void()> done);
    /** Called when another owner has taken the shard over. */
    void onLost(std::function<void()> callback) { m_onLost = std::move(callback); }

    void setListed(ListVersion version, const std::vector<WorkerInfo> &workers);
    void configurationChanged();

    void admit(const JobSpec &spec, std::function<void(AdmissionOutcome)> done);
    /**
     * Cancels a job here; @p done tells whether that is recorded.
     * @return true if tasks of it are here or leave from here.
     */
    bool cancel(const Cancellation &wanted, std::function<void(bool)> done);
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
    /** What is known of a job beside its record; rebuilt after a take-over. */
    struct JobRuntimeState
    {
        Instant waitingSince;
        Instant retryAt;
        unsigned failuresInRow = 0;
        std::optional<WaitReason> reason;
        std::deque<std::string> history;
        std::optional<Instant> endedSince;
        /** Mean of the attempts that ended well, the latest weighing most. */
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
    std::optional<WaitingGroup> waitingGroup(const Portion &portion) const;
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
    void updateRunTimeEstimate(const JobId &job, const LiveTask &live);
    void taskFailed(const TaskId &id);
    void updateWaitingSince(const JobId &job);
    void finishCancelled(const JobId &job);
    bool isCancelled(const JobId &job) const;
    void addHistory(const JobId &job, const std::string &event);
    std::vector<uint32_t> waitingIndexes(const Portion &portion) const;
    std::size_t countWaiting(const Portion &portion) const;
    void stopTask(const TaskId &id, bool checkpoint);

    GuardedTimers m_timers;
    ShardContext &m_context;
    ShardId m_shard;
    ZoneId m_zone;
    EntryId m_self;
    Settings m_settings;
    RecordWriter m_record;
    EscrowKeeper m_escrow;
    WorkerPool m_pool;
    ShardScheduler m_scheduler;
    std::function<void()> m_onLost;
    Epoch m_epoch;
    ListVersion m_listVersion;
    bool m_isRecordTakenOver = false;
    bool m_isActive = false;
    bool m_isReleasing = false;
    bool m_isScheduleQueued = false;
    uint64_t m_attemptCount = 0;
    LiveTasks m_live;
    std::map<JobId, JobRuntimeState> m_jobStates;
    /** Over all jobs, for those of which no task has ended yet. */
    std::optional<Duration> m_meanRunTime;
    /** Workers whose place in the roster is in the store. */
    std::set<WorkerId> m_recordedWorkers;
    std::set<ShardId> m_offersInFlight;
    Instant m_lastMoveAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
