#include "Coordination/CellScheduler.h"

#include <glog/logging.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Maximum number of ends that a worker lists in one response; a list of this length may be
 * truncated. */
constexpr std::size_t MaxEndsPerReport = 500;
/** Time between two attempts to stop a run. */
constexpr Duration StopRetryDelay{300};
/** A leader whose claim is older sends no start. Longer than a try of a commit takes; shorter than
 * an elected successor needs to ask the workers and to start a task elsewhere. */
constexpr Duration MaxClaimAgeForStart{1200};
/** A run without progress for this long counts as stalled. Progress is reported in whole percent
 * about once a second, so this also holds on a worker several times slower than usual. */
constexpr Duration StallTimeout{3000};
/** From this percentage on, a run is not checked for stalls: workers compute progress from the
 * submitter's estimate, so it stays near 100 in a task that takes longer. */
constexpr int SaturatedPercent = 90;
/** What a task of a service reports while it is at work, by the platform's documentation. */
constexpr int ServiceAtWorkPercent = 100;

const char *outcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    case RunOutcome::GangBroken:
        return "gang_broken";
    case RunOutcome::GangIncomplete:
        return "gang_incomplete";
    case RunOutcome::Lost:
        return "lost";
    }
    return "unknown";
}

const char *refusalName(const StartReply &reply)
{
    if (reply.fault == ConnectionFault::Refused)
        return "no_connection";
    switch (reply.outcome) {
    case StartReply::LeaseExpired:
        return "lease_over";
    case StartReply::NoCapacity:
        return "no_room";
    case StartReply::BadTicket:
        return "bad_ticket";
    case StartReply::OtherIncarnation:
        return "other_life";
    case StartReply::Fenced:
        return "higher_epoch";
    default:
        return "refused";
    }
}

const char *stateName(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Done:
        return "done";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string taskText(const TaskKey &key)
{
    return key.job.value() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step)
        + "." + std::to_string(key.index);
}

bool isSameStep(const TaskKey &one, const TaskKey &other)
{
    return one.job == other.job && one.occurrence == other.occurrence && one.step == other.step;
}

} // namespace

const char *CellScheduler::phaseName(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Recording:
        return "recording";
    case RunPhase::StartSent:
        return "start_sent";
    case RunPhase::Confirmed:
        return "confirmed";
    case RunPhase::Uncertain:
        return "uncertain";
    case RunPhase::Inherited:
        return "inherited";
    }
    return "unknown";
}

/** Takes over the runs that earlier leaders started; workers' reports later show their state. */
void CellScheduler::adoptRuns()
{
    for (const auto &[id, job] : m_jobs.jobs()) {
        if (job.activeRuns == 0)
            continue;
        for (uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            for (uint32_t step = 0; step < job.occurrences[occurrence].size(); ++step) {
                const auto &tasks = job.occurrences[occurrence][step].tasks;
                for (uint32_t index = 0; index < tasks.size(); ++index) {
                    if (!tasks[index].isActive)
                        continue;
                    ActiveRun run = makeRun(job, step);
                    run.attempt = tasks[index].lastAttempt;
                    run.worker = tasks[index].worker;
                    // A start command to an ended incarnation may have reached the next one.
                    const auto session = m_sessions.find(run.worker.id);
                    if (session != m_sessions.end()
                        && session->second->incarnation() != run.worker) {
                        run.worker = session->second->incarnation();
                        session->second->addInheritedLeases(m_inheritedExpiryAfterRestart);
                    }
                    run.phase = RunPhase::Inherited;
                    // It is unknown when the run began, so its duration can't be measured.
                    run.hasPartialDuration = true;
                    run.checkpoint = tasks[index].checkpoint;
                    addRun({id, occurrence, step, index}, std::move(run));
                }
            }
        }
    }
}

void CellScheduler::noteRestart(const JournalRecord &record)
{
    const auto *assigned = std::get_if<RunAssigned>(&record);
    const TaskProgress *task = assigned ? m_jobs.findTask(assigned->task) : nullptr;
    if (task && task->isActive && task->lastAttempt == assigned->attempt
        && task->worker != assigned->worker)
        m_restartedWorkers.insert(assigned->worker.id);
}

