#include "CellFixture.h"

using namespace Cranberrymount;

// Guards against ends that are acknowledged unseen: the age of the evidence that the worker is the
// same incarnation counts from the arrival of its report, which may have waited on a link.
TEST_CASE("Late report of a worker's former incarnation acknowledges no end of the next one",
          "[cell]")
{
    CellSimulation cell(1, 1);
    cell.addForwarders(1);
    cell.elect();
    REQUIRE(cell.runUntil([&] { return cell.leader().isReady(); }, Duration(1000)));
    cell.run(Duration(200));
    cell.submit(1, Small, Duration(300));
    REQUIRE(cell.runUntil([&] { return cell.workers[0].running.size() == 1; }, Duration(500)));
    cell.run(Duration(100));
    // Commands still reach the forwarder, whose replies wait on the link.
    cell.blockReplies(0);
    REQUIRE(cell.runUntil([&] { return !cell.workers[0].ended.empty(); }, Duration(500)));
    cell.run(Duration(20));
    // The worker restarts under its id in the least time that WorkerSession assumes; the store
    // lists the new incarnation a little later.
    cell.workers[0].isCutFromStore = true;
    cell.workers[0].isUnreachable = true;
    cell.run(Duration(520));
    cell.crash(0);
    cell.workers[0].isUnreachable = false;
    const JobId job = cell.submit(1, Small, Duration(200));
    cell.run(Duration(350));
    REQUIRE(cell.startCount == 2);
    cell.releaseReplies(0);
    cell.run(Duration(1000));
    cell.reconnectToStore(0);
    CHECK(cell.runUntil([&] { return cell.stateOf(job) == JobState::Done; }, Duration(10'000)));
    for (const std::string &violation : cell.violations)
        FAIL_CHECK(violation);
}

// Guards against a start that is executed, sent again by the HTTP client on a new connection and
// then refused as outdated, because its run has ended meanwhile.
TEST_CASE_METHOD(CellFixture, "Start that is sent again after its run has ended is not repeated",
                 "[cell]")
{
    for (FakeCellWorker &worker : m_cell.workers)
        worker.holdsReplies = true;
    const JobId job = m_cell.submit(1, Small, Duration(100));
    m_cell.run(Duration(350));
    REQUIRE(m_cell.startCount == 1);
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker)
        m_cell.resetConnections(worker);
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 1);
}

// Guards against runs that are taken for lost because another writer's entry, which is left out,
// stands in the place of their worker's own one when a leader is elected.
TEST_CASE_METHOD(CellFixture, "Worker whose entry is left out for a while keeps its runs", "[cell]")
{
    m_cell.submit(6, Small, Duration(6000));
    m_cell.run(Duration(500));
    for (FakeCellWorker &worker : m_cell.workers) {
        worker.isCutFromStore = true;
        worker.entryRenewedAt = {};
    }
    m_cell.elect();
    m_cell.run(Duration(600));
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker)
        m_cell.reconnectToStore(worker);
    m_cell.run(Duration(3000));
    CHECK(m_cell.startCount == 6);
}

// Guards against a start of a leader that resumes shortly after a hand-over, which needs no
// election: the successor is ready sooner than a claim counts as old.
TEST_CASE_METHOD(CellFixture, "Leader that resumes shortly after a hand-over sends no late start",
                 "[cell]")
{
    const Duration delay(GENERATE(range(5, 100, 5)));
    const Duration frozen(GENERATE(range(600, 1200, 50)));
    const Duration fenced(GENERATE(range(50, 350, 100)));
    m_cell.store.latency = Duration(20);
    LeaderProcess &former = m_cell.leaderProcess();
    m_cell.submit(6, Small, Duration(10'000));
    m_cell.run(delay);
    former.freeze();
    m_cell.events.at(m_cell.events.now() + frozen, [&former] { former.thaw(); });
    m_cell.evacuated = {m_cell.workers[0].info.zone};
    // The store applies the commits in flight.
    m_cell.run(Duration(30));
    m_cell.elect();
    m_cell.run(fenced);
    std::vector<std::size_t> restarting;
    for (std::size_t worker = 0; worker < m_cell.workers.size(); worker += 2) {
        if (!m_cell.workers[worker].running.empty())
            continue;
        m_cell.workers[worker].isUnreachable = true;
        restarting.push_back(worker);
    }
    m_cell.run(Duration(500));
    for (const std::size_t worker : restarting) {
        m_cell.crash(worker);
        m_cell.workers[worker].isUnreachable = false;
    }
    m_cell.run(Duration(2500));
}
