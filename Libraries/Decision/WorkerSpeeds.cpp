#include "Decision/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** Weight of a new sample in a worker's moving average. By the users' deployment files the
 * tasks of a step differ by up to 30%, so that about ten samples are needed to tell workers apart
 * that differ by 30%. */
constexpr double SampleWeight = 0.12;
/** Limit of a sample's deviation from the average, as a logarithm; limits the effect of one unusual
 * task. */
constexpr double MaxSampleDeviation = 1.5;

} // namespace

void WorkerSpeeds::recordRun(const StepKey &step, const WorkerIncarnation &worker, Duration ran)
{
    const double time = std::log(std::max<double>(1, static_cast<double>(ran.count())));
    double &factor = m_factors[worker];
    StepTimes &times = m_steps[step];
    if (times.count > 0) {
        const double sample = time - times.sum / times.count;
        factor +=
            SampleWeight * std::clamp(sample - factor, -MaxSampleDeviation, MaxSampleDeviation);
    }
    times.sum += time - factor;
    ++times.count;
}

double WorkerSpeeds::slownessOf(const WorkerIncarnation &worker) const
{
    const auto found = m_factors.find(worker);
    return found == m_factors.end() ? 1 : std::exp(found->second);
}

void WorkerSpeeds::forget(const JobId &job)
{
    eraseStepsOf(job, m_steps);
}

} // namespace Cranberrymount