bool CellScheduler::mayHaveUnknownRuns()
{
    if (!m_isJournalIncomplete)
        return false;
    const Instant now = m_timers.now();
    const bool isAnyUnknown = std::ranges::any_of(m_sessions, [&](const auto &entry) {
        const WorkerSession &session = *entry.second;
        return !m_fullyKnownWorkers.contains(session.incarnation())
            && (session.isReachable() || now <= session.allLeasesExpireAt()
                || now <= m_inheritedExpiryAfterRestart);
    });
    if (!isAnyUnknown && now > m_inheritedExpiryAfterRestart) {
        m_isJournalIncomplete = false;
        m_fullyKnownWorkers.clear();
        LOG(INFO) << "event=unread_runs_over epoch=" << m_epoch.value();
    }
    return isAnyUnknown;
}

void CellScheduler::adoptReportedRun(const WorkerSession &session, const TaskKey &task,
                                     uint32_t attempt)
{
    const JobRecord *job = m_jobs.find(task.job);
    const TaskProgress *progress = m_jobs.findTask(task);
    if (!progress || job->isOver() || progress->isDone || attempt <= progress->lastAttempt)
        return;
    // An attempt follows only the end of the one before it, which was not read either.
    const auto earlier = m_runs.find(task);
    if (earlier != m_runs.end()) {
        if (earlier->second.phase != RunPhase::Inherited)
            return;
        removeRun(earlier);
    }
    LOG(WARNING) << "event=unread_run_adopted task=" << taskText(task) << " attempt=" << attempt
                 << " worker=" << session.incarnation().id.value();
    ActiveRun run = makeRun(*job, task.step);
    run.attempt = attempt;
    run.worker = session.incarnation();
    run.phase = RunPhase::Confirmed;
    run.hasPartialDuration = true;
    run.checkpoint = progress->checkpoint;
    addRun(task, std::move(run));
    const RunAssigned record{task, attempt, session.incarnation()};
    m_jobs.apply(record, m_dependencies.wallClock());
    m_journal->append(record, [] {});
}

void CellScheduler::noteKnownRuns(const WorkerSession &session, const HoldReply &reply)
{
    const auto isKnown = [&](const RunReport &report) {
        const auto found = m_runs.find(report.task);
        return found != m_runs.end() && found->second.attempt == report.attempt
            && found->second.worker == session.incarnation();
    };
    if (reply.ended.size() < MaxEndsPerReport && std::ranges::all_of(reply.running, isKnown))
        m_fullyKnownWorkers.insert(session.incarnation());
    else
        m_fullyKnownWorkers.erase(session.incarnation());
    scheduleDispatch();
}

/** Reserves capacity for a run at once; sends the start command after the assignment is in the
 * journal. */
void CellScheduler::recordStart(const StartDecision &decision, const WorkerIncarnation &worker)
{
    const JobRecord &job = *m_jobs.find(decision.task.job);
    const StepSpec &spec = job.accepted.spec.steps[decision.task.step];
    TaskKey checkpointOwner = decision.task;
    // All members of a gang resume from the same point.
    if (spec.isGang)
        checkpointOwner.index = 0;
    ActiveRun run = makeRun(job, decision.task.step, decision.isRemote);
    run.attempt = decision.attempt;
    run.worker = worker;
    run.ticket = decision.ticket;
    run.checkpoint = m_jobs.findTask(checkpointOwner)->checkpoint;
    run.hasPartialDuration = !run.checkpoint.empty();
    addRun(decision.task, std::move(run));
    const RunAssigned record{decision.task, decision.attempt, worker};
    m_jobs.apply(record, m_dependencies.wallClock());
    m_journal->append(record, [this, key = decision.task, attempt = decision.attempt] {
        sendStart(key, attempt);
    });
}

