#include "Coordination/SchedulerLoad.h"

namespace Cranberrymount {

std::ostream &operator<<(std::ostream &out, const SchedulerLoad &load)
{
    const auto milliseconds = [](Instant::duration time) {
        return std::chrono::duration_cast<Duration>(time).count();
    };
    return out << "rounds=" << load.rounds << " in_rounds_ms=" << milliseconds(load.inRounds)
               << " gathering_ms=" << milliseconds(load.gathering)
               << " deciding_ms=" << milliseconds(load.deciding) << " starts=" << load.starts
               << " reports=" << load.reports << " late_ms=" << milliseconds(load.latestTimer)
               << " steps_without_room=" << load.waiting.withoutRoom
               << " steps_without_ticket=" << load.waiting.withoutTicket
               << " steps_at_limit=" << load.waiting.atLimit;
}

} // namespace Cranberrymount
