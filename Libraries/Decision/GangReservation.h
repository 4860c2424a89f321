#pragma once

#include "Decision/ShardView.h"

#include <vector>

namespace Cranberrymount {

/** A worker on which capacity is reserved for a waiting gang. */
struct ReservedWorker
{
    /** Index into the list of workers. */
    std::size_t position = 0;
    /** When the gang is expected to start; tasks that end by then may still use the worker. */
    Instant until;
    /** Free capacity that the gang will not need; any task may use it. */
    Resources spare;
};

/**
 * Reserves capacity for one gang on the workers where it can start soonest, by the expected ends of
 * the running tasks.
 *
 * Source: the reservation of EASY backfilling (Lifka, "The ANL/IBM SP Scheduling System", JSSPP
 * 1995), applied to the capacity of many workers instead of a number of processors.
 *
 * @param workers the shard's workers with their current free capacity.
 * @param running tasks that free capacity when they end; those without an expected end are assumed
 * to run for another minute, and services never to end.
 * @return the reserved workers; empty if the gang would not fit even after all these tasks ended.
 */
std::vector<ReservedWorker> reserveWorkersFor(const WaitingGroup &gang,
                                              const std::vector<WorkerCapacity> &workers,
                                              const std::vector<RunningTask> &running, Instant now);

} // namespace Cranberrymount
