#include "State/JobTable.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** @return the step, const if the job is const, or null. */
template <typename Job>
auto stepIn(Job &job, uint32_t occurrence, uint32_t step) -> decltype(&job.occurrences[0][0])
{
    if (occurrence >= job.occurrences.size() || step >= job.occurrences[occurrence].size())
        return nullptr;
    return &job.occurrences[occurrence][step];
}

/** @return the task, const if the job is const, or null. */
template <typename Job>
auto taskIn(Job &job, const TaskKey &key) -> decltype(&job.occurrences[0][0].tasks[0])
{
    auto *step = stepIn(job, key.occurrence, key.step);
    return step && key.index < step->tasks.size() ? &step->tasks[key.index] : nullptr;
}

bool areAllStepsDone(const JobRecord &job)
{
    for (const auto &steps : job.occurrences) {
        for (const StepRun &step : steps) {
            if (!step.isDone())
                return false;
        }
    }
    return true;
}

} // namespace

WallTime JobRecord::dueAt(uint32_t occurrence) const
{
    return accepted.spec.firstDue + accepted.spec.period * occurrence;
}

WallTime JobRecord::waitingSince(uint32_t occurrence) const
{
    return std::max(accepted.acceptedAt, dueAt(occurrence));
}

WallTime JobRecord::waitingSince(uint32_t occurrence, uint32_t step) const
{
    const WallTime firstDue = waitingSince(occurrence);
    if (!accepted.spec.steps[step].isService)
        return firstDue;
    WallTime earliest = WallTime::max();
    for (const TaskProgress &task : occurrences[occurrence][step].tasks) {
        if (!task.isActive)
            earliest = std::min(earliest, task.endedAt);
    }
    return earliest == WallTime::max() ? firstDue : std::max(firstDue, earliest);
}

bool JobRecord::hasTaskToRestart(uint32_t occurrence, uint32_t step) const
{
    return std::ranges::any_of(occurrences[occurrence][step].tasks, [](const TaskProgress &task) {
        return !task.isDone && !task.isActive && task.lastAttempt > 0;
    });
}

bool JobRecord::isUnblocked(uint32_t occurrence, uint32_t step) const
{
    const auto &steps = occurrences[occurrence];
    return std::ranges::all_of(accepted.spec.steps[step].after,
                               [&steps](uint32_t earlier) { return steps[earlier].isDone(); });
}

void JobTable::apply(const JournalRecord &record, WallTime now)
{
    std::visit([this, now](const auto &concreteRecord) { applyRecord(concreteRecord, now); },
               record);
}

void JobTable::applyRecord(const JobAccepted &record, WallTime)
{
    auto [position, isNew] = m_jobs.try_emplace(record.job);
    if (!isNew)
        return;
    JobRecord &job = position->second;
    job.accepted = record;
    job.occurrences.resize(std::max(1U, record.spec.occurrences));
    for (auto &steps : job.occurrences) {
        steps.resize(record.spec.steps.size());
        for (std::size_t step = 0; step < steps.size(); ++step)
            steps[step].tasks.resize(record.spec.steps[step].taskCount);
    }
    refreshIndices(job);
}

void JobTable::applyRecord(const JobCancelled &record, WallTime now)
{
    JobRecord *job = find(record.job);
    if (job && !job->isOver())
        end(*job, JobState::Cancelled, now);
}

void JobTable::applyRecord(const RunAssigned &record, WallTime)
{
    JobRecord *job = find(record.task.job);
    TaskProgress *task = job ? taskIn(*job, record.task) : nullptr;
    if (!task || task->isDone || record.attempt <= task->lastAttempt)
        return;
    // An attempt follows only the recorded end of the one before it, even if that end is missing.
    if (!task->isActive) {
        ++job->occurrences[record.task.occurrence][record.task.step].activeCount;
        ++job->activeRuns;
    }
    task->lastAttempt = record.attempt;
    task->isActive = true;
    task->worker = record.worker;
    refreshIndices(*job);
}

void JobTable::applyRecord(const RunEnded &record, WallTime now)
{
    JobRecord *job = find(record.task.job);
    TaskProgress *task = job ? taskIn(*job, record.task) : nullptr;
    // Only an assigned attempt can end, even if its assignment is missing.
    if (task && record.attempt > task->lastAttempt)
        applyRecord(RunAssigned{record.task, record.attempt, {}}, now);
    if (!task || record.attempt != task->lastAttempt || !task->isActive)
        return;
    StepRun &step = job->occurrences[record.task.occurrence][record.task.step];
    const StepSpec &spec = job->accepted.spec.steps[record.task.step];
    task->isActive = false;
    task->endedAt = now;
    --step.activeCount;
    --job->activeRuns;
    if (record.outcome != RunOutcome::Lost && job->state == JobState::Queued)
        job->state = JobState::Running;
    if (!record.checkpoint.empty())
        task->checkpoint = record.checkpoint;
    if (record.outcome == RunOutcome::Done && !spec.isService) {
        if (!task->isDone) {
            task->isDone = true;
            ++step.doneCount;
        }
        if (spec.isGang)
            finishGang(*job, step);
        if (!job->isOver() && areAllStepsDone(*job))
            end(*job, JobState::Done, now);
    } else if (record.outcome == RunOutcome::Failed && !spec.isService) {
        // The members of a gang share the attempt number, so the failures of the whole gang are
        // counted in the first member, once per attempt.
        TaskProgress &failingTask = spec.isGang ? step.tasks.front() : *task;
        if (record.attempt > failingTask.lastFailedAttempt) {
            failingTask.lastFailedAttempt = record.attempt;
            ++failingTask.failures;
        }
        if (!job->isOver() && failingTask.failures >= job->accepted.maxAttempts)
            end(*job, JobState::Failed, now);
    }
    refreshIndices(*job);
}

