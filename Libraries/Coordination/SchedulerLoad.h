#pragma once

#include "Decision/Dispatcher.h"

#include <ostream>

namespace Cranberrymount {

/** Statistics of a leader's work and of why steps wait, collected between two log lines. */
struct SchedulerLoad
{
    Instant since{};
    uint32_t rounds = 0;
    Instant::duration roundTime{0};
    /** The parts of roundTime that collect the input and that decide; the rest records the starts
     * and calls the advisor. */
    Instant::duration gatheringTime{0};
    Instant::duration decidingTime{0};
    uint32_t starts = 0;
    uint32_t reports = 0;
    /** Largest delay of the scheduler's periodic timer in the interval. */
    Instant::duration maxTimerDelay{0};
    /** State after the last round. */
    WaitingSteps waiting;
    /** Callers that could make another long advice call after the last round. */
    std::size_t idleCallers = 0;
    /** Gangs that could not be placed in the last round even if the other runs ended. */
    std::size_t blockedGangs = 0;
};

std::ostream &operator<<(std::ostream &out, const SchedulerLoad &load);

} // namespace Cranberrymount
