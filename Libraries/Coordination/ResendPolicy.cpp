#include "Coordination/ResendPolicy.h"

#include <algorithm>

namespace Cranberrymount {

namespace {

/** Long enough that a leader which is busy for a moment sends no copies. */
constexpr Duration MinDelay{30};
/** The timeout of a call: later answers are not seen. */
constexpr Duration MaxDelay{1000};
/** An answer that arrived while this process was busy is handled within this time. */
constexpr Duration BusyMargin{5};
/** Tries after which the delay begins to double. */
constexpr uint32_t TriesBeforeBackoff = 8;
/** The doubled delay stays below this, unless the store itself is slower. */
constexpr Duration MaxBackoffDelay{250};
/** Assumed of a store that has answered no call yet. */
constexpr std::chrono::milliseconds InitialMean{20};
constexpr double MeanWeight = 0.125;
constexpr double DeviationWeight = 0.25;
constexpr double DeviationFactor = 4;

} // namespace

ResendPolicy::ResendPolicy(TimerService &timers)
    : m_timers(timers)
    , m_mean(InitialMean)
    , m_deviation(InitialMean / 2)
{
}

void ResendPolicy::recordResponse(Duration time)
{
    const Milliseconds sample = time;
    m_deviation += DeviationWeight * (std::chrono::abs(sample - m_mean) - m_deviation);
    m_mean += MeanWeight * (sample - m_mean);
}

Duration ResendPolicy::delayAfter(uint32_t tries) const
{
    const auto usual = std::chrono::ceil<Duration>(m_mean + DeviationFactor * m_deviation);
    const Duration first = std::clamp(usual, MinDelay, MaxDelay);
    const uint32_t doublings = tries > TriesBeforeBackoff ? tries - TriesBeforeBackoff : 0;
    return exponentialBackoff(first, doublings, std::max(first, MaxBackoffDelay));
}

void ResendPolicy::checkAfter(ScopedTimers &timers, Duration delay, std::function<void()> check)
{
    timers.after(delay, [&timers, check = std::move(check)] { timers.after(BusyMargin, check); });
}

bool ResendPolicy::takeExtraCall()
{
    const Instant now = m_timers.now();
    const std::chrono::duration<double> passed = now - m_filledAt;
    m_filledAt = now;
    m_tokens = std::min(MaxExtraCallBurst, m_tokens + ExtraCallsPerSecond * passed.count());
    if (m_tokens < 1) {
        ++m_refusedCalls;
        return false;
    }
    --m_tokens;
    return true;
}

} // namespace Cranberrymount
