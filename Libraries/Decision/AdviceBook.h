#pragma once

#include "State/JobTable.h"

#include <map>
#include <set>

namespace Cranberrymount {

/** Calls for advice above this cost are long: short ones must not queue behind them. */
constexpr Duration LongAdviceCall{250};

/** Calls for advice that can be made now. */
struct AdviceRoom
{
    std::size_t longCalls = 0;
    std::size_t shortCalls = 0;

    std::size_t &of(Duration cost) { return cost > LongAdviceCall ? longCalls : shortCalls; }
};

/**
 * What the advisor has said about steps and workers. Whether a worker may run a step never
 * changes; only the ticket that proves it lapses.
 */
class AdviceBook
{
public:
    struct Verdict
    {
        bool isAllowed = false;
        std::string ticket;
        Instant expires{};
    };
    struct StepAdvice
    {
        std::unordered_map<WorkerLife, Verdict> verdicts;
        /** Workers that calls under way ask about. */
        std::set<WorkerLife> workersInFlight;
        std::size_t callsInFlight = 0;
        /** No call before this time, after one that brought nothing. */
        Instant notBefore{};

        /** @return the verdict, or null if the advisor was not asked about @p worker. */
        const Verdict *find(const WorkerLife &worker) const;
    };

    /** @return what is known of @p step; null if nothing is. */
    const StepAdvice *find(const StepKey &step) const;
    void beginAsking(const StepKey &step, const std::vector<WorkerLife> &asked);
    /** Takes in an answer about @p asked; workers not in @p tickets may not run the step. */
    void answer(const StepKey &step, const std::vector<WorkerLife> &asked,
                const std::map<WorkerId, std::string> &tickets, Instant expires);
    /** The call failed; the next one waits until @p notBefore. */
    void fail(const StepKey &step, const std::vector<WorkerLife> &asked, Instant notBefore);
    /** A worker refused the ticket: it is not used again. */
    void dropTicket(const StepKey &step, const WorkerLife &worker);
    void forget(const JobId &job);
    /** @return the part of the workers asked about so far that were allowed. */
    double allowedFraction() const;

private:
    StepAdvice &endCall(const StepKey &step, const std::vector<WorkerLife> &asked);

    std::map<StepKey, StepAdvice> m_steps;
    std::size_t m_askedCount = 0;
    std::size_t m_allowedCount = 0;
};

} // namespace Cranberrymount
