#include "Coordination/WorkerHealth.h"

namespace Cranberrymount {

namespace {

/** On healthy workers up to 5% of runs fail, by the users' deployment files: three jobs in a row
 * fail by chance once in 8,000 runs. */
constexpr uint32_t FailedJobsUntilQuarantine = 3;
/** Time after which a quarantined worker gets new work again. */
constexpr Duration QuarantineDuration{3000};
/** A worker that takes no connection gets no new work for this long, doubling up to the maximum. */
constexpr Duration FirstConnectionPause{250};
constexpr Duration MaxConnectionPause{2000};

} // namespace

void WorkerHealth::recordOutcome(const WorkerIncarnation &worker, const JobId &job,
                                 RunOutcome outcome, Instant now)
{
    Record &record = m_records[worker];
    if (outcome == RunOutcome::Done) {
        record = {};
        return;
    }
    if (outcome != RunOutcome::Failed || record.lastFailedJob == job)
        return;
    record.lastFailedJob = job;
    if (++record.consecutiveFailedJobs >= FailedJobsUntilQuarantine)
        record.quarantinedUntil = now + QuarantineDuration;
}

void WorkerHealth::recordStall(const WorkerIncarnation &worker, Instant now)
{
    m_records[worker].quarantinedUntil = now + QuarantineDuration;
}

void WorkerHealth::recordConnectionFault(const WorkerIncarnation &worker, Instant now)
{
    Record &record = m_records[worker];
    // Commands that fail together count once.
    if (record.quarantinedUntil > now)
        return;
    record.quarantinedUntil =
        now + exponentialBackoff(FirstConnectionPause, record.connectionFaults, MaxConnectionPause);
    ++record.connectionFaults;
}

void WorkerHealth::recordConnection(const WorkerIncarnation &worker)
{
    const auto found = m_records.find(worker);
    if (found != m_records.end())
        found->second.connectionFaults = 0;
}

bool WorkerHealth::isQuarantined(const WorkerIncarnation &worker, Instant now) const
{
    const auto found = m_records.find(worker);
    return found != m_records.end() && found->second.quarantinedUntil > now;
}

} // namespace Cranberrymount