CellScheduler::ActiveRun CellScheduler::makeRun(const JobRecord &job, uint32_t step,
                                                bool isRemote) const
{
    const StepSpec &spec = job.accepted.spec.steps[step];
    ActiveRun run;
    run.beganAt = run.percentChangedAt = run.reportableSince = m_timers.now();
    run.need = spec.need;
    run.team = job.accepted.team;
    run.isGang = spec.isGang;
    run.isService = spec.isService;
    run.isRemote = isRemote;
    run.estimate = spec.estimate;
    if (m_terms.remoteFactor > 1)
        run.estimate = m_runLengths.expectedLength(job.accepted.queue, spec.estimate);
    if (isRemote)
        run.estimate += localityGain({run.estimate, m_terms.remoteFactor});
    return run;
}

void CellScheduler::addRun(const TaskKey &key, ActiveRun run)
{
    m_teamUse[run.team] += run.need;
    const WorkerIncarnation worker = run.worker;
    m_runsByWorker[worker][key] = &m_runs.insert_or_assign(key, std::move(run)).first->second;
}

CellScheduler::ActiveRun CellScheduler::removeRun(std::map<TaskKey, ActiveRun>::iterator position)
{
    ActiveRun run = std::move(position->second);
    m_teamUse[run.team] -= run.need;
    const auto onWorker = m_runsByWorker.find(run.worker);
    onWorker->second.erase(position->first);
    if (onWorker->second.empty())
        m_runsByWorker.erase(onWorker);
    m_runs.erase(position);
    return run;
}

void CellScheduler::sendStart(const TaskKey &key, uint32_t attempt)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.attempt != attempt)
        return;
    if (isClaimInDoubt()) {
        m_deferredStarts.emplace_back(key, attempt);
        return;
    }
    ActiveRun &run = found->second;
    const JobRecord *job = m_jobs.find(key.job);
    WorkerSession *session = sessionOf(run.worker);
    const bool isStillWanted = job && !job->isOver() && !run.isStopRequested;
    observeActivity();
    // A successor may have started the task elsewhere since the store confirmed the assignment.
    const bool isClaimOld =
        claimAge() > MaxClaimAgeForStart || m_journal->claimHeldAt() < m_resumedAt;
    if (isClaimOld)
        LOG_EVENT(m_dependencies.log, "start_withheld")
            << "task=" << taskText(key) << " attempt=" << attempt
            << " worker=" << run.worker.id.value() << " claim_age_ms=" << claimAge().count();
    if (!isStillWanted || isClaimOld || !session || !acceptsStarts(*session))
        return recordEnd(key, run, RunOutcome::Lost, run.checkpoint);
    StartCall call;
    call.to = session->commandAddress();
    call.task = key;
    call.attempt = attempt;
    call.payload = job->accepted.spec.payload;
    call.leaseUntil = session->newLeaseEnd(grantableLease());
    call.checkpoint = run.checkpoint;
    call.ticket = run.ticket;
    run.phase = RunPhase::StartSent;
    m_dependencies.count("starts_sent", 1);
    m_dependencies.commands.start(std::move(call),
                                  [this, key, attempt, worker = run.worker,
                                   alive = std::weak_ptr(m_alive)](const StartReply &reply) {
                                      if (alive.expired() || m_isSuperseded)
                                          return;
                                      if (reply.outcome == StartReply::Fenced)
                                          handleRefusedCommand(worker);
                                      handleStartReply(key, attempt, reply);
                                  });
}

void CellScheduler::sendDeferredCommands()
{
    if (m_isSuperseded || isClaimInDoubt())
        return;
    for (const auto &[key, attempt] : std::exchange(m_deferredStarts, {}))
        sendStart(key, attempt);
    for (auto &[key, run] : m_runs) {
        if (run.isStopRequested && run.phase != RunPhase::Recording
            && run.phase != RunPhase::StartSent)
            sendStop(key, run);
    }
}

