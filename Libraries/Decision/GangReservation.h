#pragma once

#include "Decision/ShardView.h"

#include <vector>

namespace Cranberrymount {

/** What of one worker is kept for a waiting gang. */
struct ReservedWorker
{
    std::size_t position = 0;
    /** When the gang is expected to start; tasks that end by then may still use the worker. */
    Instant until;
    /** Room that the gang will not need; any task may use it. */
    Resources spare;
};

/**
 * Keeps room for one gang where it can start soonest, by the expected ends of the running tasks.
 *
 * Source: the reservation of EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System", JSSPP
 * 1995), for room on many workers instead of a count of processors.
 *
 * @param workers the shard's workers with their room now.
 * @param running tasks that will leave room; those without an expected end count last.
 * @return nothing if the gang would not fit even if all that is running had ended.
 */
std::vector<ReservedWorker> reserveWorkersFor(const WaitingGroup &gang,
                                              const std::vector<WorkerRoom> &workers,
                                              const std::vector<RunningTask> &running, Instant now);

} // namespace Cranberrymount
