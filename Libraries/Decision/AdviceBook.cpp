#include "Decision/AdviceBook.h"

namespace Cranberrymount {

const AdviceBook::StepAdvice *AdviceBook::find(const StepKey &step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? nullptr : &found->second;
}

const AdviceBook::Verdict *AdviceBook::StepAdvice::find(const WorkerIncarnation &worker) const
{
    const auto found = verdicts.find(worker);
    return found == verdicts.end() ? nullptr : &found->second;
}

void AdviceBook::beginAsking(const StepKey &step, const std::vector<WorkerIncarnation> &asked)
{
    StepAdvice &advice = m_steps[step];
    ++advice.callsInFlight;
    advice.workersInFlight.insert(asked.begin(), asked.end());
}

AdviceBook::StepAdvice &AdviceBook::endCall(const StepKey &step,
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

void AdviceBook::answer(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                        const std::map<WorkerId, std::string> &tickets, Instant expires)
{
    StepAdvice &advice = endCall(step, asked);
    m_askedCount += asked.size();
    m_allowedCount += tickets.size();
    for (const WorkerIncarnation &worker : asked) {
        const auto ticket = tickets.find(worker.id);
        if (ticket == tickets.end())
            advice.verdicts[worker] = {};
        else
            advice.verdicts[worker] = {true, ticket->second, expires};
    }
}

void AdviceBook::fail(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                      Instant notBefore)
{
    endCall(step, asked).notBefore = notBefore;
}

double AdviceBook::allowedFraction() const
{
    // Without any answers the estimate is 1/2; it has the weight of answers about 10 workers.
    constexpr double PriorWeight = 10;
    return (static_cast<double>(m_allowedCount) + PriorWeight / 2)
        / (static_cast<double>(m_askedCount) + PriorWeight);
}

void AdviceBook::dropTicket(const StepKey &step, const WorkerIncarnation &worker)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    const auto verdict = found->second.verdicts.find(worker);
    if (verdict != found->second.verdicts.end())
        verdict->second.expires = Instant{};
}

void AdviceBook::forget(const JobId &job)
{
    eraseStepsOf(job, m_steps);
}

} // namespace Cranberrymount
