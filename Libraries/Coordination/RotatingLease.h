#pragma once

#include "Protocol/Store.h"
#include "Transport/GuardedTimers.h"

#include <memory>

namespace Cranberrymount {

/**
 * A store lease that is never renewed and replaced after half its time, so that keys attached to it
 * are deleted between half the time and the whole of it after they were written.
 */
class RotatingLease
{
public:
    RotatingLease(Store &store, TimerService &timers, Duration ttl);

    void start();
    /** @return the lease for new keys, or none while the store has not granted one. */
    StoreLeaseId current() const { return m_current; }

private:
    void create();

    Store &m_store;
    GuardedTimers m_timers;
    Duration m_ttl;
    StoreLeaseId m_current;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
