#include "CellSimulation.h"
#include "TestEnvironment.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

/** Plays a random mix of gangs and other jobs that all need advice, in bursts and in breaks. */
class AdviceHistory
{
public:
    explicit AdviceHistory(uint64_t seed)
        : m_cell(seed, WorkerCount)
    {
        m_cell.adviceCost = {Duration(455), std::chrono::microseconds(6500), Duration(1500)};
        m_cell.workersPerAllowed = 2;
        m_cell.addAdviceCallers(7);
        m_cell.configuration.queues.front().advice = m_cell.adviceCost;
        m_cell.configuration.queues.front().priority = 1;
        m_cell.elect();
        m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000));
    }

    void play()
    {
        for (int burst = 0; burst < 4; ++burst) {
            const uint32_t jobs = 5 + m_cell.random(25);
            for (uint32_t job = 0; job < jobs; ++job) {
                submitAny();
                observe(Duration(m_cell.random(100)));
            }
            observe(Duration(2'000 + m_cell.random(15'000)));
        }
        observe(Duration(30'000));
    }

    void check() const
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
        CHECK(m_cell.accepted.size() == m_started.size());
        CHECK(m_longestWait <= MaxWait);
    }

private:
    void submitAny()
    {
        const bool isGang = m_cell.random(2) == 0;
        const Resources need{CpuMillis(1'000 + m_cell.random(3'000)), MemoryMb(1'000),
                             AcceleratorCount(0)};
        m_cell.submit(1 + m_cell.random(6), need, Duration(500 + m_cell.random(3'000)), isGang);
    }

    /** Runs the cell, and measures how long jobs wait without a break in which the pool is used by
     * more than half. */
    void observe(Duration time)
    {
        for (; time > Duration(0); time -= Step) {
            m_cell.run(Step);
            int64_t used = 0;
            for (const FakeCellWorker &worker : m_cell.workers) {
                for (const auto &[task, run] : worker.running) {
                    used += run.need.cpu.value();
                    m_started.insert(task.job);
                }
            }
            for (const JobId &job : m_cell.accepted) {
                Duration &wait = m_waits[job];
                const bool waits = !m_started.contains(job) && 2 * used <= Capacity;
                wait = waits ? wait + Step : Duration(0);
                m_longestWait = std::max(m_longestWait, wait);
            }
        }
    }

    static constexpr std::size_t WorkerCount = 16;
    static constexpr int64_t Capacity = 16'000 * WorkerCount;
    static constexpr Duration Step{50};
    /** By the users' rules a job must not wait for 14 s beside free capacity. */
    static constexpr Duration MaxWait{6'000};

    CellSimulation m_cell;
    std::set<JobId> m_started;
    /** How long each job has waited beside free capacity. */
    std::map<JobId, Duration> m_waits;
    Duration m_longestWait{0};
};

} // namespace

// Guards against steps that wait beside free capacity because others ask for advice all the time.
TEST_CASE("Random mixes of steps that need advice let no step wait long beside free capacity",
          "[cell][cellhistory]")
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", 30);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        AdviceHistory history(seed);
        history.play();
        history.check();
    }
}
