#pragma once

#include "State/JobTable.h"

#include <map>

namespace Cranberrymount {

/**
 * Learns how fast workers are from runs of the same step on different workers: tasks of one step
 * take about the same time, whatever their submitter estimated.
 */
class WorkerSpeeds
{
public:
    /** A task that works on its own ended well after @p ran. */
    void noteRun(const StepKey &step, const WorkerLife &worker, Duration ran);
    /** @return the time that the worker takes, as a multiple of an average one's; 1 if unknown. */
    double slownessOf(const WorkerLife &worker) const;
    void forget(const JobId &job);
    void forget(const WorkerLife &worker) { m_factors.erase(worker); }

private:
    struct StepTimes
    {
        /** Sum of the logarithms of run times, freed of their workers' factors. */
        double sum = 0;
        uint32_t count = 0;
    };

    /** Logarithms of slowness. */
    std::map<WorkerLife, double> m_factors;
    std::map<StepKey, StepTimes> m_steps;
};

} // namespace Cranberrymount
