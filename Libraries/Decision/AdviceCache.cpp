#include "Decision/AdviceCache.h"

namespace Cranberrymount {

const AdviceCache::StepAdvice *AdviceCache::find(const StepKey &step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nullptr : &found->second;
}

const AdviceCache::Verdict *AdviceCache::StepAdvice::find(const WorkerIncarnation &worker) const
{
    const auto found = verdicts.find(worker);
    return found == verdicts.end() ? nullptr : &found->second;
}

void AdviceCache::beginCall(const StepKey &step, const std::vector<WorkerIncarnation> &asked)
{
    StepAdvice &advice = m_steps[step];
    ++advice.callsInFlight;
    advice.workersInFlight.insert(asked.begin(), asked.end());
}

AdviceCache::StepAdvice &AdviceCache::endCall(const StepKey &step,
                                              const std::vector<WorkerIncarnation> &asked)
{
    StepAdvice &advice = m_steps[step];
    // forget() may have removed the step while the call was in flight.
    if (advice.callsInFlight > 0)
        --advice.callsInFlight;
    for (const WorkerIncarnation &worker : asked)
        advice.workersInFlight.erase(worker);
    return advice;
}

void AdviceCache::recordAnswer(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                               const std::map<WorkerId, std::string> &tickets, Instant expires,
                               const QueueId &queue)
{
    StepAdvice &advice = endCall(step, asked);
    VerdictCounts &counts = m_counts[queue];
    for (const WorkerIncarnation &worker : asked) {
        const auto ticket = tickets.find(worker.id);
        const auto [position, isNew] = advice.verdicts.try_emplace(worker);
        auto &entry = *position;
        const bool wasAllowed = entry.second.isAllowed;
        if (ticket == tickets.end())
            entry.second = {};
        else
            entry.second = {true, ticket->second, expires};
        counts.asked += isNew;
        counts.allowed += isNew && entry.second.isAllowed;
        if (entry.second.isAllowed && !wasAllowed)
            advice.allowed.push_back(&entry);
        else if (!entry.second.isAllowed && wasAllowed)
            std::erase(advice.allowed, &entry);
    }
}

void AdviceCache::recordFailure(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                                Instant notBefore)
{
    endCall(step, asked).notBefore = notBefore;
}

double AdviceCache::allowedFraction(const QueueId &queue) const
{
    // Without any answers the estimate is 1/2; it has the weight of answers about 10 workers.
    constexpr double PriorWeight = 10;
    const auto found = m_counts.find(queue);
    const VerdictCounts counts = found == m_counts.end() ? VerdictCounts() : found->second;
    return (static_cast<double>(counts.allowed) + PriorWeight / 2)
        / (static_cast<double>(counts.asked) + PriorWeight);
}

void AdviceCache::dropTicket(const StepKey &step, const WorkerIncarnation &worker)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict != found->second.verdicts.end())
        verdict->second.expires = Instant{};
}

void AdviceCache::forget(const JobId &job)
{
    eraseStepsOf(job, m_steps);
}

} // namespace Cranberrymount
