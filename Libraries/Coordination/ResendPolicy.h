#pragma once

#include "Transport/ScopedTimers.h"

#include <chrono>
#include <cstdint>

namespace Cranberrymount {

/**
 * Decides when a call to the store that got no answer is sent again while the earlier try is open.
 * The delay follows the measured response times, and a budget bounds the additional calls, so that
 * a store that is slow or overloaded is not pressed harder.
 */
class ResendPolicy
{
public:
    /** Calls per second that may be sent in addition to first tries. */
    static constexpr double ExtraCallsPerSecond = 160;
    /** Additional calls that may be sent at once after a time without any. */
    static constexpr double MaxExtraCallBurst = 80;

    explicit ResendPolicy(TimerService &timers);

    /** Records how long the store took to answer a call. */
    void recordResponse(Duration time);

    /**
     * @param tries how often the call has been sent so far, at least once
     * @return how long to wait for an answer to the last try before the next one
     */
    Duration delayAfter(uint32_t tries) const;

    /** Runs @p check after @p delay, and after the answers that have arrived by then are handled,
     * even if this process was busy. */
    static void checkAfter(ScopedTimers &timers, Duration delay, std::function<void()> check);

    /** @return true if an additional call may be sent now; it then counts against the budget. */
    bool takeExtraCall();

    /** @return how many additional calls the budget has refused. */
    uint64_t refusedCalls() const { return m_refusedCalls; }

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    TimerService &m_timers;
    /** Smoothed response time and its mean deviation, as TCP computes them (RFC 6298). */
    Milliseconds m_mean;
    Milliseconds m_deviation;
    double m_tokens = MaxExtraCallBurst;
    Instant m_filledAt{};
    uint64_t m_refusedCalls = 0;
};

} // namespace Cranberrymount
