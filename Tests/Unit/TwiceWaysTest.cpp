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

    /** Damages the segments and lets another leader read the journal. */
    void electAfterDamage(const std::vector<std::string> &segments)
    {
        m_cell.leaderProcess().isCutFromStore = true;
        for (const std::string &key : segments)
            m_cell.store.damage(key);
        m_cell.elect();
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
    electAfterDamage(assignments());
    if (!isReachable)
        m_cell.leaderProcess().unreachable.insert(idOf(0));
    CHECK(reachesState(job, JobState::Done, Duration(90'000)));
}

// Guards against second runs when only the middle or only the end of the journal can't be read.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Runs of one unreadable segment are not repeated, those of others go on", "[cell]")
{
    const bool isLast = GENERATE(false, true);
    const bool isReachable = GENERATE(true, false);
    CAPTURE(isLast, isReachable);
    startOnFirstWorker(2, Duration(20'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 2; }, Duration(1000)));
    const std::vector<std::string> former = assignments();
    m_cell.run(Duration(500));
    const JobId middle = m_cell.submit(2, Small, Duration(20'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 4; }, Duration(1000)));
    std::vector<std::string> damaged = assignments();
    std::erase_if(damaged, [&former](const std::string &key) {
        return std::ranges::find(former, key) != former.end();
    });
    REQUIRE_FALSE(damaged.empty());
    JobId last = middle;
    if (!isLast) {
        m_cell.run(Duration(500));
        last = m_cell.submit(2, Small, Duration(20'000));
        REQUIRE(m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 6; },
                                Duration(1000)));
    }
    electAfterDamage(damaged);
    if (!isReachable)
        m_cell.leaderProcess().unreachable.insert(idOf(0));
    CHECK(reachesState(middle, JobState::Done, Duration(90'000)));
    CHECK(reachesState(last, JobState::Done, Duration(90'000)));
    if (isReachable)
        CHECK(m_cell.startCount == (isLast ? 4 : 6));
}

// Guards against work that is stopped or delayed although all workers have shown what they run.
TEST_CASE_METHOD(
    TwoLeadersFixture,
    "Unread runs of reachable workers go on, and other work starts after their reports", "[cell]")
{
    const JobId job = startOnFirstWorker(6, Duration(20'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 6; }, Duration(1000)));
    electAfterDamage(assignments());
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    const JobId other = m_cell.submit(1, Small, Duration(200));
    CHECK(reachesState(other, JobState::Done, Duration(600)));
    CHECK(m_cell.workers[0].running.size() == 6);
    CHECK(reachesState(job, JobState::Done, Duration(25'000)));
    CHECK(m_cell.startCount == 7);
}

// Guards against a second run after an end that only the worker can still tell.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Task whose assignment can't be read does not run again if its worker lists its "
                 "end",
                 "[cell]")
{
    const JobId job = startOnFirstWorker(6, Duration(1000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 6; }, Duration(1000)));
    electAfterDamage(assignments());
    const bool isReachableSoon = GENERATE(true, false);
    if (!isReachableSoon) {
        m_cell.leaderProcess().unreachable.insert(idOf(0));
        m_cell.run(Duration(5000));
        m_cell.leaderProcess().unreachable.clear();
    }
    CHECK(reachesState(job, JobState::Done, Duration(5000)));
    CHECK(m_cell.startCount == 6);
}

// Guards against a second run of a job that its client submits again, since no leader knows it.
TEST_CASE_METHOD(TwoLeadersFixture,
                 "Job whose acceptance can't be read does not run beside its unread runs", "[cell]")
{
    const bool isReachable = GENERATE(true, false);
    CAPTURE(isReachable);
    for (std::size_t worker = 1; worker < m_cell.workers.size(); ++worker)
        m_cell.leaderProcess().unreachable.insert(idOf(worker));
    m_cell.run(Duration(2500));
    const JobId job = m_cell.submit(2, Small, Duration(20'000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 2; }, Duration(1000)));
    std::vector<std::string> all;
    m_cell.store.list(SegmentPrefix, [&all](const StoreRead &read) {
        for (const StoreEntry &entry : read.entries)
            all.push_back(entry.key);
    });
    m_cell.run(m_cell.store.latency);
    electAfterDamage(all);
    if (!isReachable)
        m_cell.leaderProcess().unreachable.insert(idOf(0));
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    CHECK(m_cell.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
    CHECK(reachesState(job, JobState::Done, Duration(90'000)));
}
