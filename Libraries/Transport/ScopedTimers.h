#pragma once

#include "Transport/TimerService.h"

#include <memory>

namespace Cranberrymount {

/** Timers for use as a member: their callbacks no longer run once the owner is destroyed. */
class ScopedTimers
{
public:
    explicit ScopedTimers(TimerService &timers)
        : m_timers(timers)
    {
    }

    Instant now() const { return m_timers.now(); }
    void after(Duration delay, std::function<void()> callback)
    {
        m_timers.after(delay, [alive = std::weak_ptr(m_alive), callback = std::move(callback)] {
            if (!alive.expired())
                callback();
        });
    }

private:
    TimerService &m_timers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
