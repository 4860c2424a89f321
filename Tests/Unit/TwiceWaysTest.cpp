#include "CellFixture.h"

#include "Protocol/JournalCodec.h"
#include "Protocol/ProtocolError.h"

using namespace Cranberrymount;

namespace {

constexpr double SlowestClockRate = 0.98;

/** @return true if @p value is a segment that holds an assignment of a run. */
bool holdsAssignment(const std::string &value)
{
    try {
        const auto isAssignment = [](const JournalRecord &record) {
            return std::holds_alternative<RunAssigned>(record);
        };
        return std::ranges::any_of(decodeSegment(value).records, isAssignment);
    } catch (const ProtocolError &) {
        return false;
    }
}

/** Two leaders at once, of which the former one goes on without the store. */
class TwoLeadersFixture : public CellFixture
{
protected:
    /** @return the keys of the segments that hold assignments. */
    std::vector<std::string> assignments()
    {
        std::vector<std::string> keys;
        m_cell.store.list(SegmentPrefix, [&keys](const StoreRead &read) {
            for (const StoreEntry &entry : read.entries) {
                if (holdsAssignment(entry.value))
                    keys.push_back(entry.key);
            }
        });
        m_cell.run(m_cell.store.latency);
        return keys;
    }

    const WorkerId &idOf(std::size_t worker) const
    {
        return m_cell.workers[worker].info.incarnation.id;
    }

    /** Lets the leader start @p tasks tasks, all of them on the first worker. */
    JobId startOnFirstWorker(uint32_t tasks, Duration length)
    {
        for (std::size_t worker = 1; worker < m_cell.workers.size(); ++worker)
            m_cell.leaderProcess().unreachable.insert(idOf(worker));
        m_cell.run(Duration(2500));
        return m_cell.submit(tasks, Small, length);
    }

    void checkLeastGap(Duration least)
    {
        const auto gap = m_cell.gaps.smallest(true);
        REQUIRE(gap);
        INFO(gap->start);
        CHECK(gap->time >= least);
    }
};

} // namespace

// Guards against a bound of the leases that lacks the time in which the former leader's last start
// is on its way.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Start of a former leader that arrives late is over before the task starts again",
                 "[cell]")
{
    m_cell.workers[0].clockRate = GENERATE(1.0, SlowestClockRate);
    const Duration delay(GENERATE(1, 300, 750, 1250));
    const bool restarts = GENERATE(false, true);
    CAPTURE(delay.count(), restarts);
    LeaderProcess &former = m_cell.leaderProcess();
    former.startDelay = delay;
    startOnFirstWorker(6, Duration(60'000));
    // The start follows the answer, shortly before the claim is too old for it.
    former.commitResponseDelay = Duration(1100);
    REQUIRE(m_cell.runUntil([this] { return !assignments().empty(); }, Duration(5000)));
    former.isCutFromStore = true;
    m_cell.elect();
    m_cell.leaderProcess().unreachable.insert(idOf(0));
    if (restarts) {
        m_cell.run(Duration(700));
        m_cell.workers[0].isUnreachable = true;
        m_cell.run(Duration(520));
        m_cell.crash(0);
        m_cell.workers[0].isUnreachable = false;
    }
    m_cell.run(Duration(30'000));
    CHECK(m_cell.startCount >= 6);
    if (m_cell.startCount > 6)
        checkLeastGap(Duration(300));
}

// Guards against leases that nobody counts: the worker is not listed, each leader in turn goes on
// without the store, and the next one takes over soon.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Attempt on an unlisted worker is over before the last of several leaders repeats "
                 "it",
                 "[cell]")
{
    m_cell.workers[0].clockRate = GENERATE(1.0, SlowestClockRate);
    const int leaders = GENERATE(1, 2, 4);
    const Duration reign(GENERATE(500, 3000, 5900, 11'000));
    const bool isListedFirst = GENERATE(false, true);
    CAPTURE(leaders, reign.count(), isListedFirst);
    startOnFirstWorker(6, Duration(90'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 6; }, Duration(1000)));
    m_cell.workers[0].isCutFromStore = true;
    if (!isListedFirst)
        m_cell.run(Duration(6000));
    for (int leader = 0; leader < leaders; ++leader) {
        m_cell.leaderProcess().isCutFromStore = true;
        m_cell.elect();
        m_cell.run(reign);
    }
    m_cell.run(Duration(30'000));
    CHECK(m_cell.startCount >= 6);
    if (m_cell.startCount > 6)
        checkLeastGap(Duration(300));
}

// Guards against a second run of a task whose assignment is in a segment that can't be read.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Runs whose assignments can't be read are not repeated beside them", "[cell]")
{
    const bool isReachable = GENERATE(true, false);
    CAPTURE(isReachable);
    const JobId job = startOnFirstWorker(6, Duration(20'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 6; }, Duration(1000)));
    m_cell.run(Duration(1000));
    m_cell.leaderProcess().isCutFromStore = true;
    for (const std::string &key : assignments())
        m_cell.store.damage(key);
    m_cell.elect();
    if (!isReachable)
        m_cell.leaderProcess().unreachable.insert(idOf(0));
    CHECK(reachesState(job, JobState::Done, Duration(90'000)));
}
