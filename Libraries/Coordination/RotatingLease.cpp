#include "Coordination/RotatingLease.h"

namespace Cranberrymount {

namespace {

constexpr Duration RetryDelay{1000};

} // namespace

RotatingLease::RotatingLease(Store &store, TimerService &timers, Duration ttl)
    : m_store(store)
    , m_timers(timers)
    , m_ttl(ttl)
{
}

void RotatingLease::start()
{
    create();
}

void RotatingLease::create()
{
    m_store.createLease(m_ttl, [this, alive = std::weak_ptr(m_alive)](const StoreLease &lease) {
        if (alive.expired())
            return;
        if (lease.alive)
            m_current = lease.id;
        m_timers.after(lease.alive ? m_ttl / 2 : RetryDelay, [this] { create(); });
    });
}

} // namespace Cranberrymount
