#include "CellFixture.h"

using namespace Cranberrymount;

// Guards against a factor that is set and never reaches the decisions.
TEST_CASE_METHOD(CellFixture, "Job waits for its data rack as the leader's remote factor says",
                 "[cell][locality]")
{
    const double factor = GENERATE(1.0, 3.0);
    m_cell.terms.remoteFactor = factor;
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker) {
        FakeCellWorker &state = m_cell.workers[worker];
        state.info.rack = state.entry.rack = RackId(worker == 0 ? "a" : "b");
    }
    m_cell.killLeader();
    m_cell.elect();
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(10'000)));
    m_cell.run(Duration(2'000));
    WorkflowSpec spec;
    spec.steps.resize(1);
    spec.steps[0].taskCount = 1;
    spec.steps[0].need = m_cell.workers[0].info.capacity;
    spec.steps[0].estimate = Duration(1'500);
    spec.steps[0].dataRack = RackId("a");
    m_cell.taskLength = Duration(1'500);
    m_cell.submit(spec);
    m_cell.run(Duration(500));
    REQUIRE(m_cell.workers[0].running.size() == 1);
    const JobId second = m_cell.submit(spec);
    m_cell.run(Duration(500));
    const auto startsElsewhere =
        std::ranges::count_if(m_cell.workers, [this](const FakeCellWorker &worker) {
            return &worker != &m_cell.workers[0] && !worker.running.empty();
        });
    CHECK(startsElsewhere == (factor > 1 ? 0 : 1));
    CHECK(reachesState(second, JobState::Done, Duration(5'000)));
}
