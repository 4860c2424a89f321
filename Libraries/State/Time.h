#pragma once

#include <chrono>

namespace Cranberrymount {

/** A point in time on a machine's boot clock; never compared between machines. */
using Instant = std::chrono::steady_clock::time_point;
/** A span of time in whole milliseconds, the unit in which processes exchange spans. */
using Duration = std::chrono::milliseconds;

} // namespace Cranberrymount
