#pragma once

#include "Decision/Dispatcher.h"

#include <ostream>

namespace Cranberrymount {

/** What a leader does and what its work waits for, gathered between two log lines. */
struct SchedulerLoad
{
    Instant since{};
    uint32_t rounds = 0;
    Instant::duration roundTime{0};
    /** The parts of rounds that gather their input and that decide; the rest gives orders. */
    Instant::duration gatheringTime{0};
    Instant::duration decidingTime{0};
    uint32_t starts = 0;
    uint32_t reports = 0;
    /** How much later than due the latest timer of the interval ran. */
    Instant::duration maxTimerDelay{0};
    /** As the last round left it. */
    WaitingSteps waiting;
};

std::ostream &operator<<(std::ostream &out, const SchedulerLoad &load);

} // namespace Cranberrymount