void CellScheduler::handleStartReply(const TaskKey &key, uint32_t attempt, const StartReply &reply)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.attempt != attempt || found->second.isEnding)
        return;
    ActiveRun &run = found->second;
    run.reportableSince = m_timers.now();
    if (reply.fault != ConnectionFault::None)
        m_health.recordConnectionFault(run.worker, run.reportableSince);
    switch (reply.outcome) {
    case StartReply::Started:
        m_health.recordConnection(run.worker);
        run.phase = RunPhase::Confirmed;
        m_jobs.markStarted(key.job);
        m_startLatency.record(
            std::chrono::duration_cast<Duration>(run.reportableSince - run.beganAt));
        run.beganAt = run.percentChangedAt = run.reportableSince;
        if (run.isStopRequested)
            sendStop(key, run);
        return;
    case StartReply::Outdated:
        // The worker knows this attempt or a later one; it may have ended, and the next report
        // lists its end.
    case StartReply::Unknown:
        // If the next report doesn't list the run, it is stopped, so that it can't start later.
        run.phase = RunPhase::Uncertain;
        LOG_EVENT(m_dependencies.log, "start_unanswered")
            << "task=" << taskText(key) << " attempt=" << attempt
            << " worker=" << run.worker.id.value();
        return;
    case StartReply::BadTicket:
        m_adviceCache.dropTicket({key.job, key.occurrence, key.step}, run.worker);
        break;
    default:
        break;
    }
    LOG_EVENT(m_dependencies.log, "start_refused")
        << "task=" << taskText(key) << " attempt=" << attempt << " worker=" << run.worker.id.value()
        << " reason=" << refusalName(reply);
    m_dependencies.count("starts_refused", 1);
    recordEnd(key, run, RunOutcome::Lost, run.checkpoint);
}

void CellScheduler::requestStop(const TaskKey &key, ActiveRun &run, const char *why)
{
    if (run.isStopRequested || run.isEnding)
        return;
    run.isStopRequested = true;
    LOG_EVENT(m_dependencies.log, "run_stopping")
        << "task=" << taskText(key) << " attempt=" << run.attempt
        << " worker=" << run.worker.id.value() << " percent=" << run.percent << " why=" << why;
    // If a start command is in flight, the stop follows the response to it.
    if (run.phase != RunPhase::Recording && run.phase != RunPhase::StartSent)
        sendStop(key, run);
}

void CellScheduler::sendStop(const TaskKey &key, ActiveRun &run)
{
    if (run.isStopInFlight || run.isStopAccepted)
        return;
    WorkerSession *session = sessionOf(run.worker);
    // If the worker is unreachable, the stop is sent after its next report, or the lease expires.
    if (!session || !session->isReachable() || isClaimInDoubt())
        return;
    run.isStopInFlight = true;
    const uint32_t attempt = run.attempt;
    m_dependencies.commands.stop({session->commandAddress(), key, attempt},
                                 [this, key, attempt, worker = run.worker,
                                  alive = std::weak_ptr(m_alive)](const StopReply &reply) {
                                     if (alive.expired() || m_isSuperseded)
                                         return;
                                     if (reply.outcome == StopReply::Fenced)
                                         handleRefusedCommand(worker);
                                     const auto found = m_runs.find(key);
                                     if (found == m_runs.end() || found->second.attempt != attempt
                                         || found->second.worker != worker)
                                         return;
                                     found->second.isStopInFlight = false;
                                     if (reply.outcome == StopReply::Accepted) {
                                         found->second.isStopAccepted = true;
                                         found->second.reportableSince = m_timers.now();
                                         return;
                                     }
                                     m_timers.after(StopRetryDelay, [this, key, attempt] {
                                         const auto again = m_runs.find(key);
                                         if (again != m_runs.end()
                                             && again->second.attempt == attempt)
                                             sendStop(key, again->second);
                                     });
                                 });
}

