#include "Decision/LocalityWaits.h"

#include <utility>

namespace Cranberrymount {

std::optional<Instant> LocalityWaits::waitingSince(const StepKey &step) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return std::nullopt;
    return found->second.since;
}

bool LocalityWaits::isWaiting(const StepKey &step) const
{
    const auto found = m_steps.find(step);
    return found != m_steps.end() && found->second.isWaiting;
}

void LocalityWaits::update(const std::vector<LocalityDecision> &decisions, Instant now,
                           const Counter &count)
{
    for (const LocalityDecision &decision : decisions) {
        if (decision.waitingTasks > 0) {
            Wait &wait = m_steps.try_emplace(decision.step, Wait{now, false}).first->second;
            if (!std::exchange(wait.isWaiting, true))
                count("locality_waits", 1);
            continue;
        }
        const auto found = m_steps.find(decision.step);
        if (found == m_steps.end() || !found->second.isWaiting)
            continue;
        found->second.isWaiting = false;
        count(decision.remoteStarts > 0 ? "locality_waits_given_up" : "locality_waits_paid_off", 1);
    }
}

} // namespace Cranberrymount
