#pragma once

#include "Protocol/Store.h"
#include "Transport/ScopedTimers.h"

#include <memory>

namespace Cranberrymount {

/**
 * A store lease that is replaced after half its TTL and never renewed, so that keys attached to it
 * are deleted between half the TTL and the full TTL after they were written.
 */
class RotatingLease
{
public:
    RotatingLease(Store &store, TimerService &timers, Duration ttl);

    void start();
    /** @return the lease for new keys; a default id until the store has granted the first one. */
    StoreLeaseId current() const { return m_current; }

private:
    void create();

    Store &m_store;
    ScopedTimers m_timers;
    Duration m_ttl;
    StoreLeaseId m_current;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Cranberrymount
