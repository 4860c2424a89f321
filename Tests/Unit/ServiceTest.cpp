#include "CellFixture.h"

using namespace Cranberrymount;

namespace {

/** By the users' rules a task of a service runs again within 6 s and 3 s after its last run. */
constexpr Duration MaxRestartTime{9000};
constexpr uint32_t ServiceTasks = 20;

/**
 * Six workers of four places each, of which services have occupied 20 for longer than three times
 * their objective: the load at which Leftover work waits for the end of other work.
 */
class ServiceFixture : public CellFixture
{
protected:
    ServiceFixture()
    {
        m_cell.taskLength = std::chrono::minutes(10);
        m_cell.estimatedLength = Duration(1000);
        m_cell.submit(service(1));
        m_cell.submit(service(ServiceTasks - 1));
        REQUIRE(m_cell.runUntil([this] { return atWork() == ServiceTasks; }, Duration(3000)));
        m_cell.run(Duration(15'000));
        REQUIRE(atWork() == ServiceTasks);
    }

    static WorkflowSpec service(uint32_t tasks)
    {
        WorkflowSpec spec;
        spec.steps.resize(1);
        spec.steps[0].taskCount = tasks;
        spec.steps[0].need = {CpuMillis(4'000), MemoryMb(1'000), AcceleratorCount(0)};
        spec.steps[0].estimate = Duration(1000);
        spec.steps[0].isService = true;
        return spec;
    }

    std::size_t atWork() const
    {
        std::size_t count = 0;
        for (const FakeCellWorker &worker : m_cell.workers)
            count += worker.running.size();
        return count;
    }

    /** Ends the runs of a worker now. */
    void endRuns(std::size_t worker, RunOutcome outcome)
    {
        for (auto &[task, run] : m_cell.workers[worker].running) {
            run.outcome = outcome;
            run.endsAt = m_cell.events.now();
        }
    }

    /** Ends a worker for good, without a word. */
    void losePower(std::size_t worker)
    {
        m_cell.workers[worker].running.clear();
        m_cell.workers[worker].isUnreachable = true;
        m_cell.workers[worker].isCutFromStore = true;
    }

    /** @return true if all tasks of the services run again in time. */
    bool restartsInTime()
    {
        m_cell.run(Duration(100));
        return m_cell.runUntil([this] { return atWork() == ServiceTasks; },
                               MaxRestartTime - Duration(100));
    }
};

} // namespace

// Guards against service tasks that count as too late to be worth a start because their job is old.
TEST_CASE_METHOD(ServiceFixture, "Service task that fails in a well used pool runs again in time",
                 "[cell][service]")
{
    auto &run = m_cell.workers[0].running.begin()->second;
    run.outcome = RunOutcome::Failed;
    run.endsAt = m_cell.events.now();
    CHECK(restartsInTime());
}

// Guards against the same after the crash of a worker that comes back.
TEST_CASE_METHOD(ServiceFixture, "Service tasks of a worker that crashed run again in time",
                 "[cell][service]")
{
    m_cell.crash(0);
    CHECK(restartsInTime());
}

// Guards against the same after the loss of a worker, which leaves places for exactly all tasks.
TEST_CASE_METHOD(ServiceFixture, "Service tasks of a worker that lost power run again in time",
                 "[cell][service]")
{
    losePower(0);
    CHECK(restartsInTime());
}

// Guards against the same after a worker has left and stopped what ran on it.
TEST_CASE_METHOD(ServiceFixture, "Service tasks of a worker that leaves run again in time",
                 "[cell][service]")
{
    m_cell.workers[0].info.isLeaving = true;
    m_cell.run(Duration(2000));
    REQUIRE(atWork() == ServiceTasks);
    endRuns(0, RunOutcome::Stopped);
    CHECK(restartsInTime());
}

// Guards against the same in the zones that remain after an evacuation.
TEST_CASE_METHOD(ServiceFixture, "Service tasks that end in an evacuated zone run again elsewhere",
                 "[cell][service]")
{
    m_cell.evacuated = {ZoneId("a")};
    m_cell.run(Duration(2000));
    REQUIRE(atWork() == ServiceTasks);
    endRuns(0, RunOutcome::Stopped);
    CHECK(restartsInTime());
    CHECK(m_cell.workers[0].running.empty());
}

// Guards against the same for an end that only a later leader hears of.
TEST_CASE_METHOD(ServiceFixture, "Service task that ends without a leader runs again in time",
                 "[cell][service]")
{
    m_cell.killLeader();
    endRuns(0, RunOutcome::Failed);
    m_cell.run(Duration(1500));
    m_cell.elect();
    CHECK(m_cell.runUntil([this] { return atWork() == ServiceTasks; },
                          MaxRestartTime - Duration(1500)));
}

// Guards against the same for an end that an earlier leader has recorded but not acted on.
TEST_CASE_METHOD(ServiceFixture,
                 "Service task whose end an earlier leader wrote runs again in time",
                 "[cell][service]")
{
    endRuns(0, RunOutcome::Failed);
    m_cell.leader().quiesce([] {});
    m_cell.run(Duration(1500));
    REQUIRE(atWork() == ServiceTasks - 4);
    m_cell.killLeader();
    m_cell.elect();
    CHECK(m_cell.runUntil([this] { return atWork() == ServiceTasks; },
                          MaxRestartTime - Duration(1500)));
}

// Guards against workers that count as faulty, and get no work, because services fail on them.
TEST_CASE_METHOD(ServiceFixture, "Services that fail now and then keep no worker from being used",
                 "[cell][service]")
{
    // Small ones, each of a job of its own: three that fail in a row make a worker count as faulty.
    constexpr std::size_t Jobs = 60;
    for (std::size_t job = 0; job < Jobs; ++job) {
        WorkflowSpec spec = service(1);
        spec.steps[0].need.cpu = CpuMillis(200);
        m_cell.submit(std::move(spec));
    }
    REQUIRE(m_cell.runUntil([this] { return atWork() == ServiceTasks + Jobs; }, Duration(9000)));
    std::map<TaskKey, Instant> lastSeen;
    Duration longestWait{0};
    for (int round = 0; round < 300; ++round) {
        for (FakeCellWorker &worker : m_cell.workers) {
            for (const auto &[task, run] : worker.running)
                lastSeen[task] = m_cell.events.now();
            // The task that is at work for longest fails, once in 1.5 s on each worker.
            const auto oldest = std::ranges::min_element(
                worker.running, {}, [](const auto &entry) { return entry.second.startedAt; });
            if (round % 15 == 0 && oldest != worker.running.end()) {
                oldest->second.outcome = RunOutcome::Failed;
                oldest->second.endsAt = m_cell.events.now();
            }
        }
        m_cell.run(Duration(100));
        for (const auto &[task, seen] : lastSeen)
            longestWait = std::max(
                longestWait, std::chrono::duration_cast<Duration>(m_cell.events.now() - seen));
    }
    CHECK(longestWait < MaxRestartTime);
}

// Guards against the wait for leases that a former leader may have extended after its end.
TEST_CASE_METHOD(
    ServiceFixture,
    "Service tasks of a worker that is lost together with the leader run again in time",
    "[cell][service]")
{
    losePower(0);
    m_cell.killLeader();
    m_cell.run(Duration(1200));
    m_cell.elect();
    CHECK(m_cell.runUntil([this] { return atWork() == ServiceTasks; },
                          MaxRestartTime - Duration(1200)));
}
