#include "Coordination/SchedulerLoad.h"

namespace Cranberrymount {

std::ostream &operator<<(std::ostream &out, const SchedulerLoad &load)
{
    const auto milliseconds = [](Instant::duration time) {
        return std::chrono::duration_cast<Duration>(time).count();
    };
    return out << "rounds=" << load.rounds << " in_rounds_ms=" << milliseconds(load.roundTime)
               << " gathering_ms=" << milliseconds(load.gatheringTime)
               << " deciding_ms=" << milliseconds(load.decidingTime) << " starts=" << load.starts
               << " reports=" << load.reports << " late_ms=" << milliseconds(load.maxTimerDelay)
               << " steps_without_room=" << load.waiting.withoutCapacity
               << " steps_without_ticket=" << load.waiting.withoutTicket
               << " idle_callers=" << load.idleCallers << " steps_at_limit=" << load.waiting.atLimit
               << " steps_waiting_local=" << load.waiting.forLocality
               << " steps_over_3s=" << load.waiting.olderThan3s
               << " steps_over_10s=" << load.waiting.olderThan10s
               << " gangs_blocked=" << load.blockedGangs;
}

} // namespace Cranberrymount
