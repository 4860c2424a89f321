#pragma once

#include <cstddef>

namespace Cranberrymount {

/** How long a round of the cell's decisions takes. */
struct RoundTimes
{
    double meanMilliseconds = 0;
    std::size_t starts = 0;
    std::size_t adviceCalls = 0;
};

/**
 * Times rounds over a pool of @p workers that is three quarters full, with @p waiting advised steps
 * that know some workers and hold no ticket, as after an outage of the store. The first @p gangs of
 * them are gangs, twenty wide.
 */
RoundTimes timeRounds(std::size_t workers, std::size_t waiting, std::size_t gangs);

} // namespace Cranberrymount
