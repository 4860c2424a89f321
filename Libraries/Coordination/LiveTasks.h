#pragma once

#include "State/Job.h"
#include "State/Time.h"

#include <map>

namespace Cranberrymount {

/** An attempt of a task from its start order to its certain end. */
struct LiveTask
{
    WorkerId worker;
    AttemptId attempt;
    /** True once the worker said that it runs. */
    bool isSure = false;
    Instant since;
    /** False if a former owner started it, so that its run time is not known. */
    bool isStartKnown = true;
    bool isStopping = false;
};

/** The attempts of one shard that are alive, at most one a task. */
class LiveTasks
{
public:
    using OfJob = std::map<uint32_t, LiveTask>;

    LiveTask *find(const TaskId &task);
    const LiveTask *find(const TaskId &task) const;
    /** @return the attempts of @p job by task index, in order. */
    const OfJob &of(const JobId &job) const;
    void set(const TaskId &task, LiveTask live);
    void erase(const TaskId &task);
    std::size_t size() const { return m_size; }
    const std::map<JobId, OfJob> &all() const { return m_jobs; }

private:
    std::map<JobId, OfJob> m_jobs;
    std::size_t m_size = 0;
};

} // namespace Cranberrymount
