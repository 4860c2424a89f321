#pragma once

#include "Decision/ShardView.h"

#include <functional>
#include <string>
#include <vector>

namespace Cranberrymount {

/** A fleet and the work that arrives at it; drawn with a seed. */
struct DayShape
{
    std::string name;
    int workers = 17;
    int workersPerRack = 8;
    Resources capacity;
    /** Accelerators on every n-th worker; 0 for none. */
    int acceleratorStride = 0;
    int teams = 3;
    Duration length{600'000};
    /** Mean time between jobs. */
    Duration meanJobInterval{1500};
    int maxTasks = 24;
    Duration meanRunTime{20'000};
    /** Work that a checkpointed task does again. */
    Duration checkpointCost{2000};
    double gangFraction = 0.1;
    double urgentFraction = 0.02;
};

/** What one policy made of a day. */
struct DayResult
{
    double meanWaitSeconds = 0;
    double p99WaitSeconds = 0;
    double maxUrgentWaitSeconds = 0;
    /** Over the members of gangs, started or not. */
    double gangMeanWaitSeconds = 0;
    std::size_t gangTasksStarted = 0;
    /** Dominant resource in use while work waited, 0 to 1. */
    double packing = 0;
    /** Mean distance of a team from its share while all had work waiting, as part of the fleet. */
    double shareError = 0;
    std::size_t started = 0;
    std::size_t checkpointed = 0;
    std::size_t finished = 0;
    double decisionP99Micros = 0;
    double decisionsPerSecond = 0;
};

using Policy = std::function<ShardDecision(const ShardView &)>;

/** Runs @p policy over the day that @p seed draws, in virtual time. */
DayResult runDay(const DayShape &shape, uint64_t seed, const Policy &policy);

} // namespace Cranberrymount
