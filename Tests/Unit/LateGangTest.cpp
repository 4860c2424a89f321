#include "AdvisedPoolFixture.h"

using namespace Cranberrymount;

namespace {

/** Late gangs of three and six members that wait in an empty pool. */
class LateGangFixture : public AdvisedPoolFixture
{
protected:
    LateGangFixture()
    {
        addWorkers(48);
        addQueue("gang", 1, {Duration(455), std::chrono::microseconds(6500), TicketLifetime}, 2.2,
                 Duration(1000));
        m_allowedFractions = {{QueueId("gang"), 0.25}};
        addCallers(8);
    }

    /** Submits the gangs, and lets them become late without a round of the dispatcher. */
    void addLateGangs(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            submit("gang", index % 2 == 0 ? 3 : 6, 2'500, GangLength, true);
        m_events.runUntil(m_events.now() + LateBy);
    }

    static constexpr Duration LateBy{15'000};
};

} // namespace

// Guards against late gangs that are served one after the other while callers and workers are idle.
TEST_CASE_METHOD(LateGangFixture, "Thirty late gangs start within 3 s in an empty pool",
                 "[dispatcher][lategang]")
{
    addLateGangs(30);
    for (Duration time{0}; time < Duration(3'000); time += RoundInterval)
        runRound();
    INFO("calls " << m_calls[QueueId("gang")] << ", idle callers " << m_idleCallers
                  << ", without ticket " << m_waiting.withoutTicket << ", without room "
                  << m_waiting.withoutCapacity);
    CHECK(m_waits.size() == 30);
}
