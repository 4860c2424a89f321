#include "CellFixture.h"
#include "TestEnvironment.h"

using namespace Cranberrymount;

namespace {

constexpr int StepsPerHistory = 30;
/** Longest time after which the store executes a commit whose response it has lost. */
constexpr Duration MaxExecutionDelay{12'000};
constexpr Duration SubmissionInterval{80};
constexpr Duration PollInterval{400};

/** Plays one history: a steady load, with jobs that wait until its end, over a store that loses
 * responses, and leaders that end. */
class LossyStoreHistory
{
public:
    explicit LossyStoreHistory(uint64_t seed)
        : m_cell(seed)
    {
        FakeCellWorker &last = m_cell.workers.back();
        last.info.labels = last.entry.labels = {"last"};
        last.isUnreachable = true;
        // Segments are removed, and ended jobs forgotten, while copies of their commits are open.
        m_cell.terms.statusRetention = Duration(3000);
        m_cell.terms.forgetMargin = Duration(1000);
        m_cell.terms.maxSegments = 20;
        m_cell.elect();
        m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000));
    }

    void play()
    {
        for (int step = 0; step < StepsPerHistory; ++step) {
            takeStep();
            m_isSubmitting = below(8) > 0;
            runUnderLoad(Duration(300 + below(1500)));
        }
        repairAll();
        m_isSubmitting = true;
        runUnderLoad(MaxExecutionDelay);
        replaceLeader();
        m_isSubmitting = false;
        runUnderLoad(Duration(15'000));
    }

    void check()
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
        CHECK(m_cell.accepted.size() > 50);
        for (const JobId &job : m_cell.accepted) {
            // A job may have been forgotten before a leader that shows it could be asked.
            if (!m_cell.shownDone.contains(job) && !m_cell.hasAcknowledgedEnd(job))
                FAIL_CHECK("job " << job.value() << " has not ended");
        }
    }

private:
    uint32_t below(uint32_t bound) { return m_cell.random(bound); }

    void runUnderLoad(Duration time)
    {
        const Instant end = m_cell.events.now() + time;
        while (m_cell.events.now() < end) {
            if (m_isSubmitting)
                submit();
            if (m_cell.events.now() >= m_nextPollAt)
                pollJobs();
            m_cell.run(SubmissionInterval);
        }
    }

    void submit()
    {
        WorkflowSpec spec;
        StepSpec &step = spec.steps.emplace_back();
        step.taskCount = 1;
        step.need = below(6) == 0 ? Large : Small;
        step.estimate = m_cell.taskLength = Duration(50 + below(1000));
        // Such a job has no record but its acceptance until the last worker can be reached.
        if (below(20) == 0)
            step.requiredLabel = "last";
        m_cell.submit(std::move(spec));
    }

    void pollJobs()
    {
        m_nextPollAt = m_cell.events.now() + PollInterval;
        for (const JobId &job : m_cell.accepted) {
            if (!m_cell.shownDone.contains(job))
                m_cell.poll(job);
        }
    }

    void takeStep()
    {
        switch (below(12)) {
        case 0:
            m_cell.store.latency = Duration(4 + below(2) * 100);
            break;
        case 1:
            m_cell.workers[below(static_cast<uint32_t>(m_cell.workers.size()))].losesReplies ^=
                true;
            break;
        case 2:
            replaceLeader();
            break;
        case 3:
            m_cell.elect();
            break;
        case 4:
            freezeLeader(Duration(300 + below(1500)));
            break;
        case 5:
            // It learns after it has thawed that another leads.
            freezeLeader(Duration(1000 + below(9000)));
            m_cell.run(Duration(below(1000)));
            m_cell.elect();
            break;
        case 6:
            loseRemoval();
            break;
        case 7:
            m_cell.store.isUnresponsive = true;
            m_cell.events.at(m_cell.events.now() + Duration(100 + below(1500)),
                             [this] { m_cell.store.isUnresponsive = false; });
            break;
        default:
            loseResponses();
            break;
        }
    }

    void loseResponses()
    {
        m_cell.store.lostResponseRate = 0.1 + 0.1 * below(7);
        m_cell.store.minExecutionDelay = m_cell.store.maxExecutionDelay = m_cell.store.latency;
        if (below(3) > 0) {
            m_cell.store.minExecutionDelay = Duration(1000);
            m_cell.store.maxExecutionDelay = below(2) > 0 ? Duration(6000) : MaxExecutionDelay;
        }
    }

    /** Lets the next commit that removes segments get lost for good, and replaces its leader while
     * later ones are executed. */
    void loseRemoval()
    {
        m_cell.store.dropsCommit =
            [this, lost = std::string()](const StoreTransaction &transaction) mutable {
                const std::string &segment = transaction.puts.front().key;
                if (lost.empty() && !transaction.removals.empty()) {
                    lost = segment;
                    m_cell.events.at(m_cell.events.now() + Duration(50 + below(500)), [this] {
                        m_cell.store.dropsCommit = nullptr;
                        replaceLeader();
                    });
                }
                return segment == lost;
            };
    }

    void freezeLeader(Duration time)
    {
        LeaderProcess &process = m_cell.leaderProcess();
        process.freeze();
        m_cell.events.at(m_cell.events.now() + time, [&process] { process.thaw(); });
    }

    void replaceLeader()
    {
        m_cell.killLeader();
        m_cell.elect();
    }

    void repairAll()
    {
        m_cell.store.dropsCommit = nullptr;
        m_cell.store.isUnresponsive = false;
        m_cell.store.lostResponseRate = 0;
        m_cell.store.latency = Duration(4);
        for (FakeCellWorker &worker : m_cell.workers)
            worker.losesReplies = worker.isUnreachable = false;
        for (const auto &process : m_cell.processes())
            process->thaw();
        m_cell.elect();
    }

    CellSimulation m_cell;
    Instant m_nextPollAt{};
    bool m_isSubmitting = true;
};

} // namespace

// Guards against copies of commits that the store executes late: they must not bring back what was
// removed, undo an end, or let an earlier leader go on.
TEST_CASE(
    "Random histories over a store that loses responses and executes commits late lose no job "
    "and run no job twice",
    "[cell][lossyhistory]")
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", 60);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        LossyStoreHistory history(seed);
        history.play();
        history.check();
    }
}
