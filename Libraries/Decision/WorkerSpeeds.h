#pragma once

#include "State/JobTable.h"

#include <map>
#include <unordered_map>

namespace Cranberrymount {

/**
 * Learns how fast workers are by comparing runs of the same step on different workers. Tasks of one
 * step take about the same time, however wrong the submitter's estimate is.
 */
class WorkerSpeeds
{
public:
    /**
     * Records a successful run of a task that is not part of a gang.
     * @param ran the run time of the task.
     */
    void recordRun(const StepKey &step, const WorkerIncarnation &worker, Duration ran);
    /** @return run time on the worker as a multiple of that on an average worker; 1 if unknown. */
    double slownessOf(const WorkerIncarnation &worker) const;
    /** Removes the run times of the job's steps; the workers' factors that were derived from them
     * are kept. */
    void forget(const JobId &job);
    /** Removes what is known about the worker. */
    void forget(const WorkerIncarnation &worker) { m_factors.erase(worker); }

private:
    struct StepTimes
    {
        /** Sum of the logarithms of the run times, each minus its worker's factor. */
        double sum = 0;
        uint32_t count = 0;
    };

    /** Logarithm of each worker's slowness. */
    std::unordered_map<WorkerIncarnation, double> m_factors;
    std::map<StepKey, StepTimes> m_steps;
};

} // namespace Cranberrymount
