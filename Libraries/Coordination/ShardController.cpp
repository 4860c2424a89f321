#include "Coordination/ShardController.h"

#include "Protocol/Json.h"
#include "State/StateError.h"
#include "Transport/FirstCallOnly.h"

#include <glog/logging.h>

#include <algorithm>
#include <ctime>

namespace Cranberrymount {

namespace {

constexpr Duration TickPeriod{100};
constexpr Duration MovePeriod{200};
constexpr Duration MaxJobBackoff{60'000};
constexpr Duration FirstJobBackoff{200};
/** Waiting tasks of one job that one scheduling pass considers. */
constexpr std::size_t MaxGroupSize = 256;
constexpr std::size_t MaxHistoryEntries = 24;
/** Tasks that one move takes out of a zone that is out of service. */
constexpr std::size_t MaxMoveSize = 512;
/** Admissions that a shard remembers to recognise repeated submissions. */
constexpr std::size_t MaxAdmitted = 1024;
/** Cancellations that a shard remembers for tasks that later moves bring to it. */
constexpr std::size_t MaxCancelled = 1024;
/** Low bits of an attempt number, which count within one shard epoch. */
constexpr unsigned AttemptBits = 24;

bool isGang(const JobSpec &spec)
{
    return std::holds_alternative<GangPolicy>(spec.policy);
}

bool isService(const JobSpec &spec)
{
    return std::holds_alternative<ServicePolicy>(spec.policy);
}

std::size_t countOpen(const JobPortion &portion)
{
    return std::count_if(portion.tasks.begin(), portion.tasks.end(),
                         [](const TaskRecord &task) { return task.phase == TaskPhase::Open; });
}

bool hasOpenTask(const JobPortion &portion)
{
    return std::any_of(portion.tasks.begin(), portion.tasks.end(),
                       [](const TaskRecord &task) { return task.phase == TaskPhase::Open; });
}

const char *phaseName(TaskPhase phase)
{
    switch (phase) {
    case TaskPhase::Open:
        return "waiting";
    case TaskPhase::Done:
        return "done";
    case TaskPhase::Failed:
        return "failed";
    case TaskPhase::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace

ShardController::ShardController(Store &store, WorkerLink &link, TimerService &timers,
                                 ShardContext &context, ShardId shard, ZoneId zone, EntryId self,
                                 Settings settings)
    : m_timers(timers)
    , m_context(context)
    , m_shard(std::move(shard))
    , m_zone(std::move(zone))
    , m_self(std::move(self))
    , m_settings(settings)
    , m_record(store, timers, m_shard, settings.record)
    , m_escrow(store, timers, m_shard, settings.escrow)
    , m_pool(link, timers, m_self, settings.pool, *this)
    , m_scheduler(settings.scheduler)
{
    m_record.onLost([this] {
        m_isActive = false;
        if (m_onLost)
            m_onLost();
    });
}

void ShardController::takeOver(Epoch epoch)
{
    m_epoch = epoch;
    m_record.takeOver(epoch, [this] { recordTakenOver(); });
}

void ShardController::recordTakenOver()
{
    m_isRecordTakenOver = true;
    const Instant now = m_timers.now();
    for (const auto &[worker, version] : m_record.record().roster) {
        m_pool.expect(worker, version);
        m_recordedWorkers.insert(worker);
    }
    for (const auto &[job, portion] : m_record.record().portions) {
        m_jobStates[job].waitingSince = now;
        addHistory(job, "shard taken over by " + m_self.value());
    }
    m_escrow.setLimits(m_context.configuration());
    m_pool.takeOver(m_epoch);
    tick();
}

void ShardController::raiseEpoch(Epoch epoch)
{
    m_epoch = epoch;
    m_record.raiseEpoch(epoch);
    // Another owner may have held the shard in the meantime. Only a successful write to the record
    // rules that out; until then no lease is requested under the new epoch.
    m_record.whenRecorded([this, epoch, alive = std::weak_ptr(m_alive)](bool recorded) {
        if (recorded && !alive.expired())
            m_pool.raiseEpoch(epoch);
    });
}

void ShardController::releaseAll(std::function<void()> done)
{
    m_isReleasing = true;
    m_record.whenRecorded(
        [this, done = std::move(done), alive = std::weak_ptr(m_alive)](bool) mutable {
            if (!alive.expired())
                m_pool.releaseAll(std::move(done));
        });
}

void ShardController::resign(std::function<void()> done)
{
    m_isReleasing = true;
    m_isActive = false;
    m_record.abandon();
    m_pool.releaseAll(std::move(done));
}

void ShardController::setListed(InstanceListVersion version, const std::vector<WorkerInfo> &workers)
{
    m_listVersion = version;
    m_pool.setListed(version, workers);
}

void ShardController::configurationChanged()
{
    m_escrow.setLimits(m_context.configuration());
    poolChanged();
}

void ShardController::tick()
{
    if (m_isReleasing)
        return;
    becomeActiveIfResolved();
    addHeldWorkersToRoster();
    if (m_isActive) {
        updateEscrow();
        enforceSlices();
        stopCancelledJobs();
        evacuateZone();
        schedule();
        moveWaitingTasks();
        offerMoves();
        forgetEndedJobs();
    }
    m_timers.after(TickPeriod, [this] { tick(); });
}

void ShardController::becomeActiveIfResolved()
{
    if (m_isActive || !m_isRecordTakenOver || m_listVersion == InstanceListVersion())
        return;
    m_isActive = m_pool.isResolved();
}

/** A worker gets tasks only once the stored roster has it, so that later owners take it over. */
void ShardController::addHeldWorkersToRoster()
{
    std::vector<WorkerId> added;
    for (const HeldWorker &worker : m_pool.heldWorkers()) {
        if (!m_record.record().roster.contains(worker.info.id))
            added.push_back(worker.info.id);
    }
    if (added.empty() || !m_isRecordTakenOver)
        return;
    for (const WorkerId &worker : added)
        m_record.edit().roster[worker] = m_listVersion;
    // Workers that are no longer on the platform's list cannot run tasks any more.
    std::erase_if(m_record.edit().roster,
                  [this](const auto &item) { return !m_pool.info(item.first); });
    m_record.whenRecorded([this, added, alive = std::weak_ptr(m_alive)](bool recorded) {
        if (recorded && !alive.expired())
            m_recordedWorkers.insert(added.begin(), added.end());
    });
}

bool ShardController::isZoneUnavailable() const
{
    return m_context.configuration().zonesOutOfService.contains(m_zone);
}

bool ShardController::mayStart() const
{
    return m_isActive && !m_isReleasing && !isZoneUnavailable() && m_context.isConfigurationFresh();
}

std::vector<uint32_t> ShardController::waitingIndexes(const JobPortion &portion) const
{
    const ActiveAttempts::AttemptsByTask &active = m_activeAttempts.of(portion.spec.id);
    std::vector<uint32_t> indexes;
    for (const TaskRecord &task : portion.tasks) {
        if (task.phase == TaskPhase::Open && !active.contains(task.index))
            indexes.push_back(task.index);
    }
    return indexes;
}

std::size_t ShardController::countWaiting(const JobPortion &portion) const
{
    const ActiveAttempts::AttemptsByTask &active = m_activeAttempts.of(portion.spec.id);
    return std::count_if(portion.tasks.begin(), portion.tasks.end(), [&](const TaskRecord &task) {
        return task.phase == TaskPhase::Open && !active.contains(task.index);
    });
}

std::optional<WaitingGroup> ShardController::waitingGroup(const JobPortion &portion) const
{
    const JobSpec &spec = portion.spec;
    const auto jobState = m_jobStates.find(spec.id);
    if (portion.cancelled || jobState == m_jobStates.end()
        || jobState->second.retryAt > m_timers.now())
        return std::nullopt;
    WaitingGroup group{spec.id, spec.team, spec.policy, spec.perTask, waitingIndexes(portion)};
    if (group.indexes.empty())
        return std::nullopt;
    // A gang starts only when all of its tasks that have not ended are waiting.
    if (isGang(spec) && group.indexes.size() != countOpen(portion))
        return std::nullopt;
    if (!isGang(spec) && group.indexes.size() > MaxGroupSize)
        group.indexes.resize(MaxGroupSize);
    group.urgent = spec.urgent;
    group.since = jobState->second.waitingSince;
    group.runTime = jobState->second.runTime;
    const auto declared = m_context.configuration().deadlines.find(spec.id);
    group.deadline =
        declared == m_context.configuration().deadlines.end() ? spec.deadline : declared->second;
    if (!isService(spec))
        return group;
    for (const auto &[index, active] : m_activeAttempts.of(spec.id)) {
        if (const auto info = m_pool.info(active.worker))
            ++group.runningByRack[info->rack];
    }
    return group;
}

std::vector<RunningTask> ShardController::runningTasks() const
{
    std::vector<RunningTask> running;
    for (const auto &[job, attemptsOfJob] : m_activeAttempts.all()) {
        const auto portion = m_record.record().portions.find(job);
        if (portion == m_record.record().portions.end())
            continue;
        const JobSpec &spec = portion->second.spec;
        const auto jobState = m_jobStates.find(job);
        const bool hasOwnRunTime = jobState != m_jobStates.end() && jobState->second.runTime;
        const auto runTime = hasOwnRunTime ? jobState->second.runTime : m_meanRunTime;
        for (const auto &[index, active] : attemptsOfJob) {
            if (!active.isConfirmed)
                continue;
            RunningTask task{{job, index}, spec.team, active.worker, spec.perTask,
                             spec.urgent,  false,     active.since};
            task.isBatch = std::holds_alternative<BatchPolicy>(spec.policy);
            task.isService = isService(spec);
            task.isStopping = active.isStopping;
            if (runTime)
                task.expectedEnd = active.since + *runTime;
            running.push_back(std::move(task));
        }
    }
    return running;
}

ShardView ShardController::view() const
{
    ShardView view;
    view.now = m_timers.now();
    view.workers = m_pool.workerCapacities();
    for (WorkerCapacity &available : view.workers)
        available.usable = available.usable && m_recordedWorkers.contains(available.id);
    for (const auto &[job, portion] : m_record.record().portions) {
        if (auto group = waitingGroup(portion))
            view.waiting.push_back(std::move(*group));
    }
    const auto used = m_pool.usedByTeam();
    for (const auto &[id, team] : m_context.configuration().teams) {
        const auto found = used.find(id);
        view.teams[id] = {team.share, found == used.end() ? Resources() : found->second,
                          m_escrow.slice(id)};
    }
    if (!view.waiting.empty())
        view.running = runningTasks();
    return view;
}

void ShardController::schedule()
{
    if (!mayStart())
        return;
    const ShardView current = view();
    if (current.waiting.empty())
        return;
    applyDecision(m_scheduler.decide(current));
}

void ShardController::applyDecision(const ShardDecision &decision)
{
    const Instant now = m_timers.now();
    for (auto &[job, jobState] : m_jobStates)
        jobState.reason.reset();
    for (const auto &[job, reason] : decision.reasons)
        m_jobStates[job].reason = reason;
    for (const Placement &placement : decision.placements) {
        // Whatever the policy decides, a task that has ended or has an active attempt never starts.
        if (m_activeAttempts.find(placement.task) || !isOpen(placement.task))
            continue;
        const JobSpec &spec = m_record.record().portions.at(placement.task.job).spec;
        const AttemptId attempt((m_epoch.value() << AttemptBits) + ++m_attemptCount);
        m_activeAttempts.set(placement.task, {placement.worker, attempt, false, now});
        m_pool.start(placement.worker,
                     {placement.task, attempt, spec.team, spec.perTask, spec.payload});
        addHistory(placement.task.job,
                   "task " + std::to_string(placement.task.index) + " placed on "
                       + placement.worker.value());
    }
    m_pool.sendStarts();
    for (const TaskId &task : decision.checkpoints) {
        addHistory(task.job,
                   "task " + std::to_string(task.index)
                       + " checkpointed to free capacity for other work");
        stopTask(task, true);
    }
}

void ShardController::stopTask(const TaskId &id, bool checkpoint)
{
    ActiveAttempt *active = m_activeAttempts.find(id);
    if (!active)
        return;
    active->isStopping = true;
    m_pool.stop(active->worker, {id, active->attempt}, checkpoint);
}

void ShardController::attemptConfirmed(const RunningAttempt &attempt, const WorkerId &worker)
{
    ActiveAttempt *active = m_activeAttempts.find(attempt.task);
    if (active && active->attempt == attempt.attempt) {
        active->isConfirmed = true;
        return;
    }
    // After a takeover the workers report the attempts that the former owner started.
    if (isOpen(attempt.task) && !active) {
        m_activeAttempts.set(attempt.task, {worker, attempt.attempt, true, m_timers.now(), false});
        return;
    }
    m_pool.stop(worker, {attempt.task, attempt.attempt}, false);
}

void ShardController::attemptEnded(const EndedAttempt &ended, const WorkerId &worker, bool reported)
{
    const AttemptRef ref{ended.task, ended.attempt};
    const ActiveAttempt *active = m_activeAttempts.find(ended.task);
    const bool isCurrent = active && active->attempt == ended.attempt;
    if (isCurrent) {
        if (ended.outcome == AttemptOutcome::Done)
            updateRunTimeEstimate(ended.task.job, *active);
        m_activeAttempts.erase(ended.task);
    }
    const bool counts = isOpen(ended.task) && (isCurrent || ended.outcome == AttemptOutcome::Done);
    if (counts) {
        // A success counts even if the task has been started again; the new attempt stops.
        if (!isCurrent)
            stopTask(ended.task, false);
        recordOutcome(ended.task, ended.outcome);
    }
    if (!reported)
        return;
    m_record.whenRecorded([this, worker, ref, alive = std::weak_ptr(m_alive)](bool recorded) {
        if (recorded && !alive.expired())
            m_pool.acknowledge(worker, ref);
    });
}

void ShardController::updateRunTimeEstimate(const JobId &job, const ActiveAttempt &active)
{
    const auto jobState = m_jobStates.find(job);
    if (!active.isStartKnown || jobState == m_jobStates.end())
        return;
    constexpr int Weight = 4;
    const auto ran = std::chrono::duration_cast<Duration>(m_timers.now() - active.since);
    for (auto *mean : {&jobState->second.runTime, &m_meanRunTime})
        *mean = *mean ? **mean + (ran - **mean) / Weight : ran;
}

void ShardController::recordOutcome(const TaskId &id, AttemptOutcome outcome)
{
    const JobPortion &portion = m_record.record().portions.at(id.job);
    if (portion.cancelled) {
        editTask(id).phase =
            outcome == AttemptOutcome::Done ? TaskPhase::Done : TaskPhase::Cancelled;
        return;
    }
    switch (outcome) {
    case AttemptOutcome::Done:
        m_jobStates[id.job].failuresInRow = 0;
        if (!isService(portion.spec)) {
            editTask(id).phase = TaskPhase::Done;
            return;
        }
        addHistory(id.job, "replica " + std::to_string(id.index) + " ended and is replaced");
        break;
    case AttemptOutcome::Failed:
        taskFailed(id);
        break;
    case AttemptOutcome::Stopped:
        addHistory(id.job, "task " + std::to_string(id.index) + " stopped and waits again");
        break;
    }
    updateWaitingSince(id.job);
    if (isGang(portion.spec))
        stopGang(id.job);
}

void ShardController::updateWaitingSince(const JobId &job)
{
    const bool isFirst = countWaiting(m_record.record().portions.at(job)) <= 1;
    if (isFirst)
        m_jobStates[job].waitingSince = m_timers.now();
}

void ShardController::taskFailed(const TaskId &id)
{
    JobRuntimeState &jobState = m_jobStates[id.job];
    TaskRecord &task = editTask(id);
    ++task.failures;
    ++jobState.failuresInRow;
    // The backoff doubles once per round of as many failures as the job has tasks, so that it does
    // not grow faster for jobs with many tasks.
    const std::size_t tasks = m_record.record().portions.at(id.job).tasks.size();
    const auto rounds =
        static_cast<uint32_t>(jobState.failuresInRow / std::max<std::size_t>(tasks, 1));
    jobState.retryAt = m_timers.now() + exponentialBackoff(FirstJobBackoff, rounds, MaxJobBackoff);
    addHistory(id.job,
               "task " + std::to_string(task.index) + " failed, failure "
                   + std::to_string(task.failures));
    if (task.failures >= m_settings.maxFailures
        && !isService(m_record.record().portions.at(id.job).spec))
        task.phase = TaskPhase::Failed;
}

void ShardController::stopGang(const JobId &job)
{
    const JobPortion &portion = m_record.record().portions.at(job);
    const bool hasFailed =
        std::any_of(portion.tasks.begin(), portion.tasks.end(),
                    [](const TaskRecord &task) { return task.phase == TaskPhase::Failed; });
    if (hasFailed)
        m_record.edit().portions.at(job).cancelled = true;
    for (const TaskRecord &task : portion.tasks)
        stopTask({job, task.index}, true);
}

bool ShardController::isOpen(const TaskId &id) const
{
    const auto portion = m_record.record().portions.find(id.job);
    if (portion == m_record.record().portions.end())
        return false;
    const TaskRecord *task = portion->second.find(id.index);
    return task && task->phase == TaskPhase::Open;
}

TaskRecord &ShardController::editTask(const TaskId &id)
{
    TaskRecord *task = m_record.edit().portions.at(id.job).find(id.index);
    if (!task)
        throw StateError("task " + std::to_string(id.index) + " of job " + id.job.value()
                         + " is not in the shard's record");
    return *task;
}

void ShardController::poolChanged()
{
    if (m_isScheduleQueued || !m_isActive)
        return;
    m_isScheduleQueued = true;
    m_timers.after(Duration(1), [this] {
        m_isScheduleQueued = false;
        updateEscrow();
        schedule();
    });
}

void ShardController::updateEscrow()
{
    Resources free;
    for (const WorkerCapacity &available : m_pool.workerCapacities())
        free += available.free.clampedToZero();
    const auto used = m_pool.usedByTeam();
    std::map<TeamId, Resources> waiting;
    for (const auto &[job, portion] : m_record.record().portions) {
        if (portion.cancelled)
            continue;
        const auto count = static_cast<int64_t>(countWaiting(portion));
        waiting[portion.spec.team] += portion.spec.perTask.times(count);
    }
    const bool isUnavailable = isZoneUnavailable();
    for (const auto &[id, team] : m_context.configuration().teams) {
        const auto found = used.find(id);
        const Resources now = found == used.end() ? Resources() : found->second;
        const Resources more = isUnavailable ? Resources() : waiting[id].cappedAt(free);
        m_escrow.update(id, now, now + more);
    }
}

/**
 * Checkpoints tasks of teams that exceed their slice after a limit was lowered: batch tasks first,
 * then the latest started.
 */
void ShardController::enforceSlices()
{
    for (auto [team, used] : m_pool.usedByTeam()) {
        const Resources slice = m_escrow.slice(team);
        if (used.fitsIn(slice) || !m_context.configuration().teams.contains(team))
            continue;
        std::vector<RunningTask> tasks = runningTasks();
        std::erase_if(tasks, [&team = team](const auto &task) { return task.team != team; });
        std::sort(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
            return std::tie(right.isBatch, right.since) < std::tie(left.isBatch, left.since);
        });
        for (const RunningTask &task : tasks) {
            if (used.fitsIn(slice))
                break;
            used -= task.resources;
            stopTask(task.task, true);
        }
    }
}

void ShardController::stopCancelledJobs()
{
    std::vector<JobId> cancelled;
    for (const auto &[job, portion] : m_record.record().portions) {
        if (portion.cancelled && hasOpenTask(portion))
            cancelled.push_back(job);
    }
    for (const JobId &job : cancelled)
        finishCancelled(job);
}

void ShardController::finishCancelled(const JobId &job)
{
    std::vector<TaskId> idle;
    for (const TaskRecord &task : m_record.record().portions.at(job).tasks) {
        if (task.phase != TaskPhase::Open)
            continue;
        if (m_activeAttempts.find({job, task.index}))
            stopTask({job, task.index}, false);
        else
            idle.push_back({job, task.index});
    }
    for (const TaskId &id : idle)
        editTask(id).phase = TaskPhase::Cancelled;
}

void ShardController::evacuateZone()
{
    if (!isZoneUnavailable())
        return;
    for (const auto &[job, attemptsOfJob] : m_activeAttempts.all()) {
        for (const auto &[index, active] : attemptsOfJob)
            m_pool.stop(active.worker, {{job, index}, active.attempt}, true);
    }
}

/**
 * Moves waiting tasks to shards that can start them at once, or out of a zone that is out of
 * service.
 */
void ShardController::moveWaitingTasks()
{
    const Instant now = m_timers.now();
    if (now - m_lastMoveAt < MovePeriod)
        return;
    m_lastMoveAt = now;
    // A move needs the store; without it the tasks stay where they can still start.
    if (!m_record.isHealthy())
        return;
    std::vector<ShardCandidate> others = m_context.otherShards();
    // One pending move per target shard, since its heartbeat does not show tasks in transit.
    std::erase_if(others, [this](const auto &shard) {
        const auto &outgoing = m_record.record().outgoing;
        return std::any_of(outgoing.begin(), outgoing.end(), [&shard](const OutgoingMove &move) {
            return move.target == shard.shard;
        });
    });
    if (others.empty())
        return;
    const bool isUnavailable = isZoneUnavailable();
    std::vector<std::pair<JobId, std::size_t>> waiting;
    for (const auto &[job, portion] : m_record.record().portions) {
        const std::size_t count = countWaiting(portion);
        const bool isWhole = count == countOpen(portion);
        if (count == 0 || portion.cancelled || (isGang(portion.spec) && !isWhole))
            continue;
        const auto &jobState = m_jobStates[job];
        // Tasks of a team at its limit would wait on any shard.
        const bool cannotStartHere = jobState.reason && *jobState.reason != WaitReason::TeamLimit;
        if (isUnavailable || cannotStartHere)
            waiting.emplace_back(job, count);
    }
    for (const auto &[job, count] : waiting) {
        const JobSpec spec = m_record.record().portions.at(job).spec;
        const auto target = chooseHome(others, spec.perTask, static_cast<uint32_t>(count));
        const auto chosen = std::find_if(others.begin(), others.end(), [&](const auto &shard) {
            return target && shard.shard == *target;
        });
        if (chosen == others.end())
            return;
        const auto available = static_cast<std::size_t>(spec.perTask.countFittingIn(chosen->free));
        const bool fitsNow = chosen->waitingTasks == 0 && available > 0;
        std::size_t moved =
            isUnavailable ? std::min(count, MaxMoveSize) : std::min(count, available);
        if (isGang(spec))
            moved = isUnavailable || available >= count ? count : 0;
        if (moved == 0 || (!isUnavailable && !fitsNow))
            continue;
        moveTasksOut(job, moved, chosen->shard);
        chosen->free -= spec.perTask.times(static_cast<int64_t>(moved));
    }
}

void ShardController::moveTasksOut(const JobId &job, std::size_t count, const ShardId &target)
{
    ShardRecord &record = m_record.edit();
    JobPortion &portion = record.portions.at(job);
    OutgoingMove move;
    move.sequence = ++record.lastSent[target];
    move.target = target;
    move.portion.spec = portion.spec;
    std::erase_if(portion.tasks, [&](const TaskRecord &task) {
        if (move.portion.tasks.size() >= count || task.phase != TaskPhase::Open
            || m_activeAttempts.find({job, task.index}))
            return false;
        move.portion.tasks.push_back(task);
        return true;
    });
    addHistory(job, std::to_string(move.portion.tasks.size()) + " tasks move to " + target.value());
    record.outgoing.push_back(std::move(move));
    if (portion.tasks.empty())
        record.portions.erase(job);
}

void ShardController::offerMoves()
{
    for (const OutgoingMove &move : m_record.record().outgoing) {
        if (!m_offersInFlight.insert(move.target).second)
            continue;
        // Offered only once the stored record shows that the tasks have left this shard.
        m_record.whenRecorded([this, move, alive = std::weak_ptr(m_alive)](bool recorded) {
            if (alive.expired())
                return;
            if (!recorded)
                return handleMoveOutcome(move.target, move.sequence, MoveOutcome::Unknown);
            m_context.offerMove(m_shard, move, [this, move, alive](MoveOutcome answer) {
                if (!alive.expired())
                    handleMoveOutcome(move.target, move.sequence, answer);
            });
        });
    }
}

void ShardController::handleMoveOutcome(const ShardId &target, uint64_t sequence,
                                        MoveOutcome answer)
{
    if (answer == MoveOutcome::Unknown) {
        m_timers.after(Duration(500), [this, target] { m_offersInFlight.erase(target); });
        return;
    }
    m_offersInFlight.erase(target);
    std::erase_if(m_record.edit().outgoing, [&](const OutgoingMove &move) {
        return move.target == target && move.sequence == sequence;
    });
}

void ShardController::acceptMove(const ShardId &from, const OutgoingMove &move,
                                 std::function<void(MoveOutcome)> done)
{
    if (!m_isRecordTakenOver || m_isReleasing)
        return done(MoveOutcome::Unknown);
    const auto answer = [done = std::move(done)](MoveOutcome wanted) {
        return [done, wanted](bool recorded) { done(recorded ? wanted : MoveOutcome::Unknown); };
    };
    const auto last = m_record.record().lastReceived.find(from);
    if (last != m_record.record().lastReceived.end() && last->second >= move.sequence)
        return m_record.whenRecorded(answer(MoveOutcome::Accepted));
    ShardRecord &record = m_record.edit();
    record.lastReceived[from] = move.sequence;
    const JobSpec &spec = move.portion.spec;
    auto [position, isNew] = record.portions.try_emplace(spec.id);
    JobPortion &portion = position->second;
    if (isNew)
        portion.spec = spec;
    portion.cancelled = portion.cancelled || isCancelled(spec.id);
    portion.add(move.portion.tasks);
    JobRuntimeState &jobState = m_jobStates[spec.id];
    if (isNew || jobState.waitingSince == Instant())
        jobState.waitingSince = m_timers.now();
    jobState.endedSince.reset();
    addHistory(spec.id,
               std::to_string(move.portion.tasks.size()) + " tasks came from " + from.value());
    m_record.whenRecorded(answer(MoveOutcome::Accepted));
    poolChanged();
}

void ShardController::admit(const JobSpec &spec, std::function<void(AdmissionOutcome)> done)
{
    if (!m_isRecordTakenOver || m_isReleasing || !m_record.isHealthy()
        || m_record.encodedBytes() > RecordWriter::MaxRecordBytes * 9 / 10)
        return done(AdmissionOutcome::NotRun);
    const uint64_t digest = digestOf(spec);
    const auto &admitted = m_record.record().admitted;
    const auto known = std::find_if(admitted.begin(), admitted.end(),
                                    [&spec](const auto &job) { return job.job == spec.id; });
    const auto once = firstCallOnly(std::move(done));
    if (known != admitted.end()) {
        const auto outcome = known->digest == digest ? AdmissionOutcome::AlreadyRecorded
                                                     : AdmissionOutcome::NameTaken;
        m_record.whenRecorded([once, outcome](bool recorded) {
            once(recorded ? outcome : AdmissionOutcome::Unknown);
        });
        m_timers.after(m_settings.admissionTimeout, [once] { once(AdmissionOutcome::Unknown); });
        return;
    }
    JobPortion portion;
    portion.spec = spec;
    for (uint32_t index = 0; index < spec.tasks; ++index)
        portion.tasks.push_back({index});
    ShardRecord &record = m_record.edit();
    record.portions.emplace(spec.id, std::move(portion));
    record.admitted.push_back({spec.id, digest});
    if (record.admitted.size() > MaxAdmitted)
        record.admitted.erase(record.admitted.begin());
    m_jobStates[spec.id].waitingSince = m_timers.now();
    addHistory(spec.id, "admitted by " + m_self.value() + " to shard " + m_shard.value());
    m_record.whenRecorded([this, once, alive = std::weak_ptr(m_alive)](bool recorded) {
        once(recorded ? AdmissionOutcome::Recorded : AdmissionOutcome::Unknown);
        if (!alive.expired())
            poolChanged();
    });
    m_timers.after(m_settings.admissionTimeout, [once] { once(AdmissionOutcome::Unknown); });
}

bool ShardController::isCancelled(const JobId &job) const
{
    const auto &cancelled = m_record.record().cancelled;
    return std::find(cancelled.begin(), cancelled.end(), job) != cancelled.end();
}

bool ShardController::cancel(const Cancellation &wanted, std::function<void(bool)> done)
{
    const JobId &job = wanted.job;
    const auto matches = [&wanted](const JobSpec &spec) {
        return spec.id == wanted.job && (wanted.team.isEmpty() || spec.team == wanted.team);
    };
    if (!m_isRecordTakenOver) {
        done(false);
        return false;
    }
    const ShardRecord &record = m_record.record();
    const auto portion = record.portions.find(job);
    const bool isHere = portion != record.portions.end() && matches(portion->second.spec);
    const bool isMovingAway =
        std::any_of(record.outgoing.begin(), record.outgoing.end(),
                    [&matches](const OutgoingMove &move) { return matches(move.portion.spec); });
    if (isHere && !portion->second.cancelled) {
        m_record.edit().portions.at(job).cancelled = true;
        addHistory(job, "cancelled");
    }
    if (wanted.known && !isCancelled(job)) {
        auto &cancelled = m_record.edit().cancelled;
        cancelled.push_back(job);
        if (cancelled.size() > MaxCancelled)
            cancelled.erase(cancelled.begin());
    }
    // Until the workers are taken over, a former owner that was only paused may start tasks.
    if (m_isActive)
        m_record.whenRecorded(std::move(done));
    else
        done(false);
    return isHere || isMovingAway;
}

void ShardController::forgetEndedJobs()
{
    const Instant now = m_timers.now();
    std::vector<JobId> forgotten;
    for (const auto &[job, portion] : m_record.record().portions) {
        JobRuntimeState &jobState = m_jobStates[job];
        if (hasOpenTask(portion)) {
            jobState.endedSince.reset();
            continue;
        }
        if (!jobState.endedSince)
            jobState.endedSince = now;
        if (now - *jobState.endedSince > m_settings.retention)
            forgotten.push_back(job);
    }
    for (const JobId &job : forgotten) {
        m_record.edit().portions.erase(job);
        m_jobStates.erase(job);
    }
}

void ShardController::addHistory(const JobId &job, const std::string &event)
{
    VLOG(1) << "event=job_note shard=" << m_shard.value() << " job=" << job.value() << " note=\""
            << event << "\"";
    auto &history = m_jobStates[job].history;
    history.push_back(std::to_string(std::time(nullptr)) + " " + event);
    if (history.size() > MaxHistoryEntries)
        history.pop_front();
}

std::optional<JobView> ShardController::job(const JobId &id) const
{
    const auto found = m_record.record().portions.find(id);
    JobView view;
    view.shard = m_shard;
    bool isKnown = false;
    if (found != m_record.record().portions.end()) {
        isKnown = true;
        view.spec = found->second.spec;
        view.cancelled = found->second.cancelled;
        for (const TaskRecord &task : found->second.tasks) {
            TaskView shown{task.index, phaseName(task.phase), {}, task.failures};
            if (const ActiveAttempt *active = m_activeAttempts.find({id, task.index})) {
                shown.state = active->isConfirmed ? "running" : "starting";
                shown.worker = active->worker;
            }
            view.tasks.push_back(std::move(shown));
        }
    }
    for (const OutgoingMove &move : m_record.record().outgoing) {
        if (move.portion.spec.id != id)
            continue;
        isKnown = true;
        view.spec = move.portion.spec;
        for (const TaskRecord &task : move.portion.tasks)
            view.tasks.push_back({task.index, "moving", {}, task.failures});
    }
    if (!isKnown)
        return std::nullopt;
    const auto jobState = m_jobStates.find(id);
    if (jobState == m_jobStates.end())
        return view;
    view.history.assign(jobState->second.history.begin(), jobState->second.history.end());
    if (!m_isActive)
        view.waitReason = "the shard's workers are being taken over";
    else if (isZoneUnavailable())
        view.waitReason = "availability zone " + m_zone.value() + " is out of service";
    else if (!m_context.isConfigurationFresh())
        view.waitReason = "no recent evidence that the configuration is current";
    else if (jobState->second.retryAt > m_timers.now())
        view.waitReason = "failed before; the next retry is delayed";
    else if (jobState->second.reason)
        view.waitReason = describe(*jobState->second.reason);
    return view;
}

std::vector<JobView> ShardController::jobs() const
{
    std::set<JobId> ids;
    for (const auto &[id, portion] : m_record.record().portions)
        ids.insert(id);
    for (const OutgoingMove &move : m_record.record().outgoing)
        ids.insert(move.portion.spec.id);
    std::vector<JobView> views;
    for (const JobId &id : ids) {
        if (auto view = job(id))
            views.push_back(std::move(*view));
    }
    return views;
}

ShardStatus ShardController::status() const
{
    ShardStatus status;
    status.shard = m_shard;
    status.epoch = m_epoch;
    status.isActive = m_isActive;
    for (const WorkerCapacity &available : m_pool.workerCapacities()) {
        ++status.workers;
        status.capacity += available.capacity;
        if (available.usable)
            status.free += available.free.clampedToZero();
    }
    for (const auto &[job, portion] : m_record.record().portions)
        status.waiting += countWaiting(portion);
    status.running = m_activeAttempts.size();
    status.recordBytes = m_record.encodedBytes();
    status.unresolved = m_pool.unresolved();
    return status;
}

} // namespace Cranberrymount
