#include "MemoryStore.h"

#include "Coordination/ResendPolicy.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

class ResendPolicyFixture
{
protected:
    EventQueue m_events;
    EventQueueTimers m_timers{m_events};
    ResendPolicy m_policy{m_timers};

    void answer(int calls, Duration time)
    {
        for (int call = 0; call < calls; ++call)
            m_policy.recordResponse(time);
    }

    int takeAll()
    {
        int taken = 0;
        while (m_policy.takeExtraCall())
            ++taken;
        return taken;
    }
};

} // namespace

// Guards against copies of every call to a store that is slow but loses nothing.
TEST_CASE_METHOD(ResendPolicyFixture, "Calls to a store that becomes slow wait for its new pace",
                 "[resends]")
{
    answer(100, Duration(4));
    CHECK(m_policy.delayAfter(1) < Duration(50));
    answer(1, Duration(240));
    CHECK(m_policy.delayAfter(1) > Duration(240));
    answer(100, Duration(4));
    CHECK(m_policy.delayAfter(1) < Duration(50));
}

TEST_CASE_METHOD(ResendPolicyFixture, "Tries without an answer get further apart, but not too far",
                 "[resends]")
{
    answer(100, Duration(4));
    CHECK(m_policy.delayAfter(3) == m_policy.delayAfter(1));
    CHECK(m_policy.delayAfter(20) > 4 * m_policy.delayAfter(1));
    CHECK(m_policy.delayAfter(1000) <= Duration(250));
}

// Guards against pressing an overloaded store harder: its 400 writes a second are for all.
TEST_CASE_METHOD(ResendPolicyFixture, "Additional calls stay within the budget", "[resends]")
{
    int taken = takeAll();
    CHECK(taken <= ResendPolicy::MaxExtraCallBurst);
    for (int tick = 0; tick < 100; ++tick) {
        m_events.runUntil(m_events.now() + Duration(100));
        taken += takeAll();
    }
    CHECK(taken <= ResendPolicy::MaxExtraCallBurst + 10 * ResendPolicy::ExtraCallsPerSecond);
    CHECK(taken >= 10 * ResendPolicy::ExtraCallsPerSecond);
    CHECK(m_policy.refusedCalls() > 100);
}
