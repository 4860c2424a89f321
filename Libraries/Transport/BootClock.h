#pragma once

#include "State/Time.h"

#include <ctime>

namespace Cranberrymount {

/** @return the time on a clock of the system, such as CLOCK_BOOTTIME. */
inline std::chrono::nanoseconds readSystemClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/** @return the time since the machine's start; unlike the steady clock it counts suspensions. */
inline Duration bootTime()
{
    return std::chrono::duration_cast<Duration>(readSystemClock(CLOCK_BOOTTIME));
}

} // namespace Cranberrymount
