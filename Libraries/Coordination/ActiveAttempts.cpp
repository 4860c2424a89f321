#include "Coordination/ActiveAttempts.h"

namespace Cranberrymount {

ActiveAttempt *ActiveAttempts::find(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return nullptr;
    const auto active = job->second.find(task.index);
    return active == job->second.end() ? nullptr : &active->second;
}

const ActiveAttempt *ActiveAttempts::find(const TaskId &task) const
{
    const AttemptsByTask &attemptsOfJob = of(task.job);
    const auto active = attemptsOfJob.find(task.index);
    return active == attemptsOfJob.end() ? nullptr : &active->second;
}

const ActiveAttempts::AttemptsByTask &ActiveAttempts::of(const JobId &job) const
{
    static const AttemptsByTask None;
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? None : found->second;
}

void ActiveAttempts::set(const TaskId &task, ActiveAttempt active)
{
    const auto [position, isNew] = m_jobs[task.job].insert_or_assign(task.index, std::move(active));
    m_size += isNew ? 1 : 0;
}

void ActiveAttempts::erase(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return;
    m_size -= job->second.erase(task.index);
    if (job->second.empty())
        m_jobs.erase(job);
}

} // namespace Cranberrymount