void JobTable::applyRecord(const JobSnapshot &record, WallTime)
{
    JobRecord job;
    job.accepted = record.accepted;
    job.state = record.state;
    job.endedAt = record.endedAt;
    job.occurrences.resize(record.tasks.size());
    for (std::size_t occurrence = 0; occurrence < record.tasks.size(); ++occurrence) {
        for (const auto &tasks : record.tasks[occurrence]) {
            StepRun &step = job.occurrences[occurrence].emplace_back();
            step.tasks = tasks;
            for (const TaskProgress &task : tasks) {
                step.doneCount += task.isDone;
                step.activeCount += task.isActive;
            }
            job.activeRuns += step.activeCount;
        }
    }
    JobRecord &stored = m_jobs[record.accepted.job] = std::move(job);
    refreshIndices(stored);
}

/** Marks all members of the gang as done: the success of one member completes the gang. */
void JobTable::finishGang(JobRecord &job, StepRun &step)
{
    for (TaskProgress &member : step.tasks) {
        if (member.isActive) {
            member.isActive = false;
            --step.activeCount;
            --job.activeRuns;
        }
        if (!member.isDone) {
            member.isDone = true;
            ++step.doneCount;
        }
    }
}

void JobTable::end(JobRecord &job, JobState state, WallTime now)
{
    job.state = state;
    job.endedAt = now;
    refreshIndices(job);
}

void JobTable::refreshIndices(JobRecord &job)
{
    const JobId &id = job.accepted.job;
    const auto setMembership = [&id](std::set<JobId> &set, bool isMember) {
        if (isMember)
            set.insert(id);
        else
            set.erase(id);
    };
    setMembership(m_open, !job.isOver());
    setMembership(m_endedWithRuns, job.isOver() && job.activeRuns > 0);
    setMembership(m_pending[job.accepted.queue], job.state == JobState::Queued);
    setMembership(m_pendingOverFairShare,
                  job.state == JobState::Queued && job.accepted.isOverFairShare);
    if (job.isOver() && job.activeRuns == 0) {
        // From now on only the job's state can be requested: the rest is freed.
        job.accepted.spec = {};
        job.occurrences.clear();
    }
}

void JobTable::markStarted(const JobId &id)
{
    JobRecord *job = find(id);
    if (!job || job->state != JobState::Queued)
        return;
    job->state = JobState::Running;
    refreshIndices(*job);
}

const JobRecord *JobTable::find(const JobId &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

JobRecord *JobTable::find(const JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const TaskProgress *JobTable::findTask(const TaskKey &key) const
{
    const JobRecord *job = find(key.job);
    return job ? taskIn(*job, key) : nullptr;
}

const StepRun *JobTable::findStep(const StepKey &key) const
{
    const JobRecord *job = find(key.job);
    return job ? stepIn(*job, key.occurrence, key.step) : nullptr;
}

void JobTable::discard(const JobId &id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    m_open.erase(id);
    m_endedWithRuns.erase(id);
    m_pendingOverFairShare.erase(id);
    const auto pending = m_pending.find(found->second.accepted.queue);
    if (pending != m_pending.end())
        pending->second.erase(id);
    m_jobs.erase(found);
}

std::vector<StepKey> JobTable::startableSteps(WallTime now) const
{
    std::vector<StepKey> result;
    for (const JobId &id : m_open) {
        const JobRecord &job = m_jobs.at(id);
        for (uint32_t occurrence = 0; occurrence < job.occurrences.size(); ++occurrence) {
            if (job.dueAt(occurrence) > now)
                break;
            const auto &steps = job.occurrences[occurrence];
            for (uint32_t step = 0; step < steps.size(); ++step) {
                if (steps[step].waitingCount() > 0 && job.isUnblocked(occurrence, step))
                    result.push_back({id, occurrence, step});
            }
        }
    }
    return result;
}

uint32_t JobTable::pendingCount(const QueueId &queue) const
{
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : static_cast<uint32_t>(found->second.size());
}

JobSnapshot JobTable::snapshot(const JobRecord &job) const
{
    JobSnapshot result{job.accepted, job.state, job.endedAt, {}};
    for (const auto &steps : job.occurrences) {
        auto &occurrence = result.tasks.emplace_back();
        for (const StepRun &step : steps)
            occurrence.push_back(step.tasks);
    }
    return result;
}

std::size_t JobTable::removeEndedBefore(WallTime cutoff)
{
    return std::erase_if(m_jobs, [cutoff](const auto &entry) {
        const JobRecord &job = entry.second;
        return job.isOver() && job.activeRuns == 0 && job.endedAt < cutoff;
    });
}

} // namespace Cranberrymount
