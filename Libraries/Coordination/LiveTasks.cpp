#include "Coordination/LiveTasks.h"

namespace Cranberrymount {

LiveTask *LiveTasks::find(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return nullptr;
    const auto live = job->second.find(task.index);
    return live == job->second.end() ? nullptr : &live->second;
}

const LiveTask *LiveTasks::find(const TaskId &task) const
{
    const OfJob &ofJob = of(task.job);
    const auto live = ofJob.find(task.index);
    return live == ofJob.end() ? nullptr : &live->second;
}

const LiveTasks::OfJob &LiveTasks::of(const JobId &job) const
{
    static const OfJob None;
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? None : found->second;
}

void LiveTasks::set(const TaskId &task, LiveTask live)
{
    const auto [position, isNew] = m_jobs[task.job].insert_or_assign(task.index, std::move(live));
    m_size += isNew ? 1 : 0;
}

void LiveTasks::erase(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return;
    m_size -= job->second.erase(task.index);
    if (job->second.empty())
        m_jobs.erase(job);
}

} // namespace Cranberrymount
