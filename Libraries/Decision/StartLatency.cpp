#include "Decision/StartLatency.h"

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** Weights of a new sample; smaller than TCP's, since there are many starts a second. */
constexpr double MeanWeight = 1.0 / 32;
constexpr double DeviationWeight = 1.0 / 16;
constexpr double DeviationFactor = 4;
constexpr double MinEstimateMs = 60;
/** A third of a typical ticket lifetime: a longer estimate would leave no usable ticket. */
constexpr double MaxEstimateMs = 500;

} // namespace

void StartLatency::record(Duration latency)
{
    const double error = static_cast<double>(latency.count()) - m_mean;
    m_mean += MeanWeight * error;
    m_deviation += DeviationWeight * (std::abs(error) - m_deviation);
}

Duration StartLatency::upperEstimate() const
{
    return Duration(std::llround(
        std::clamp(m_mean + DeviationFactor * m_deviation, MinEstimateMs, MaxEstimateMs)));
}

} // namespace Cranberrymount
