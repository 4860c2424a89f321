#include "CellFixture.h"

using namespace Cranberrymount;

// Guards against a task that runs again after its job was shown as done, because the only copies of
// its end were lost with the leader and the worker.
TEST_CASE_METHOD(CellFixture, "Job whose end is not stored yet is not shown as done", "[cell]")
{
    const JobId job = m_cell.submit(4, Small, Duration(1000));
    m_cell.run(Duration(500));
    m_cell.store.isDown = true;
    m_cell.run(Duration(1500));
    CHECK(m_cell.stateOf(job) == JobState::Running);
    m_cell.killLeader();
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker)
        m_cell.crash(worker);
    m_cell.store.isDown = false;
    m_cell.elect();
    CHECK(reachesState(job, JobState::Done));
}

// Guards against a second run of a task whose start has reached the next incarnation of its worker
// while the store still lists the former one.
TEST_CASE_METHOD(CellFixture,
                 "Run on a worker's unlisted next incarnation is not repeated on another worker",
                 "[cell]")
{
    for (std::size_t worker = 1; worker < m_cell.workers.size(); ++worker)
        m_cell.workers[worker].isUnreachable = true;
    m_cell.run(Duration(2000));
    m_cell.workers[0].isCutFromStore = true;
    m_cell.crash(0);
    const JobId job = m_cell.submit(2, Small, Duration(4000));
    REQUIRE(m_cell.runUntil([this] { return m_cell.startCount == 2; }, Duration(500)));
    for (FakeCellWorker &worker : m_cell.workers)
        worker.isUnreachable = false;
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 2);
}

// Guards against tasks that wait for the leases of a worker whose address another one has taken.
TEST_CASE_METHOD(CellFixture, "Runs of a replaced worker are started again without delay", "[cell]")
{
    const JobId job = m_cell.submit(2, Small, Duration(2000));
    REQUIRE(
        m_cell.runUntil([this] { return m_cell.workers[0].running.size() == 2; }, Duration(500)));
    // The former entry stays in the store for a while.
    m_cell.workers[0].isCutFromStore = true;
    m_cell.replace(0);
    CHECK(reachesState(job, JobState::Done, Duration(4500)));
    CHECK(m_cell.startCount == 4);
}

// Guards against a second run of a task whose delayed start reaches the next incarnation of a
// worker after the former one had confirmed the stop.
TEST_CASE_METHOD(CellFixture,
                 "Stop confirmed by a worker's former incarnation does not count for the next one",
                 "[cell]")
{
    m_cell.lateCommandRate = 1;
    m_cell.lateCommandsOutliveWorkers = true;
    const JobId job = m_cell.submit(6, Small, Duration(30'000));
    m_cell.run(Duration(400));
    m_cell.lateCommandRate = 0;
    const auto &stopped = m_cell.workers[0].highestAttempt;
    // A confirmed stop raises the highest attempt that the worker knows.
    REQUIRE(m_cell.runUntil([&stopped] { return !stopped.empty(); }, Duration(2000)));
    m_cell.crash(0);
    // The task's next attempt goes to another worker.
    m_cell.evacuated = {m_cell.workers[0].info.zone};
    CHECK(reachesState(job, JobState::Done, Duration(80'000)));
}

// Guards against a leader that resumes after its successor has placed its tasks elsewhere and
// sends starts whose records the store confirmed before.
TEST_CASE_METHOD(CellFixture, "Leader that resumes sends no start that was confirmed long ago",
                 "[cell]")
{
    m_cell.store.latency = Duration(20);
    const Duration delay(GENERATE(range(5, 100, 5)));
    LeaderProcess &former = m_cell.leaderProcess();
    m_cell.submit(6, Small, Duration(10'000));
    m_cell.run(delay);
    former.freeze();
    m_cell.run(Duration(2000));
    // The new leader starts the tasks on other workers.
    m_cell.evacuated = {m_cell.workers[0].info.zone};
    m_cell.elect();
    m_cell.run(Duration(1500));
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker) {
        // The next incarnation has not received a command of the new leader.
        if (m_cell.workers[worker].running.empty())
            m_cell.crash(worker);
    }
    former.thaw();
    m_cell.run(Duration(3000));
}

// Guards against a leader that extends leases although its claim was last known to hold before it
// was frozen: its successor counts on the end of these leases.
TEST_CASE_METHOD(CellFixture, "Leader that resumes without the store extends no lease", "[cell]")
{
    m_cell.store.latency = Duration(20);
    // Progress that is close to 100% is not checked for stalls.
    m_cell.estimatedLength = Duration(100);
    const Duration delay(GENERATE(range(0, 100, 10)));
    // The leader reaches only the first worker, its successor only the others.
    const WorkerId first = m_cell.workers[0].info.incarnation.id;
    LeaderProcess &former = m_cell.leaderProcess();
    for (const FakeCellWorker &worker : m_cell.workers) {
        if (worker.info.incarnation.id != first)
            former.unreachable.insert(worker.info.incarnation.id);
    }
    m_cell.run(Duration(2000));
    m_cell.submit(6, Small, Duration(30'000));
    m_cell.run(Duration(1500));
    m_cell.submit(1, Small, Duration(100));
    m_cell.run(delay);
    former.freeze();
    m_cell.run(Duration(1000));
    m_cell.elect();
    m_cell.leaderProcess().unreachable.insert(first);
    m_cell.run(Duration(3000));
    former.isCutFromStore = true;
    former.thaw();
    m_cell.run(Duration(30'000));
    CHECK(m_cell.startCount > 6);
}
