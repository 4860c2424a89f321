#include "CellFixture.h"

using namespace Cranberrymount;

namespace {

/** A refusing worker is called after 5, 10, 20, 40 and then every 60 s. */
constexpr std::size_t MaxCallsInAMinute = 5;

} // namespace

// Guards against a leader that steps down for a worker of another system: the store says that this
// leader's claim stands (review/1).
TEST_CASE_METHOD(CellFixture, "Worker that refuses a standing claim deposes no leader", "[cell]")
{
    const std::size_t foreign = m_cell.addForeignWorker("pool");
    m_cell.run(Duration(2000));
    const JobId job = m_cell.submit(60, Small, Duration(1000));
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 60);
    CHECK(m_cell.leaderProcess().startsSent == 60);
    m_cell.run(Duration(60'000));
    CHECK(m_cell.workers[foreign].fencedCommands <= MaxCallsInAMinute);
    // A new leader finds out for itself.
    m_cell.elect();
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    CHECK(reachesState(m_cell.submit(6, Small, Duration(500)), JobState::Done));
}

// Guards against a leader that steps down for the refusal of a start.
TEST_CASE_METHOD(CellFixture, "Worker that refuses only starts deposes no leader and is left out",
                 "[cell]")
{
    m_cell.workers[0].fencesStarts = true;
    const JobId job = m_cell.submit(30, Small, Duration(1000));
    CHECK(reachesState(job, JobState::Done));
    const std::size_t refused = m_cell.workers[0].fencedCommands;
    CHECK(refused > 0);
    // All starts of one round of decisions are on their way before the first refusal arrives.
    for (int count = 0; count < 60; ++count) {
        m_cell.submit(1, Small, Duration(500));
        m_cell.run(Duration(1000));
    }
    CHECK(m_cell.workers[0].fencedCommands - refused <= MaxCallsInAMinute);
    CHECK(m_cell.accepted.size() == 61);
}

// Guards against tasks that are lost, or started elsewhere too soon, when another system takes over
// their worker.
TEST_CASE_METHOD(CellFixture, "Tasks on a worker that turns foreign run again after their leases",
                 "[cell]")
{
    const JobId job = m_cell.submit(12, Small, Duration(20'000));
    m_cell.run(Duration(1000));
    REQUIRE_FALSE(m_cell.workers[0].running.empty());
    const std::size_t affected = m_cell.workers[0].running.size();
    m_cell.workers[0].epoch = Epoch(1'000'000);
    CHECK(reachesState(job, JobState::Done, Duration(60'000)));
    CHECK(m_cell.startCount == 12 + affected);
}

// Guards against a leader that takes a refusal for a foreign worker's while it is really
// superseded: its starts that are recorded already, and its other commands, end with the refusal.
TEST_CASE_METHOD(CellFixture, "Superseded leader sends no command once a worker has refused one",
                 "[cell]")
{
    LeaderProcess &former = m_cell.leaderProcess();
    const JobId running = m_cell.submit(6, Small, Duration(3000));
    m_cell.run(Duration(1000));
    const std::size_t started = former.startsSent;
    REQUIRE(started == 6);
    const bool isCut = GENERATE(false, true);
    // The assignments are stored under the former claim; the responses arrive after the refusal.
    former.commitResponseDelay = Duration(300);
    const JobId late = m_cell.submit(6, Small, Duration(3000));
    m_cell.run(Duration(40));
    former.isCutFromStore = isCut;
    m_cell.elect();
    // The successor doesn't reach these workers, so that they would accept the former leader's
    // commands.
    std::set<WorkerId> &unreachable = m_cell.leaderProcess().unreachable;
    for (const FakeCellWorker &worker : m_cell.workers) {
        if (worker.info.zone == ZoneId("b"))
            unreachable.insert(worker.info.incarnation.id);
    }
    const auto isRefused = [this] {
        return std::ranges::any_of(
            m_cell.workers, [](const FakeCellWorker &worker) { return worker.fencedCommands > 0; });
    };
    for (int count = 0; count < 500 && !isRefused(); ++count)
        m_cell.run(Duration(1));
    REQUIRE(isRefused());
    m_cell.run(Duration(2));
    const std::size_t sent = former.commandsSent;
    m_cell.run(Duration(300));
    CHECK(former.commandsSent == sent);
    CHECK(former.startsSent == started);
    m_cell.run(Duration(3000));
    CHECK(former.startsSent == started);
    // Without the store it asks for reports only as long as it may extend leases.
    m_cell.run(Duration(4000));
    const std::size_t silentSince = former.commandsSent;
    m_cell.run(Duration(3000));
    CHECK(former.commandsSent == silentSince);
    if (!isCut)
        CHECK(silentSince == sent);
    unreachable.clear();
    CHECK(reachesState(running, JobState::Done));
    CHECK(reachesState(late, JobState::Done));
    CHECK(m_cell.startCount == 12);
}

// Guards against a cell that calls, and takes the fence of, whatever worker is listed (review/1).
TEST_CASE_METHOD(CellFixture, "Worker of a service that no configuration names gets no command",
                 "[cell]")
{
    const std::size_t foreign = m_cell.addForeignWorker("unnamed");
    m_cell.workers[foreign].epoch = Epoch();
    m_cell.run(Duration(2000));
    CHECK(reachesState(m_cell.submit(6, Small, Duration(1000)), JobState::Done));
    m_cell.elect();
    m_cell.run(Duration(5000));
    // A command would have raised it.
    CHECK(m_cell.workers[foreign].epoch == Epoch());
}

// Guards against a service that is left out for good because its workers registered first.
TEST_CASE_METHOD(CellFixture, "Workers listed before a configuration names their service are used",
                 "[cell]")
{
    FakeCellWorker &early = m_cell.workers[m_cell.addForeignWorker("later")];
    early.epoch = Epoch();
    m_cell.run(Duration(2000));
    m_cell.configuration.version = 2;
    m_cell.configuration.pools.push_back({"later", false});
    m_cell.configuration.queues.front().pool = "later";
    m_cell.run(Duration(1000));
    const JobId job = m_cell.submit(4, Small, Duration(1000));
    m_cell.run(Duration(500));
    CHECK(early.running.size() == 4);
    CHECK(reachesState(job, JobState::Done));
}

// Guards against tasks that lapse, or never start, because a later configuration drops the service
// that runs their job.
TEST_CASE_METHOD(CellFixture, "Job is finished on a service that the configuration has dropped",
                 "[cell]")
{
    const JobId job = m_cell.submit(12, Large, Duration(2000));
    m_cell.run(Duration(500));
    REQUIRE(m_cell.startCount == 6);
    const std::vector<QueueSettings> queues = m_cell.configuration.queues;
    m_cell.configuration.version = 2;
    m_cell.configuration.queues.clear();
    m_cell.configuration.pools = {{"other", false}};
    m_cell.run(Duration(1000));
    if (GENERATE(false, true)) {
        m_cell.killLeader();
        m_cell.elect();
    }
    m_cell.run(Duration(7000));
    CHECK(m_cell.startCount == 12);
    for (const FakeCellWorker &worker : m_cell.workers) {
        CHECK(worker.running.empty());
        CHECK(worker.ended.empty());
    }
    // Nothing of the cell is left there.
    const std::size_t sent = m_cell.leaderProcess().commandsSent;
    m_cell.run(Duration(5000));
    CHECK(m_cell.leaderProcess().commandsSent == sent);
    m_cell.configuration.version = 3;
    m_cell.configuration.queues = queues;
    m_cell.run(Duration(2000));
    CHECK(m_cell.stateOf(job) == JobState::Done);
    CHECK(reachesState(m_cell.submit(6, Small, Duration(1000)), JobState::Done));
}
