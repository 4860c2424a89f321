#pragma once

#include "State/Time.h"

namespace Cranberrymount {

/**
 * Estimates how long a start takes from its decision until the worker has executed it: journal
 * commit, command, start. Mean and mean deviation are moving averages, as TCP keeps them of
 * round-trip times.
 */
class StartLatency
{
public:
    /** Records a start that a worker confirmed @p latency after it was decided. */
    void record(Duration latency);
    /** @return a time that few starts exceed, within bounds. */
    Duration upperEstimate() const;

private:
    /** In milliseconds. */
    double m_mean = 30;
    double m_deviation = 7.5;
};

} // namespace Cranberrymount