void CellScheduler::handleReport(WorkerSession &session, const HoldReply &reply, Instant sentAt)
{
    ++m_load.reports;
    if (m_isJournalIncomplete) {
        for (const RunReport &report : reply.running)
            adoptReportedRun(session, report.task, report.attempt);
        for (const EndReport &report : reply.ended)
            adoptReportedRun(session, report.task, report.attempt);
        noteKnownRuns(session, reply);
    }
    for (const RunReport &report : reply.running)
        applyRunningReport(session, report);
    if (reply.ended.size() < MaxEndsPerReport)
        endMissingRuns(session, reply, sentAt);
    Acknowledgement &state = m_pendingAcknowledgements[session.incarnation()];
    for (const EndReport &report : reply.ended) {
        state.lastNumber = std::max(state.lastNumber, report.number);
        const RunRef ref{report.task, report.attempt};
        const auto found = m_runs.find(report.task);
        const bool isLive = found != m_runs.end() && found->second.attempt == report.attempt
            && found->second.worker == session.incarnation();
        if (isLive && !found->second.isEnding) {
            // A service may fail at any time; that it was at work shows that its worker can run it.
            const bool wasAtWork =
                found->second.isService && found->second.percent >= ServiceAtWorkPercent;
            if (!wasAtWork)
                m_health.recordOutcome(session.incarnation(), report.task.job, report.outcome,
                                       m_timers.now());
            recordEnd(report.task, found->second, report.outcome,
                      report.checkpoint.empty() ? found->second.checkpoint : report.checkpoint);
        }
        const auto unwritten = m_unwrittenEnds.find(ref);
        if (unwritten != m_unwrittenEnds.end()
            && unwritten->second.reporters.insert(session.incarnation()).second)
            ++state.unwrittenCount;
    }
    if (state.unwrittenCount == 0)
        return acknowledge(session.incarnation());
    // Keeps requesting reports while the ends are not written, because each request also extends
    // the worker's leases. Each report lists all of these ends again, hence the pause.
    m_timers.after(session.reportWait(), [this, incarnation = session.incarnation()] {
        if (WorkerSession *current = sessionOf(incarnation))
            current->requestReport();
    });
}

/** Lets the worker drop the ends that it has reported, all of which are written now. */
void CellScheduler::acknowledge(const WorkerIncarnation &incarnation)
{
    const uint64_t number = m_pendingAcknowledgements[incarnation].lastNumber;
    m_pendingAcknowledgements.erase(incarnation);
    if (WorkerSession *session = sessionOf(incarnation)) {
        session->acknowledge(number);
        session->requestReport();
    }
}

void CellScheduler::handleEndWritten(const RunRef &ref)
{
    const auto end = m_unwrittenEnds.extract(ref);
    if (end.empty())
        return;
    for (const WorkerIncarnation &incarnation : end.mapped().reporters) {
        const auto state = m_pendingAcknowledgements.find(incarnation);
        if (state != m_pendingAcknowledgements.end() && --state->second.unwrittenCount == 0)
            acknowledge(incarnation);
    }
}

std::vector<RunEnded> CellScheduler::unwrittenEnds() const
{
    std::vector<RunEnded> ends;
    for (const auto &[ref, end] : m_unwrittenEnds) {
        // No worker reported a lost run; the next leader determines its end anew.
        if (end.record.outcome != RunOutcome::Lost)
            ends.push_back(end.record);
    }
    return ends;
}

void CellScheduler::adoptEnds(const std::vector<RunEnded> &ends)
{
    if (!m_isReady) {
        m_adoptedEnds.insert(m_adoptedEnds.end(), ends.begin(), ends.end());
        return;
    }
    for (const RunEnded &record : ends) {
        const auto found = m_runs.find(record.task);
        if (found == m_runs.end() || found->second.attempt != record.attempt
            || found->second.isEnding)
            continue;
        LOG_EVENT(m_dependencies.log, "end_learned")
            << "task=" << taskText(record.task) << " attempt=" << record.attempt
            << " worker=" << found->second.worker.id.value()
            << " outcome=" << outcomeName(record.outcome);
        recordEnd(record.task, found->second, record.outcome, record.checkpoint);
    }
}

