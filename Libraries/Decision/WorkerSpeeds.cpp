#include "Decision/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>

namespace Cranberrymount {

namespace {

/** Part of a new sample that is taken in: tasks of a step differ by up to 30% on the users'
 * sheets, so that about ten samples are needed to tell workers 30% apart. */
constexpr double SampleWeight = 0.12;
/** A sample counts for at most this much, so that one odd task does not mark a worker. */
constexpr double MaxSampleDeviation = 1.5;

} // namespace

void WorkerSpeeds::noteRun(const StepKey &step, const WorkerLife &worker, Duration ran)
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

double WorkerSpeeds::slownessOf(const WorkerLife &worker) const
{
    const auto found = m_factors.find(worker);
    return found == m_factors.end() ? 1 : std::exp(found->second);
}

void WorkerSpeeds::forget(const JobId &job)
{
    eraseStepsOf(job, m_steps);
}

} // namespace Cranberrymount
