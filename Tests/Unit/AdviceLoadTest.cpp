#include "AdvisedPoolFixture.h"

using namespace Cranberrymount;

// Guards against gangs that use up the advisor with calls whose tickets expire before the gang is
// whole, and then wait for as long as others ask too.
TEST_CASE_METHOD(AdvisedPoolFixture,
                 "Gangs of a pool that is not full start soon although all need advice",
                 "[dispatcher][adviceload]")
{
    build(350, 35);
    submitMix(0.7, Duration(30'000));
    INFO("waits p50 " << gangWait(0.5).count() << " p90 " << gangWait(0.9).count() << " max "
                      << gangWait(1).count() << " call time " << m_callTime[QueueId("gang")].count()
                      << " needed " << neededGangCallTime().count());
    CHECK(gangWait(0.5) <= Duration(1'500));
    CHECK(gangWait(1) <= Duration(9'000));
    CHECK(m_callTime[QueueId("gang")] <= neededGangCallTime() * 3 / 2);
}

// Guards against gangs that never have enough valid tickets at a time because they are wider than
// the calls that are made together, or because a burst keeps all callers busy.
TEST_CASE_METHOD(AdvisedPoolFixture, "Wide gang starts within seconds although others keep asking",
                 "[dispatcher][adviceload]")
{
    build(350, 35);
    submitMix(0.6, Duration(5'000));
    const JobId wide = submit("gang", 160, 4'500, GangLength, true);
    submitMix(0.6, Duration(15'000));
    INFO("wait " << waitOf(wide).count());
    CHECK(waitOf(wide) <= Duration(7'000));
}

TEST_CASE_METHOD(AdvisedPoolFixture,
                 "Every gang starts soon after a burst although callers are few",
                 "[dispatcher][adviceload]")
{
    build(120, 23);
    submitMix(1.5, Duration(8'000));
    submitMix(0.5, Duration(30'000));
    INFO("waits p50 " << gangWait(0.5).count() << " p90 " << gangWait(0.9).count() << " max "
                      << gangWait(1).count());
    // The burst and the time in which the pool works off what it brought, and 3 s more.
    CHECK(gangWait(1) <= Duration(19'000));
}
