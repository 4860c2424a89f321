#include "Decision/LeaderChoice.h"

namespace Cranberrymount {

namespace {

/** Minimum processor capacity of a new leader, as a multiple of the current leader's. During a
 * hand-over no task starts until the new leader has read the journal, about half a second; a
 * smaller gain is not worth that. */
constexpr double MinProcessorRatio = 1.5;

} // namespace

bool isClearlyStronger(CpuMillis other, CpuMillis current)
{
    return static_cast<double>(other.value())
        >= MinProcessorRatio * static_cast<double>(current.value());
}

std::vector<LeaderCandidate> handOverOrder(std::vector<LeaderCandidate> candidates)
{
    std::ranges::stable_sort(candidates, std::ranges::greater(), &LeaderCandidate::processor);
    return candidates;
}

std::size_t strongestCount(const std::vector<LeaderCandidate> &ordered)
{
    const auto first = std::ranges::find_if(ordered, [&ordered](const LeaderCandidate &candidate) {
        return candidate.processor < ordered.front().processor;
    });
    return static_cast<std::size_t>(first - ordered.begin());
}

} // namespace Cranberrymount
