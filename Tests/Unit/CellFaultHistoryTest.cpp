#include "CellFixture.h"
#include "TestEnvironment.h"

using namespace Cranberrymount;

namespace {

constexpr int StepsPerHistory = 60;

/** Plays one history: jobs, and faults of workers, leaders and store that overlap. */
class FaultHistory
{
public:
    FaultHistory(uint64_t seed, bool lateCommandsOutliveWorkers, std::size_t forwarders,
                 double refusalRate)
        : m_cell(seed)
        , m_forwarders(forwarders)
        , m_refusalRate(refusalRate)
    {
        m_cell.lateCommandsOutliveWorkers = lateCommandsOutliveWorkers;
        if (m_forwarders > 0)
            m_cell.addForwarders(m_forwarders);
        m_cell.elect();
        m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000));
    }

    void play()
    {
        for (int step = 0; step < StepsPerHistory; ++step) {
            m_cell.taskLength = Duration(100 + below(6000));
            takeStep();
            m_cell.run(Duration(below(1500)));
        }
        repairAll();
        m_cell.run(Duration(60'000));
    }

    void check()
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
        for (const JobId &job : m_cell.accepted) {
            if (m_cell.stateOf(job) != JobState::Done)
                FAIL_CHECK("job " << job.value() << " has not ended");
        }
    }

private:
    uint32_t below(uint32_t bound) { return m_cell.random(bound); }
    FakeCellWorker &anyWorker()
    {
        return m_cell.workers[below(static_cast<uint32_t>(m_cell.workers.size()))];
    }
    LeaderProcess &anyProcess()
    {
        return *m_cell.processes()[below(static_cast<uint32_t>(m_cell.processes().size()))];
    }

    void takeStep()
    {
        if (m_forwarders > 0 && below(4) == 0)
            return blockReplies();
        if (m_refusalRate > 0 && below(4) == 0) {
            m_cell.refusalRate = m_refusalRate;
            m_cell.lateCommandRate = 0.3;
            return;
        }
        switch (below(16)) {
        case 0:
            anyWorker().isUnreachable ^= true;
            break;
        case 1: {
            auto &unreachable = anyProcess().unreachable;
            const WorkerId worker = anyWorker().info.incarnation.id;
            if (unreachable.erase(worker) == 0)
                unreachable.insert(worker);
            break;
        }
        case 2:
            restartWorkers();
            break;
        case 3:
            anyWorker().isCutFromStore ^= true;
            break;
        case 4:
            m_cell.store.isDown ^= true;
            break;
        case 5:
            m_cell.store.lostResponseRate = below(2) * 0.3;
            m_cell.store.latency = Duration(4 + below(2) * 200);
            break;
        case 6:
            freezeLeader();
            break;
        case 7:
            if (below(3) == 0)
                m_cell.killLeader();
            m_cell.elect();
            break;
        case 8:
            m_cell.lateCommandRate = below(2) * 0.2;
            break;
        case 9:
            m_cell.leaderProcess().isCutFromStore ^= true;
            break;
        case 10:
            if (!m_cell.accepted.empty())
                m_cell.stateOf(*std::next(m_cell.accepted.begin(),
                                          below(static_cast<uint32_t>(m_cell.accepted.size()))));
            break;
        default:
            m_cell.submit(1 + below(6), below(3) == 0 ? Large : Small, m_cell.taskLength,
                          below(4) == 0);
            break;
        }
    }

    /** Delays the replies of a forwarder, as a link does that is cut in one direction. */
    void blockReplies()
    {
        const std::size_t forwarder = below(static_cast<uint32_t>(m_forwarders));
        m_cell.blockReplies(forwarder);
        m_cell.events.at(m_cell.events.now() + Duration(300 + below(2500)),
                         [this, forwarder] { m_cell.releaseReplies(forwarder); });
    }

    /** Restarts some workers together; none restarts sooner than WorkerSession assumes, and a
     * forwarder may hold a command for a moment. */
    void restartWorkers()
    {
        const Duration downTime(510 + below(1500));
        std::vector<std::size_t> indices;
        for (std::size_t index = 0; index < m_cell.workers.size(); ++index) {
            if (below(2) == 0)
                indices.push_back(index);
        }
        for (const std::size_t index : indices)
            m_cell.workers[index].isUnreachable = true;
        m_cell.run(downTime);
        for (const std::size_t index : indices) {
            m_cell.crash(index);
            m_cell.workers[index].isUnreachable = false;
        }
    }

    void freezeLeader()
    {
        LeaderProcess &process = m_cell.leaderProcess();
        process.freeze();
        m_cell.events.at(m_cell.events.now() + Duration(300 + below(9000)),
                         [&process] { process.thaw(); });
    }

    void repairAll()
    {
        m_cell.store.isDown = false;
        m_cell.store.lostResponseRate = 0;
        m_cell.store.latency = Duration(4);
        m_cell.lateCommandRate = 0;
        m_cell.refusalRate = 0;
        for (std::size_t index = 0; index < m_cell.workers.size(); ++index) {
            m_cell.workers[index].isUnreachable = false;
            m_cell.reconnectToStore(index);
        }
        for (const auto &process : m_cell.processes()) {
            process->unreachable.clear();
            process->isCutFromStore = false;
            process->thaw();
        }
        m_cell.elect();
    }

    CellSimulation m_cell;
    std::size_t m_forwarders;
    double m_refusalRate;
};

void runFaultHistories(uint64_t defaultCount, bool lateCommandsOutliveWorkers,
                       std::size_t forwarders = 0, double refusalRate = 0)
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", defaultCount);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        FaultHistory history(seed, lateCommandsOutliveWorkers, forwarders, refusalRate);
        history.play();
        history.check();
    }
}

} // namespace

TEST_CASE(
    "Random histories with frozen leaders, restarted workers and late commands lose no job and "
    "run no job twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, false);
}

TEST_CASE(
    "Random histories whose late commands reach a restarted worker lose no job and run no job "
    "twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, true);
}

TEST_CASE(
    "Random histories with forwarders whose replies are delayed lose no job and run no job twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, false, 2);
}

// Guards against a refusal that is taken for that of an earlier order, which is executed late.
TEST_CASE("Random histories whose workers refuse some starts and execute others late lose no job "
          "and run no job twice",
          "[cell][cellhistory]")
{
    runFaultHistories(100, false, 0, 0.3);
}
