#pragma once

#include <chrono>

namespace Cranberrymount {

/** A point in time on a process's own monotonic clock; never compared between processes. */
using Instant = std::chrono::steady_clock::time_point;
/** A span of time in whole milliseconds, the unit in which processes exchange spans. */
using Duration = std::chrono::milliseconds;

} // namespace Cranberrymount
