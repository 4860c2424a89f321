#pragma once

#include "State/Job.h"
#include "State/Time.h"

#include <map>

namespace Cranberrymount {

/** An attempt of a task, from its start command until its end is certain. */
struct ActiveAttempt
{
    WorkerId worker;
    AttemptId attempt;
    /** True once the worker has reported that it runs. */
    bool isConfirmed = false;
    /** When this owner issued the start command or, without one, first learned of the attempt. */
    Instant since;
    /** False if a former owner started it, so that its run time is unknown. */
    bool isStartKnown = true;
    bool isStopping = false;
};

/** The active attempts of one shard, at most one per task. */
class ActiveAttempts
{
public:
    using AttemptsByTask = std::map<uint32_t, ActiveAttempt>;

    ActiveAttempt *find(const TaskId &task);
    const ActiveAttempt *find(const TaskId &task) const;
    /** @return the attempts of @p job, ordered by task index. */
    const AttemptsByTask &of(const JobId &job) const;
    void set(const TaskId &task, ActiveAttempt active);
    void erase(const TaskId &task);
    std::size_t size() const { return m_size; }
    const std::map<JobId, AttemptsByTask> &all() const { return m_jobs; }

private:
    std::map<JobId, AttemptsByTask> m_jobs;
    std::size_t m_size = 0;
};

} // namespace Cranberrymount
