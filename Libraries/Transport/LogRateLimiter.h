#pragma once

#include "Transport/TimerService.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace Cranberrymount {

/** Limits the number of log lines of each kind that a process writes per second. */
class LogRateLimiter
{
public:
    explicit LogRateLimiter(TimerService &timers)
        : m_timers(timers)
    {
    }

    /** @return true if a line of @p kind may be written; otherwise counts it as suppressed. */
    bool allow(std::string_view kind);

private:
    struct Window
    {
        Instant begin{};
        uint32_t lines = 0;
        uint64_t suppressedLines = 0;
    };

    TimerService &m_timers;
    std::map<std::string_view, Window> m_windows;
};

} // namespace Cranberrymount

/** Writes a structured log line if @p limiter allows it; @p kind must be a string literal. */
#define LOG_EVENT(limiter, kind) \
    if ((limiter).allow(kind)) \
    LOG(INFO) << "event=" kind " "
