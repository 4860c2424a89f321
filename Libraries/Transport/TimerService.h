#pragma once

#include "State/Time.h"

#include <functional>

namespace Cranberrymount {

/**
 * The one source of time for control state. Parts subscribe to it instead of reading a clock,
 * so that tests drive them through virtual time.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /** @return the current point of this process's monotonic clock. */
    virtual Instant now() const = 0;

    /** Calls @p callback once, @p delay from now, on the control thread. */
    virtual void after(Duration delay, std::function<void()> callback) = 0;

    /** Calls @p callback every @p period until the service ends, on the control thread. */
    void every(Duration period, std::function<void()> callback);
};

} // namespace Cranberrymount
