#pragma once

#include "State/Workload.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Cranberrymount {

/** Tasks of one step in one occurrence of a job. */
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

/** One job with all that is known of its tasks. */
struct JobRecord
{
    JobAccepted accepted;
    JobState state = JobState::Queued;
    WallTime endedAt{};
    std::vector<std::vector<StepRun>> occurrences;
    uint32_t activeRuns = 0;

    bool isOver() const { return state >= JobState::Done; }
    WallTime dueAt(uint32_t occurrence) const;
    /** @return true if all tasks of the steps that @p step waits for are done. */
    bool isUnblocked(uint32_t occurrence, uint32_t step) const;
};

/** A step that may start tasks. */
struct StepKey
{
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    auto operator<=>(const StepKey &) const = default;
};

/** Removes what is kept for the steps of @p job. */
template <typename Value> void eraseStepsOf(const JobId &job, std::map<StepKey, Value> &steps)
{
    const auto begin = steps.lower_bound({job, 0, 0});
    auto end = begin;
    while (end != steps.end() && end->first.job == job)
        ++end;
    steps.erase(begin, end);
}

/**
 * All jobs, built only from journal records: replaying the same records gives the same table.
 */
class JobTable
{
public:
    /** Takes @p record in; records of unknown jobs and of superseded attempts change nothing. */
    void apply(const JournalRecord &record, WallTime now);

    /** Forgets a job of which nothing was or will be written, with its assignments. */
    void withdraw(const JobId &id);

    /** A worker has begun one of the job's tasks. An assignment alone proves nothing. */
    void noteStarted(const JobId &id);

    /** @return the job, or null. */
    const JobRecord *find(const JobId &id) const;
    JobRecord *find(const JobId &id);
    const TaskProgress *findTask(const TaskKey &key) const;
    const StepRun *findStep(const StepKey &key) const;

    /** Steps of open jobs that are unblocked and due, with at least one task that waits. */
    std::vector<StepKey> startableSteps(WallTime now) const;
    /** Jobs that are open, in no special order. */
    const std::set<JobId> &openJobs() const { return m_open; }
    /** Ended jobs that still have runs to be stopped. */
    const std::set<JobId> &endedWithRuns() const { return m_endedWithRuns; }
    const std::unordered_map<JobId, JobRecord> &jobs() const { return m_jobs; }

    /** @return accepted jobs of @p queue for which no task has started. */
    uint32_t pendingCount(const QueueId &queue) const;
    /** @return waiting jobs that their teams sent beyond their share. */
    std::size_t pendingBeyondShare() const { return m_pendingBeyondShare.size(); }

    JobSnapshot snapshot(const JobRecord &job) const;
    /** Forgets jobs that ended before @p cutoff and have no runs left. */
    std::size_t forgetEndedBefore(WallTime cutoff);

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
    std::set<JobId> m_pendingBeyondShare;
};

} // namespace Cranberrymount
