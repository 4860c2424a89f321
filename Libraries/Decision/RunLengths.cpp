#include "Decision/RunLengths.h"

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** Runs from which the ratio is used. Estimates are off by up to 90%, so that the logarithms of the
 * ratios deviate by about 0.8 and the mean of 20 of them by 0.2. */
constexpr uint32_t MinSamples = 20;
/** Runs over which the moving average extends. */
constexpr uint32_t MaxSamples = 200;
/** Limit of a sample's deviation from the average once that is used, as a logarithm: a task that
 * takes seven times as long counts as one that takes three times as long. */
constexpr double MaxSampleDeviation = 1.1;

} // namespace

void RunLengths::recordRun(const QueueId &queue, Duration estimate, Duration ran)
{
    if (estimate <= Duration(0))
        return;
    Ratio &ratio = m_ratios[queue];
    const auto length = std::max(ran, Duration(1));
    double deviation = std::log(static_cast<double>(length.count()))
        - std::log(static_cast<double>(estimate.count())) - ratio.meanLogarithm;
    if (ratio.count >= MinSamples)
        deviation = std::clamp(deviation, -MaxSampleDeviation, MaxSampleDeviation);
    ratio.count = std::min(ratio.count + 1, MaxSamples);
    ratio.meanLogarithm += deviation / ratio.count;
}

Duration RunLengths::expectedLength(const QueueId &queue, Duration estimate) const
{
    const auto found = m_ratios.find(queue);
    if (found == m_ratios.end() || found->second.count < MinSamples)
        return estimate;
    const double length =
        static_cast<double>(estimate.count()) * std::exp(found->second.meanLogarithm);
    return Duration(std::llround(length));
}

} // namespace Cranberrymount
