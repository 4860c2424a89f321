#include "CellFixture.h"

using namespace Cranberrymount;

// Guards against room that counts as free from the acceptance of a stop on, while the run goes on
// until its worker lists its end.
TEST_CASE_METHOD(CellFixture, "Room of runs that are being stopped is not given to other runs",
                 "[cell]")
{
    m_cell.stopTime = Duration(900);
    const JobId cancelled = m_cell.submit(6, Large, Duration(20'000));
    REQUIRE(m_cell.runUntil([&] { return m_cell.startCount == 6; }, Duration(2000)));
    m_cell.submit(6, Large, Duration(300));
    m_cell.run(Duration(500));
    REQUIRE(m_cell.startCount == 6);
    m_cell.call(ClientCall::Cancel, cancelled);
    m_cell.run(Duration(700));
    CHECK(m_cell.startCount == 6);
    CHECK(m_cell.runUntil([&] { return m_cell.startCount == 12; }, Duration(3000)));
}

// Guards against room that counts as free after a change of leaders, because its worker is not
// listed when the new leader takes the runs over.
TEST_CASE_METHOD(CellFixture,
                 "Worker that is listed after a change of leaders still holds its runs", "[cell]")
{
    m_cell.submit(6, Large, Duration(6000));
    REQUIRE(m_cell.runUntil([&] { return m_cell.startCount == 6; }, Duration(2000)));
    for (FakeCellWorker &worker : m_cell.workers) {
        worker.isCutFromStore = true;
        worker.entryRenewedAt = {};
    }
    m_cell.elect();
    m_cell.run(Duration(800));
    m_cell.submit(6, Large, Duration(300));
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker)
        m_cell.reconnectToStore(worker);
    m_cell.run(Duration(3000));
    CHECK(m_cell.startCount == 6);
}

// Guards against a start that reaches the worker's next incarnation, which has less room or another
// label, before the leader knows of it.
TEST_CASE("Start does not reach a smaller incarnation that the leader does not know", "[cell]")
{
    CellSimulation cell(1, 1);
    cell.addForwarders(1);
    cell.elect();
    REQUIRE(cell.runUntil([&] { return cell.leader().isReady(); }, Duration(1000)));
    cell.run(Duration(200));
    // The answer to the report request is lost with the worker's power.
    cell.blockReplies(0);
    cell.workers[0].isCutFromStore = true;
    cell.workers[0].isUnreachable = true;
    cell.run(Duration(520));
    cell.workers[0].info.capacity = Small;
    cell.crash(0);
    cell.workers[0].isUnreachable = false;
    cell.submit(1, Large, Duration(200));
    cell.run(Duration(350));
    cell.releaseReplies(0);
    cell.run(Duration(1000));
    for (const std::string &violation : cell.violations)
        FAIL_CHECK(violation);
}
