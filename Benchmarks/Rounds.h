#pragma once

#include <cstddef>

namespace Cranberrymount {

/** Duration and result of a cell's dispatch rounds. */
struct RoundTimes
{
    double meanMilliseconds = 0;
    /** Tasks that a round starts. */
    std::size_t starts = 0;
    /** Calls to the advisor that a round makes. */
    std::size_t adviceCalls = 0;
};

/**
 * Times dispatch rounds over a pool of @p workers that is three quarters full. The advisor has
 * checked some of the workers for each of the @p waiting steps, but all tickets have expired, as
 * after an outage of the store. The first @p gangs steps are gangs of 20 tasks.
 */
RoundTimes timeRounds(std::size_t workers, std::size_t waiting, std::size_t gangs);

} // namespace Cranberrymount