void CellScheduler::applyRunningReport(WorkerSession &session, const RunReport &report)
{
    const auto found = m_runs.find(report.task);
    const bool isKnown = found != m_runs.end() && found->second.attempt == report.attempt
        && found->second.worker == session.incarnation();
    if (!isKnown) {
        // The next report lists it again.
        if (isClaimInDoubt())
            return;
        // The run is obsolete: its end was recorded, or its job is unknown.
        LOG_EVENT(m_dependencies.log, "stray_run_stopped")
            << "task=" << taskText(report.task) << " attempt=" << report.attempt
            << " worker=" << session.incarnation().id.value();
        m_dependencies.commands.stop({session.commandAddress(), report.task, report.attempt},
                                     [](const StopReply &) {});
        return;
    }
    ActiveRun &run = found->second;
    run.wasReported = true;
    m_jobs.markStarted(report.task.job);
    if (run.phase == RunPhase::Inherited || run.phase == RunPhase::Uncertain)
        run.phase = RunPhase::Confirmed;
    if (!report.checkpoint.empty())
        run.checkpoint = report.checkpoint;
    if (report.percent != run.percent) {
        run.percent = report.percent;
        run.percentChangedAt = m_timers.now();
    }
    if (run.isStopRequested)
        sendStop(report.task, run);
}

/** Ends the runs that should be in a report requested at @p sentAt but are missing from it. */
void CellScheduler::endMissingRuns(WorkerSession &session, const HoldReply &reply, Instant sentAt)
{
    const auto onWorker = m_runsByWorker.find(session.incarnation());
    if (onWorker == m_runsByWorker.end())
        return;
    std::vector<TaskKey> missing;
    for (const auto &[taskKey, activeRun] : onWorker->second) {
        const TaskKey &key = taskKey;
        const ActiveRun &run = *activeRun;
        const bool mayBeMissing = run.phase == RunPhase::Confirmed
            || run.phase == RunPhase::Inherited || run.phase == RunPhase::Uncertain;
        if (run.isEnding || !mayBeMissing || run.reportableSince >= sentAt)
            continue;
        const auto shows = [&key, &run](const auto &report) {
            return report.task == key && report.attempt == run.attempt;
        };
        if (std::ranges::none_of(reply.running, shows) && std::ranges::none_of(reply.ended, shows))
            missing.push_back(key);
    }
    for (const TaskKey &key : missing) {
        ActiveRun &run = m_runs.at(key);
        if (run.phase == RunPhase::Uncertain && !run.isStopAccepted) {
            // A delayed start command may still be executed; only a stop rules that out.
            sendStop(key, run);
            continue;
        }
        recordEnd(key, run, RunOutcome::Lost, run.checkpoint);
    }
}

void CellScheduler::recordEnd(const TaskKey &key, ActiveRun &run, RunOutcome outcome,
                              const std::string &checkpoint)
{
    if (run.isEnding)
        return;
    run.isEnding = true;
    const RunEnded record{key, run.attempt, outcome, checkpoint};
    m_unwrittenEnds.emplace(RunRef{key, run.attempt}, UnwrittenEnd{record});
    m_journal->append(record, [this, record] {
        finishRun(record);
        handleEndWritten({record.task, record.attempt});
    });
}

/** Applies the written end of a run: frees its capacity and, if a gang member didn't succeed, stops
 * the rest of its gang. */
