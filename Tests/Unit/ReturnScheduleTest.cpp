#include "Decision/ReturnSchedule.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace Cranberrymount;

namespace {

/** A team whose share admits ten jobs a second and that submits twenty times as many. */
class ReturnScheduleFixture
{
protected:
    static JobId job(int number) { return JobId(fmt::format("{:016x}", number)); }
    Duration refuse(int number)
    {
        return m_schedule.recordRefusal(m_team, job(number), JobsPerSecond, m_now);
    }

    static constexpr double JobsPerSecond = 10;
    const TeamId m_team{"hot"};
    Instant m_now{Duration(100'000)};
    ReturnSchedule m_schedule;
};

} // namespace

// Guards against refused clients that all return at the same moment.
TEST_CASE_METHOD(ReturnScheduleFixture,
                 "Jobs refused in one burst return at the rate of their team's share",
                 "[returnschedule]")
{
    std::map<int64_t, int> returnsBySecond;
    Duration last{0};
    for (int number = 0; number < 200; ++number) {
        const Duration delay = refuse(number);
        CHECK(delay >= last);
        last = delay;
        ++returnsBySecond[delay.count() / 1000];
    }
    CHECK(returnsBySecond.begin()->first == 1);
    for (const auto &[second, count] : returnsBySecond)
        CHECK(count <= JobsPerSecond);
}

// Guards against a client that gains by returning earlier than it was told.
TEST_CASE_METHOD(ReturnScheduleFixture, "Job that returns too early keeps its return time",
                 "[returnschedule]")
{
    for (int number = 0; number < 50; ++number)
        refuse(number);
    const Duration first = refuse(50);
    refuse(51);
    m_now += Duration(2000);
    CHECK(refuse(50) == first - Duration(2000));
}

TEST_CASE_METHOD(ReturnScheduleFixture, "Return time of a large burst stays within its bound",
                 "[returnschedule]")
{
    for (int number = 0; number < 5000; ++number)
        CHECK(refuse(number) <= Duration(30'000));
}

// Guards against a burst that makes another team's clients wait.
TEST_CASE_METHOD(ReturnScheduleFixture, "Burst of one team does not delay another team's return",
                 "[returnschedule]")
{
    for (int number = 0; number < 500; ++number)
        refuse(number);
    CHECK(m_schedule.recordRefusal(TeamId("calm"), job(1000), JobsPerSecond, m_now)
          == Duration(1000));
}

// Guards against memory that grows with each burst.
TEST_CASE_METHOD(ReturnScheduleFixture, "Jobs that never return are forgotten", "[returnschedule]")
{
    for (int number = 0; number < 100; ++number)
        refuse(number);
    m_now += Duration(60'000);
    refuse(1000);
    CHECK(m_schedule.scheduledCount(m_team) == 1);
    m_schedule.recordAdmission(m_team, job(1000));
    CHECK(m_schedule.scheduledCount(m_team) == 0);
}
