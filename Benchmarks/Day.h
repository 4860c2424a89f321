#pragma once

#include "Decision/ShardView.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** Parameters of a simulated day: a fleet and the random jobs that arrive at it. */
struct DayShape
{
    std::string name;
    int workers = 17;
    int workersPerRack = 8;
    Resources capacity;
    /** Every n-th worker has accelerators; 0 for none. */
    int acceleratorStride = 0;
    int teams = 3;
    /** Virtual time that the simulation covers. */
    Duration length{600'000};
    /** Mean time between the arrivals of two jobs. */
    Duration meanJobInterval{1500};
    /** Largest number of tasks of a job. */
    int maxTasks = 24;
    Duration meanRunTime{20'000};
    /** Run time that a checkpointed task has to repeat. */
    Duration checkpointCost{2000};
    /** Fraction of gangs among all jobs, 0 to 1. */
    double gangFraction = 0.1;
    /** Fraction of urgent jobs among those that are not gangs, 0 to 1. */
    double urgentFraction = 0.02;
};

/**
 * Measurements of one simulated day under one policy. A wait lasts from the arrival of a task to
 * its first start, or to the end of the day if the task never started.
 */
struct DayResult
{
    double meanWaitSeconds = 0;
    double p99WaitSeconds = 0;
    /** Over the urgent tasks that started. */
    double maxUrgentWaitSeconds = 0;
    /** Over all gang tasks, started or not. */
    double gangMeanWaitSeconds = 0;
    std::size_t gangTasksStarted = 0;
    /** Mean fraction of the fleet's dominant resource in use while jobs waited, 0 to 1. */
    double packing = 0;
    /**
     * Mean difference between a team's use and its fair share while all teams had jobs waiting, as
     * a fraction of the fleet.
     */
    double shareError = 0;
    std::size_t started = 0;
    std::size_t checkpointed = 0;
    std::size_t finished = 0;
    /** 99th percentile, over the calls of the policy, of the time per placement. */
    double decisionP99Micros = 0;
    /** Placements per second of time spent in the policy. */
    double decisionsPerSecond = 0;
};

using Policy = std::function<ShardDecision(const ShardView &)>;

/** Simulates a day of @p shape, whose jobs are drawn with @p seed, under @p policy. */
DayResult runDay(const DayShape &shape, uint64_t seed, const Policy &policy);

} // namespace Cranberrymount
