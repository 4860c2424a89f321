#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Cranberrymount {

/** A point in time on a machine's boot clock; never compared between machines. */
using Instant = std::chrono::steady_clock::time_point;
/** A span of time in whole milliseconds, the unit in which processes exchange spans. */
using Duration = std::chrono::milliseconds;

/** @return the pause after @p failures earlier failures: @p first, doubled with each of them up to
 * @p maximum. */
constexpr Duration exponentialBackoff(Duration first, uint32_t failures, Duration maximum)
{
    // Keeps the product far from overflow.
    constexpr uint32_t MaxDoublings = 16;
    return std::min<Duration>(first * (int64_t{1} << std::min(failures, MaxDoublings)), maximum);
}

} // namespace Cranberrymount
