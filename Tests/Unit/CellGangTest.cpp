#include "CellFixture.h"

using namespace Cranberrymount;

namespace {

/** A cell whose queue may not use capacity that is reserved for gangs. */
class CellGangFixture : public CellFixture
{
protected:
    CellGangFixture()
    {
        m_cell.configuration.queues.front().priority = 2;
        ++m_cell.configuration.version;
        m_cell.run(Duration(2000));
        // Workers compute progress from the estimate, so it stays near 100 in a task that lasts.
        m_cell.estimatedLength = Duration(1000);
    }

    /** Starts a task that lasts on each worker. @return the job. */
    JobId startLastingTasks(const Resources &need)
    {
        WorkflowSpec spec;
        spec.steps.resize(1);
        spec.steps[0].taskCount = static_cast<uint32_t>(m_cell.workers.size());
        spec.steps[0].need = need;
        spec.steps[0].estimate = Duration(1000);
        spec.steps[0].isService = true;
        spec.steps[0].maxPerWorker = 1;
        m_cell.taskLength = Duration(3'600'000);
        JobId job = m_cell.submit(std::move(spec));
        REQUIRE(m_cell.runUntil(
            [this] {
                return std::ranges::none_of(m_cell.workers, [](const FakeCellWorker &worker) {
                    return worker.running.empty();
                });
            },
            Duration(2000)));
        m_cell.taskLength = Duration(0);
        return job;
    }

    static constexpr int64_t WorkerCpu = 16'000;
    static inline const Resources Whole{CpuMillis(WorkerCpu), MemoryMb(1'000), AcceleratorCount(0)};
    static inline const Resources Quarter{CpuMillis(WorkerCpu / 4), MemoryMb(1'000),
                                          AcceleratorCount(0)};
};

} // namespace

// Guards against LOST of all other jobs of a queue while a gang waits for whole workers on which
// tasks that last run (issue 34, review/4).
TEST_CASE_METHOD(CellGangFixture, "Jobs run although a gang can't be placed beside tasks that last",
                 "[cell][gang]")
{
    const JobId lasting = startLastingTasks(Quarter);
    const JobId gang =
        m_cell.submit(static_cast<uint32_t>(m_cell.workers.size()), Whole, Duration(1000), true);
    for (int round = 0; round < 20; ++round) {
        const JobId job = m_cell.submit(2, Small, Duration(1000));
        m_cell.run(Duration(1000));
        CHECK(reachesState(job, JobState::Done, Duration(3000)));
    }
    CHECK(m_cell.stateOf(gang) == JobState::Queued);
    // The gang gets its room as soon as these tasks are gone.
    m_cell.call(ClientCall::Cancel, lasting);
    CHECK(reachesState(gang, JobState::Done, Duration(5000)));
}
