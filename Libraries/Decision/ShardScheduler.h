#pragma once

#include "Decision/ShardView.h"
#include "Decision/WorkerChoice.h"

namespace Cranberrymount {

/**
 * Decides which waiting tasks of one shard start where. A pure function of its view.
 *
 * Order: urgent work first; then the team that is furthest below its share, by the dominant
 * resource (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011); within a team the earliest
 * deadline, then the earliest arrival. Of the gangs that do not fit, the one of the team
 * furthest below its share keeps a reservation, so that at most one gang at a time holds room back
 * and gangs cannot block each other; work that ends in time still uses that room.
 */
class ShardScheduler
{
public:
    struct Settings
    {
        /** A gang that has waited this long gets the next room reserved. */
        Duration gangReservationDelay{5000};
        /** Urgent work may move running batch tasks aside after this wait. */
        Duration urgentPreemptionDelay{500};
        /** A team below its share may have others' batch tasks checkpointed after this wait. */
        Duration sharePreemptionDelay{5000};
        /** Part of the shard by which both sides must miss their shares for that. */
        double shareTolerance = 0.03;
        /** What has run for less is left alone. */
        Duration sharePreemptionMinRun{10'000};
    };

    ShardScheduler();
    explicit ShardScheduler(Settings settings);

    ShardDecision decide(const ShardView &view) const;

private:
    Settings m_settings;
};

} // namespace Cranberrymount
