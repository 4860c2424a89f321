#pragma once

#include "State/Time.h"

#include <ctime>

namespace Cranberrymount {

/** @return the current time of a system clock such as CLOCK_BOOTTIME. */
inline std::chrono::nanoseconds readSystemClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/** @return the time since the machine booted; unlike the steady clock, this includes the time in
 * which the machine was suspended. */
inline Duration bootTime()
{
    return std::chrono::duration_cast<Duration>(readSystemClock(CLOCK_BOOTTIME));
}

/** @return the current time for all points in time that this process compares: permissions that it
 * has been given run out also while the machine is suspended. */
inline Instant bootInstant()
{
    return Instant(readSystemClock(CLOCK_BOOTTIME));
}

} // namespace Cranberrymount
