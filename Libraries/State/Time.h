#pragma once

#include <chrono>

namespace Cranberrymount {

/** A point of a process's own monotonic clock; never compared between processes. */
using Instant = std::chrono::steady_clock::time_point;
/** A span of time; spans that cross a process boundary are whole milliseconds. */
using Duration = std::chrono::milliseconds;

} // namespace Cranberrymount
