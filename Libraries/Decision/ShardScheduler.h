#pragma once

#include "Decision/ShardView.h"
#include "Decision/WorkerAllocator.h"

namespace Cranberrymount {

/**
 * Decides which waiting tasks of one shard start on which workers. The result depends on the
 * ShardView only.
 *
 * Order: urgent work first; then the team that is furthest below its share, by the dominant
 * resource (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011); within a team the earliest
 * deadline, then the earliest arrival. Of the gangs that do not fit, only the one of the team
 * furthest below its share gets a reservation, so that gangs cannot block each other. Work that
 * ends before the gang starts may still use the reserved capacity.
 */
class ShardScheduler
{
public:
    struct Settings
    {
        /** Time that a gang waits before capacity is reserved for it. */
        Duration gangReservationDelay{5000};
        /** Time that urgent work waits before it may preempt running batch tasks. */
        Duration urgentPreemptionDelay{500};
        /** Time that work of a team below its share waits before it may preempt other teams' batch
         * tasks. */
        Duration sharePreemptionDelay{5000};
        /** Fraction of the shard by which one team must stay below and the other above its share
         * for such a preemption. */
        double shareTolerance = 0.03;
        /** A task that has run for less than this is not preempted for shares. */
        Duration sharePreemptionMinRun{10'000};
    };

    ShardScheduler();
    explicit ShardScheduler(Settings settings);

    /** @return the starts and preemptions of one pass over @p view. */
    ShardDecision decide(const ShardView &view) const;

private:
    Settings m_settings;
};

} // namespace Cranberrymount
