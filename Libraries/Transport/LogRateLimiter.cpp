#include "Transport/LogRateLimiter.h"

#include <glog/logging.h>

namespace Cranberrymount {

namespace {

/** More than the 190 task starts per second in the users' deployment files; a line costs about
 * 10 us. */
constexpr uint32_t MaxLinesPerSecond = 300;
constexpr std::chrono::seconds WindowLength{1};

} // namespace

bool LogRateLimiter::allow(std::string_view kind)
{
    Window &window = m_windows[kind];
    const Instant now = m_timers.now();
    if (now - window.begin >= WindowLength) {
        if (window.suppressedLines > 0)
            LOG(INFO) << "event=lines_left_out kind=" << kind
                      << " count=" << window.suppressedLines;
        window = {now, 0, 0};
    }
    if (++window.lines <= MaxLinesPerSecond)
        return true;
    ++window.suppressedLines;
    return false;
}

} // namespace Cranberrymount
