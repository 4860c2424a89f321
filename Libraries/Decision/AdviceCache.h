#pragma once

#include "State/JobTable.h"

#include <map>
#include <set>

namespace Cranberrymount {

/** Advice calls that cost more than this are long; short calls must not queue behind them. */
constexpr Duration LongAdviceCallThreshold{250};

/** Number of advice calls that can be made now. */
struct AdviceCapacity
{
    std::size_t longCalls = 0;
    std::size_t shortCalls = 0;
    /** Number of callers that may make long calls, busy or not. */
    std::size_t longCallers = SIZE_MAX;

    /** @return the number that applies to a call of @p cost. */
    std::size_t &of(Duration cost)
    {
        return cost > LongAdviceCallThreshold ? longCalls : shortCalls;
    }
};

/**
 * Caches the advisor's answers by step and worker. Whether a worker may run a step never changes;
 * only the ticket that proves the permission expires.
 */
class AdviceCache
{
public:
    /** The advisor's answer about one step and one worker. */
    struct Verdict
    {
        bool isAllowed = false;
        /** Proof of the permission that a start has to carry; empty if not allowed. */
        std::string ticket;
        /** When the ticket expires. */
        Instant expires{};
    };
    /** All answers and calls in flight about one step. */
    struct StepAdvice
    {
        std::unordered_map<WorkerIncarnation, Verdict> verdicts;
        /** The entries of verdicts that allow the step. */
        std::vector<const std::pair<const WorkerIncarnation, Verdict> *> allowed;
        /** Workers that the calls in flight ask about. */
        std::set<WorkerIncarnation> workersInFlight;
        std::size_t callsInFlight = 0;
        /** Earliest time of the next call, set after a call failed. */
        Instant notBefore{};

        /** @return the verdict, or null if the advisor was not asked about @p worker. */
        const Verdict *find(const WorkerIncarnation &worker) const;
    };

    /** @return the advice on @p step, or null if no call about it was made. */
    const StepAdvice *find(const StepKey &step) const;
    /** Records that a call about @p asked is in flight. */
    void beginCall(const StepKey &step, const std::vector<WorkerIncarnation> &asked);
    /**
     * Ends a call about @p asked and stores the verdicts; workers not in @p tickets may not run
     * the step.
     *
     * @param expires when the tickets expire.
     * @param queue the step's queue; verdicts on new workers count towards its allowedFraction().
     */
    void recordAnswer(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                      const std::map<WorkerId, std::string> &tickets, Instant expires,
                      const QueueId &queue = {});
    /** Ends a call about @p asked that failed; the next one may be made at @p notBefore. */
    void recordFailure(const StepKey &step, const std::vector<WorkerIncarnation> &asked,
                       Instant notBefore);
    /** Marks the ticket as expired after the worker refused it. */
    void dropTicket(const StepKey &step, const WorkerIncarnation &worker);
    /** Removes all advice on the steps of @p job. */
    void forget(const JobId &job);
    /** @return an estimate of the fraction of workers that the advisor allows for a step of
     * @p queue, from 0 to 1. */
    double allowedFraction(const QueueId &queue) const;

private:
    /** Removes one call about @p asked from the calls in flight. */
    StepAdvice &endCall(const StepKey &step, const std::vector<WorkerIncarnation> &asked);

    struct VerdictCounts
    {
        std::size_t asked = 0;
        std::size_t allowed = 0;
    };

    std::map<StepKey, StepAdvice> m_steps;
    std::map<QueueId, VerdictCounts> m_counts;
};

} // namespace Cranberrymount
