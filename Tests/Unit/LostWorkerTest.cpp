#include "CellFixture.h"

using namespace Cranberrymount;

namespace {

/** By the users' rules a task runs again this long after its last run, while there is capacity. */
constexpr Duration MaxRestartTime{9000};
constexpr uint32_t Tasks = 6;

/** Six workers with one long task each, under leases of a given longest duration. */
class LostWorker
{
public:
    explicit LostWorker(Duration longestLease, bool isService = true, double clockRate = 1)
    {
        for (FakeCellWorker &worker : m_cell.workers)
            worker.clockRate = clockRate;
        m_cell.terms.leaseLength = longestLease;
        m_cell.taskLength = std::chrono::minutes(10);
        // Progress of 99% is not checked for stalls.
        m_cell.estimatedLength = Duration(1000);
        elect();
        WorkflowSpec spec;
        StepSpec &step = spec.steps.emplace_back();
        step.taskCount = Tasks;
        step.need = {CpuMillis(4'000), MemoryMb(1'000), AcceleratorCount(0)};
        step.estimate = Duration(1000);
        step.isService = isService;
        step.maxPerWorker = 2;
        m_cell.submit(std::move(spec));
        REQUIRE(m_cell.runUntil([this] { return atWork() == Tasks; }, Duration(3000)));
        // Longer than the wait for leases of an earlier leader.
        m_cell.run(Duration(20'000));
        REQUIRE(m_cell.startCount == Tasks);
        const auto isBusy = [](const FakeCellWorker &worker) { return !worker.running.empty(); };
        m_lost = &*std::ranges::find_if(m_cell.workers, isBusy);
    }
    ~LostWorker()
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
    }

    void elect()
    {
        m_cell.elect();
        REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    }

    /** Lets the worker report that it leaves, and end with all that runs on it. */
    void leaveAsPlanned()
    {
        m_lost->info.isLeaving = true;
        m_cell.run(Duration(2500));
        m_lost->running.clear();
        m_lost->isUnreachable = true;
        m_lost->isCutFromStore = true;
    }

    std::size_t atWork() const
    {
        std::size_t count = 0;
        for (const FakeCellWorker &worker : m_cell.workers)
            count += worker.running.size();
        return count;
    }

    /** @return true if all tasks run within @p limit. */
    bool restartsWithin(Duration limit)
    {
        return m_cell.runUntil([this] { return atWork() == Tasks; }, limit);
    }

    CellSimulation m_cell{1};
    FakeCellWorker *m_lost = nullptr;
};

} // namespace

// Guards against a wait for the longest lease that a worker grants, which may exceed the limit.
TEST_CASE("Tasks of a worker that leaves as planned run again in time at any longest lease",
          "[cell][lostworker]")
{
    LostWorker cell(Duration(GENERATE(6000, 8000, 10'000)), GENERATE(true, false));
    cell.leaveAsPlanned();
    CHECK(cell.restartsWithin(MaxRestartTime));
}

// Guards against a new leader that waits for all leases that the former one may have extended after
// its end.
TEST_CASE("Tasks of a worker that leaves while the leader is killed run again in time",
          "[cell][lostworker]")
{
    LostWorker cell(Duration(GENERATE(6000, 10'000)), GENERATE(true, false));
    const Duration election(GENERATE(150, 1200, 2000));
    cell.leaveAsPlanned();
    cell.m_cell.killLeader();
    cell.m_cell.run(election);
    cell.elect();
    CHECK(cell.restartsWithin(MaxRestartTime - election));
}

// Guards against a second run of a task whose worker has lost its entry in the store and refuses
// all connections, but runs on under a lease that only a former leader can extend.
TEST_CASE("Task of a worker that is cut off and runs on starts elsewhere only after its lease",
          "[cell][lostworker]")
{
    // The slowest clock that the platform's documentation allows.
    LostWorker cell(Duration(GENERATE(6000, 10'000)), true, 0.98);
    enum Former { Same, Killed, Frozen, CutFromStore };
    const auto former = GENERATE(Same, Killed, Frozen, CutFromStore);
    const Duration election(GENERATE(100, 700, 1500, 5900));
    const bool isLeaving = GENERATE(false, true);
    CAPTURE(former, election.count(), isLeaving);
    const WorkerId lost = cell.m_lost->info.incarnation.id;
    cell.m_lost->info.isLeaving = isLeaving;
    cell.m_cell.run(Duration(1500));
    LeaderProcess &process = cell.m_cell.leaderProcess();
    cell.m_lost->isCutFromStore = true;
    if (former == Same)
        process.unreachable.insert(lost);
    if (former == Killed)
        cell.m_cell.killLeader();
    if (former == Frozen)
        process.freeze();
    if (former == CutFromStore)
        process.isCutFromStore = true;
    cell.m_cell.run(election);
    if (former != Same) {
        cell.m_cell.elect();
        cell.m_cell.leaderProcess().unreachable.insert(lost);
    }
    cell.m_cell.run(Duration(3000));
    process.thaw();
    CHECK(cell.m_cell.runUntil([&] { return cell.m_cell.startCount > Tasks; }, Duration(20'000)));
    const auto gap = cell.m_cell.gaps.smallest(false);
    REQUIRE(gap);
    CHECK(gap->time >= Duration(0));
}

// Guards against leases that are too short for a change of leader.
TEST_CASE("No lease expires in a change of leader of 2.5 s", "[cell][lostworker]")
{
    LostWorker cell(Duration(GENERATE(6000, 10'000)));
    cell.m_cell.run(Duration(GENERATE(range(0, 1000, 100))));
    cell.m_cell.killLeader();
    cell.m_cell.run(Duration(2500));
    cell.elect();
    cell.m_cell.run(Duration(10'000));
    CHECK(cell.m_cell.startCount == Tasks);
    CHECK(cell.atWork() == Tasks);
}

// Guards against leases that are too short for an outage of the store, or that are extended too
// late after it.
TEST_CASE("No lease expires in an outage of the store of 5 s", "[cell][lostworker]")
{
    LostWorker cell(Duration(GENERATE(6000, 10'000)));
    const bool isUnresponsive = GENERATE(false, true);
    cell.m_cell.run(Duration(GENERATE(range(0, 1000, 50))));
    (isUnresponsive ? cell.m_cell.store.isUnresponsive : cell.m_cell.store.isDown) = true;
    cell.m_cell.run(Duration(5000));
    cell.m_cell.store.isUnresponsive = cell.m_cell.store.isDown = false;
    cell.m_cell.run(Duration(10'000));
    CHECK(cell.m_cell.startCount == Tasks);
    CHECK(cell.atWork() == Tasks);
}

// Guards against a successor that does not know that a start has reached the next incarnation of a
// worker, which grants its longest lease since its clock has started anew.
TEST_CASE("Run that a leader has moved to a worker's next incarnation is not repeated beside it",
          "[cell][lostworker]")
{
    LostWorker cell(Duration(10'000));
    LeaderProcess &former = cell.m_cell.leaderProcess();
    const std::size_t last = cell.m_cell.workers.size() - 1;
    FakeCellWorker &worker = cell.m_cell.workers[last];
    former.startDelay = Duration(1200);
    for (const FakeCellWorker &other : cell.m_cell.workers) {
        if (&other != &worker)
            former.unreachable.insert(other.info.incarnation.id);
    }
    cell.m_cell.run(Duration(2500));
    cell.m_cell.submit(1, Small, Duration(60'000));
    cell.m_cell.run(Duration(200));
    worker.isCutFromStore = true;
    worker.isUnreachable = true;
    cell.m_cell.run(Duration(520));
    cell.m_cell.crash(last);
    worker.isUnreachable = false;
    const std::size_t starts = cell.m_cell.startCount;
    REQUIRE(cell.m_cell.runUntil([&] { return cell.m_cell.startCount > starts; }, Duration(1500)));
    cell.m_cell.run(Duration(100));
    cell.m_cell.killLeader();
    cell.m_cell.run(Duration(GENERATE(0, 500)));
    cell.m_cell.elect();
    cell.m_cell.leaderProcess().unreachable.insert(worker.info.incarnation.id);
    cell.m_cell.run(Duration(30'000));
    CHECK(cell.m_cell.startCount > starts + 1);
}
