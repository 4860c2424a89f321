#pragma once

#include "State/Workload.h"

#include <map>

namespace Cranberrymount {

/**
 * Tells workers that fail what they are given from tasks that would fail anywhere, by how the
 * runs of different jobs end on one worker.
 */
class WorkerHealth
{
public:
    void recordOutcome(const WorkerLife &worker, const JobId &job, RunOutcome outcome, Instant now);
    /** A run makes no progress there. */
    void recordStall(const WorkerLife &worker, Instant now);
    /** @return true while the worker should get no new work. */
    bool isQuarantined(const WorkerLife &worker, Instant now) const;
    void forget(const WorkerLife &worker) { m_records.erase(worker); }

private:
    struct Record
    {
        /** Jobs in a row that failed there, each counted once. */
        uint32_t consecutiveFailedJobs = 0;
        JobId lastFailedJob;
        Instant quarantinedUntil{};
    };

    std::map<WorkerLife, Record> m_records;
};

} // namespace Cranberrymount