void CellScheduler::finishRun(const RunEnded &record)
{
    const auto found = m_runs.find(record.task);
    if (found == m_runs.end() || found->second.attempt != record.attempt)
        return;
    const ActiveRun run = removeRun(found);
    const JobRecord *job = m_jobs.find(record.task.job);
    const bool wasOver = !job || job->isOver();
    // A job that ends keeps no steps.
    const Duration submittedEstimate =
        wasOver ? Duration(0) : job->accepted.spec.steps[record.task.step].estimate;
    m_jobs.apply(record, m_dependencies.wallClock());
    LOG_EVENT(m_dependencies.log, "run_ended")
        << "task=" << taskText(record.task) << " attempt=" << record.attempt
        << " worker=" << run.worker.id.value() << " outcome=" << outcomeName(record.outcome)
        << " ran_ms=" << std::chrono::duration_cast<Duration>(m_timers.now() - run.beganAt).count();
    m_dependencies.count(std::string("runs_") + outcomeName(record.outcome), 1);
    // A resumed run did only part of the work.
    const bool isWholeRun = record.outcome == RunOutcome::Done && !run.hasPartialDuration && job;
    const auto ran = std::chrono::duration_cast<Duration>(m_timers.now() - run.beganAt);
    if (isWholeRun && !run.isRemote && !run.isService)
        m_runLengths.recordRun(job->accepted.queue, submittedEstimate, ran);
    // A gang runs at the speed of its slowest member.
    if (isWholeRun && !run.isRemote && !run.isGang)
        m_speeds.recordRun({record.task.job, record.task.occurrence, record.task.step}, run.worker,
                           ran);
    // After a success the other members of a gang end by themselves.
    if (run.isGang && record.outcome != RunOutcome::Done)
        stopGang(record.task, record.attempt, "gang_broken");
    if (job && job->isOver() && !wasOver) {
        LOG_EVENT(m_dependencies.log, "job_ended")
            << "job=" << record.task.job.value() << " state=" << stateName(job->state)
            << " after_ms="
            << std::chrono::duration_cast<Duration>(m_dependencies.wallClock()
                                                    - job->accepted.acceptedAt)
                   .count();
        forgetDecisions(record.task.job);
        stopRunsOfEndedJobs();
    }
    scheduleDispatch();
}

void CellScheduler::recordLostRuns(const WorkerIncarnation &incarnation, const char *why)
{
    const auto onWorker = m_runsByWorker.find(incarnation);
    if (onWorker == m_runsByWorker.end())
        return;
    for (const auto &[key, run] : onWorker->second)
        recordLostRun(key, *run, why);
}

void CellScheduler::recordExpiredRuns(const WorkerSession &session)
{
    const auto onWorker = m_runsByWorker.find(session.incarnation());
    if (onWorker == m_runsByWorker.end())
        return;
    const bool isOverOnNext = m_timers.now() > session.nextIncarnationLeasesExpireAt();
    for (const auto &[key, run] : onWorker->second) {
        if (isOverOnNext || !mayHaveMoved(*run))
            recordLostRun(key, *run, "lease_over");
    }
}

bool CellScheduler::mayHaveMoved(const ActiveRun &run)
{
    // Inherited runs are not known to this leader's session; their leases are those of earlier
    // leaders.
    return !run.wasReported && run.phase != RunPhase::Inherited;
}

void CellScheduler::recordLostRun(const TaskKey &key, ActiveRun &run, const char *why)
{
    if (run.isEnding || run.phase == RunPhase::Recording)
        return;
    LOG_EVENT(m_dependencies.log, "run_lost")
        << "task=" << taskText(key) << " attempt=" << run.attempt
        << " worker=" << run.worker.id.value() << " born=" << run.worker.startedAtMs
        << " why=" << why << " phase=" << phaseName(run.phase) << " reported=" << run.wasReported
        << " age_ms=" << std::chrono::duration_cast<Duration>(m_timers.now() - run.beganAt).count();
    recordEnd(key, run, RunOutcome::Lost, run.checkpoint);
}

void CellScheduler::stopRunsOfEndedJobs()
{
    for (const JobId &id : m_jobs.endedWithActiveRuns()) {
        for (auto run = m_runs.lower_bound({id, 0, 0, 0});
             run != m_runs.end() && run->first.job == id; ++run)
            requestStop(run->first, run->second, "job_ended");
    }
}

