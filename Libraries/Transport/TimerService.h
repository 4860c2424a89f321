#pragma once

#include "State/Time.h"

#include <functional>

namespace Cranberrymount {

/**
 * The only source of time for the control state. Components use it instead of reading a clock, so
 * that tests can run them in virtual time.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /** @return the current time; it also advances while the machine is suspended. */
    virtual Instant now() const = 0;

    /** Calls @p callback once, after @p delay, on the control thread. */
    virtual void after(Duration delay, std::function<void()> callback) = 0;

    /** Calls @p callback every @p period until the service ends, on the control thread. */
    void every(Duration period, std::function<void()> callback);
};

} // namespace Cranberrymount
