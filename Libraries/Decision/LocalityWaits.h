#pragma once

#include "State/JobTable.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Cranberrymount {

/** What a scheduling round decided about a step that takes longer on remote workers. */
struct LocalityDecision
{
    StepKey step;
    /** Tasks that could start remotely now and wait for a local placement. */
    int64_t waitingTasks = 0;
    /** Tasks that were started remotely. */
    int64_t remoteStarts = 0;
};

/** Remembers since when steps have waited for a local placement. Kept in memory only: a new leader
 * counts the time anew, within the same bounds. */
class LocalityWaits
{
public:
    /** Adds to the counter @p name. */
    using Counter = std::function<void(const char *name, double by)>;

    /** @return since when the step could have started remotely, if it has waited before. */
    std::optional<Instant> waitingSince(const StepKey &step) const;
    /** @return true if the last decision about the step was to wait. */
    bool isWaiting(const StepKey &step) const;
    /**
     * Records the decisions of a round.
     * @param count counts steps that begin to wait, waits after which all tasks started locally,
     * and waits after which a task started remotely.
     */
    void update(const std::vector<LocalityDecision> &decisions, Instant now, const Counter &count);
    /** Removes the steps of @p job. */
    void forget(const JobId &job) { eraseStepsOf(job, m_steps); }

private:
    struct Wait
    {
        Instant since{};
        bool isWaiting = false;
    };

    std::map<StepKey, Wait> m_steps;
};

} // namespace Cranberrymount