void CellScheduler::moveToNextIncarnation(const WorkerIncarnation &ended,
                                          const WorkerIncarnation &next)
{
    const auto onWorker = m_runsByWorker.find(ended);
    if (onWorker == m_runsByWorker.end())
        return;
    const std::map<TaskKey, ActiveRun *> runs = onWorker->second;
    for (const auto &[key, activeRun] : runs) {
        const auto found = m_runs.find(key);
        ActiveRun &run = found->second;
        // If no report has listed the run yet, the next incarnation may have received its start
        // command.
        if (run.isEnding || run.wasReported || run.phase == RunPhase::Recording)
            continue;
        ActiveRun moved = removeRun(found);
        moved.worker = next;
        // The next incarnation knows nothing of stops that the ended one has received.
        moved.isStopInFlight = moved.isStopAccepted = false;
        moved.reportableSince = m_timers.now();
        // A second record of the attempt: a successor can't know otherwise that the start may have
        // reached an incarnation which grants longer leases, if the store doesn't list it.
        m_journal->append(RunAssigned{key, moved.attempt, next}, [] {});
        addRun(key, std::move(moved));
    }
    recordLostRuns(ended, "worker_reborn");
}

/** Stops runs that make no progress on a reachable worker, so that they are started elsewhere. */
void CellScheduler::checkStalledRuns()
{
    const Instant now = m_timers.now();
    for (auto &[key, run] : m_runs) {
        const bool mayStall = run.phase == RunPhase::Confirmed && !run.isEnding
            && !run.isStopRequested && run.percent < SaturatedPercent;
        const WorkerSession *session = mayStall ? sessionOf(run.worker) : nullptr;
        if (!session || !session->isReachable())
            continue;
        // Only reports show progress; there were none while this process was frozen.
        if (session->lastReportAt() - run.percentChangedAt < StallTimeout)
            continue;
        m_health.recordStall(run.worker, now);
        requestStop(key, run, "no_progress");
    }
}

/** Stops every run that belongs to the same attempt of a gang as @p member. */
void CellScheduler::stopGang(const TaskKey &member, uint32_t attempt, const char *why)
{
    const TaskKey first{member.job, member.occurrence, member.step, 0};
    for (auto run = m_runs.lower_bound(first); run != m_runs.end() && isSameStep(run->first, first);
         ++run) {
        if (run->second.attempt == attempt)
            requestStop(run->first, run->second, why);
    }
}

/**
 * Stops gangs whose members wait for one that has not started, before the workers end them as
 * incomplete: a lost start command is only confirmed by reports that may arrive later than that.
 */
void CellScheduler::stopIncompleteGangs()
{
    const Instant now = m_timers.now();
    for (auto run = m_runs.begin(); run != m_runs.end();) {
        if (!run->second.isGang) {
            ++run;
            continue;
        }
        const TaskKey &first = run->first;
        const uint32_t attempt = run->second.attempt;
        std::vector<WorkerIncarnation> unansweredBy;
        bool isWaiting = false;
        bool isIncomplete = false;
        bool isAtWork = false;
        for (; run != m_runs.end() && isSameStep(run->first, first); ++run) {
            const ActiveRun &member = run->second;
            if (member.isStopRequested || member.isEnding)
                continue;
            if (member.phase == RunPhase::Confirmed) {
                isWaiting |= now - member.beganAt > m_terms.gangWait / 2;
                // A resumed run shows the progress of its checkpoint while it waits.
                isAtWork |= member.percent > 0 && !member.hasPartialDuration;
            } else if (member.phase != RunPhase::Inherited) {
                isIncomplete = true;
                if (member.phase == RunPhase::Uncertain)
                    unansweredBy.push_back(member.worker);
            }
        }
        if (!isWaiting || !isIncomplete || isAtWork)
            continue;
        // Otherwise the gang would be placed on the same workers again.
        for (const WorkerIncarnation &worker : unansweredBy)
            m_health.recordStall(worker, now);
        stopGang(first, attempt, "gang_incomplete");
    }
}

WorkerSession *CellScheduler::sessionOf(const WorkerIncarnation &incarnation)
{
    const auto found = m_sessions.find(incarnation.id);
    return found != m_sessions.end() && found->second->incarnation() == incarnation
        ? found->second.get()
        : nullptr;
}

} // namespace Cranberrymount
