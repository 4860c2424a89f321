#pragma once

#include "State/Workload.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Cranberrymount {

/** The tasks of one step in one occurrence of a job, with their progress. */
struct StepRun
{
    std::vector<TaskProgress> tasks;
    uint32_t doneCount = 0;
    uint32_t activeCount = 0;

    bool isDone() const { return doneCount == tasks.size(); }
    uint32_t waitingCount() const
    {
        return static_cast<uint32_t>(tasks.size()) - doneCount - activeCount;
    }
};

/** One job with the progress of all its tasks. */
struct JobRecord
{
    JobAccepted accepted;
    JobState state = JobState::Queued;
    WallTime endedAt{};
    /** By occurrence, then step. */
    std::vector<std::vector<StepRun>> occurrences;
    /** Runs of all steps and occurrences that may exist on a worker. */
    uint32_t activeRuns = 0;

    bool isOver() const { return state >= JobState::Done; }
    WallTime dueAt(uint32_t occurrence) const;
    /** @return since when the occurrence could run: its due time, or the job's acceptance if that
     * is later. */
    WallTime waitingSince(uint32_t occurrence) const;
    /** @return since when the longest waiting task of the step could run. A task of a service is
     * due again from the end of its last run. */
    WallTime waitingSince(uint32_t occurrence, uint32_t step) const;
    /** @return true if a waiting task of the step was assigned to a worker before. */
    bool hasTaskToRestart(uint32_t occurrence, uint32_t step) const;
    /** @return true if all tasks of the steps that @p step waits for are done. */
    bool isUnblocked(uint32_t occurrence, uint32_t step) const;
};

/** One step of one occurrence of a job. */
struct StepKey
{
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    auto operator<=>(const StepKey &) const = default;
};

/** Removes the values of all steps of @p job. */
template <typename Value> void eraseStepsOf(const JobId &job, std::map<StepKey, Value> &steps)
{
    const auto begin = steps.lower_bound({job, 0, 0});
    auto end = begin;
    while (end != steps.end() && end->first.job == job)
        ++end;
    steps.erase(begin, end);
}

/**
 * All jobs. The table is built only from journal records, so that replaying the same records gives
 * the same table.
 */
class JobTable
{
public:
    /** Applies @p record; records of unknown jobs and of superseded attempts change nothing. A
     * record of an attempt whose assignment, or whose predecessor's end, could not be read counts
     * as if those had been read. */
    void apply(const JournalRecord &record, WallTime now);

    /** Removes a job and its assignments, of which no record was or will be written. */
    void discard(const JobId &id);

    /** Marks the job as running once a worker has started one of its tasks. An assignment alone
     * does not prove that: its start command may never have taken effect. */
    void markStarted(const JobId &id);

    /** @return the job, or null. */
    const JobRecord *find(const JobId &id) const;
    JobRecord *find(const JobId &id);
    const TaskProgress *findTask(const TaskKey &key) const;
    const StepRun *findStep(const StepKey &key) const;

    /** @return steps of open jobs that are due and unblocked and have a waiting task. */
    std::vector<StepKey> startableSteps(WallTime now) const;
    /** @return jobs that have not ended, in no special order. */
    const std::set<JobId> &openJobs() const { return m_open; }
    /** @return ended jobs that still have runs to be stopped. */
    const std::set<JobId> &endedWithActiveRuns() const { return m_endedWithRuns; }
    const std::unordered_map<JobId, JobRecord> &jobs() const { return m_jobs; }

    /** @return the number of accepted jobs of @p queue of which no task has started. */
    uint32_t pendingCount(const QueueId &queue) const;
    /** @return the number of pending jobs that their teams submitted over their fair share. */
    std::size_t pendingOverFairShare() const { return m_pendingOverFairShare.size(); }

    JobSnapshot snapshot(const JobRecord &job) const;
    /**
     * Removes jobs that ended before @p cutoff and have no runs left.
     * @return the number of removed jobs.
     */
    std::size_t removeEndedBefore(WallTime cutoff);

private:
    void applyRecord(const JobAccepted &record, WallTime now);
    void applyRecord(const JobCancelled &record, WallTime now);
    void applyRecord(const RunAssigned &record, WallTime now);
    void applyRecord(const RunEnded &record, WallTime now);
    void applyRecord(const JobSnapshot &record, WallTime now);
    void end(JobRecord &job, JobState state, WallTime now);
    void refreshIndices(JobRecord &job);
    void finishGang(JobRecord &job, StepRun &step);

    std::unordered_map<JobId, JobRecord> m_jobs;
    std::set<JobId> m_open;
    std::set<JobId> m_endedWithRuns;
    std::map<QueueId, std::set<JobId>> m_pending;
    std::set<JobId> m_pendingOverFairShare;
};

} // namespace Cranberrymount
