#pragma once

#include "State/Workload.h"

#include <unordered_map>

namespace Cranberrymount {

/**
 * Quarantines faulty workers. Runs of several different jobs that fail on one worker point to the
 * worker; failures of a single job may come from its tasks.
 */
class WorkerHealth
{
public:
    void recordOutcome(const WorkerIncarnation &worker, const JobId &job, RunOutcome outcome,
                       Instant now);
    /** Records that a run makes no progress on @p worker. */
    void recordStall(const WorkerIncarnation &worker, Instant now);
    /** Records that @p worker took no connection for a command. */
    void recordConnectionFault(const WorkerIncarnation &worker, Instant now);
    void recordConnection(const WorkerIncarnation &worker);
    /** @return true while the worker should get no new work. */
    bool isQuarantined(const WorkerIncarnation &worker, Instant now) const;
    void forget(const WorkerIncarnation &worker) { m_records.erase(worker); }

private:
    struct Record
    {
        /** Consecutive jobs that failed on the worker, each counted once. */
        uint32_t consecutiveFailedJobs = 0;
        JobId lastFailedJob;
        Instant quarantinedUntil{};
        uint32_t connectionFaults = 0;
    };

    std::unordered_map<WorkerIncarnation, Record> m_records;
};

} // namespace Cranberrymount
