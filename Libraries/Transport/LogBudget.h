#pragma once

#include "Transport/TimerService.h"

#include <cstdint>
#include <map>
#include <string_view>

namespace Cranberrymount {

/** Bounds how many lines of each kind a process writes in a second. */
class LogBudget
{
public:
    explicit LogBudget(TimerService &timers)
        : m_timers(timers)
    {
    }

    /** @return true if a line of @p kind may be written; one that may not is counted. */
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

/** Writes a structured line of @p kind, a string literal, within @p limiter. */
#define LOG_EVENT(limiter, kind) \
    if ((limiter).allow(kind)) \
    LOG(INFO) << "event=" kind " "
