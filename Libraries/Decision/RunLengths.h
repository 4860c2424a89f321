#pragma once

#include "State/Ids.h"
#include "State/Time.h"

#include <map>

namespace Cranberrymount {

/**
 * Learns by queue how long runs take compared with their submitters' estimates. The ratio is a
 * moving geometric mean, so that few very long runs have little effect.
 */
class RunLengths
{
public:
    /**
     * Records a local run that did its whole task.
     * @param estimate the submitter's estimate; runs with an estimate of 0 are ignored.
     * @param ran the run time.
     */
    void recordRun(const QueueId &queue, Duration estimate, Duration ran);
    /** @return the expected run time of a task of @p queue: @p estimate until enough runs are
     * known.
     */
    Duration expectedLength(const QueueId &queue, Duration estimate) const;

private:
    struct Ratio
    {
        /** Mean of the logarithms of run time / estimate. */
        double meanLogarithm = 0;
        uint32_t count = 0;
    };

    std::map<QueueId, Ratio> m_ratios;
};

} // namespace Cranberrymount
