#include "CellFixture.h"
#include "TestEnvironment.h"

#include <iostream>

using namespace Cranberrymount;

namespace {

constexpr int StepsPerHistory = 60;

/** What a history plays beside the faults that all histories have. */
struct HistoryOptions
{
    bool lateCommandsOutliveWorkers = false;
    std::size_t forwarders = 0;
    double refusalRate = 0;
    /** Jobs have limits on their placement and are cancelled at times, the team has a limit, the
     * queue moves between two pools, and restarted workers may be of another kind. */
    bool hasPlacementLimits = false;
    /** The clocks of half of the workers run as slow as the platform allows. */
    bool hasSlowClocks = false;
    /** Longest lease that workers grant. */
    Duration longestLease = CellTerms().leaseLength;
};

/** Counts the gaps between attempts whose leases lapsed and the next ones, by length. */
class GapHistogram
{
public:
    void add(uint64_t seed, const AttemptGaps &gaps)
    {
        for (const bool onlyAfterLapse : {true, false}) {
            if (const auto smallest = gaps.smallest(onlyAfterLapse))
                std::cout << "gap seed=" << seed << " ms=" << smallest->time.count()
                          << " lapsed=" << smallest->isAfterLapse << " start=" << smallest->start
                          << "\n";
        }
        for (const AttemptGaps::Gap &gap : gaps.all()) {
            if (gap.isAfterLapse)
                ++m_counts[gap.time.count() / BucketMs];
        }
    }
    void print() const
    {
        for (const auto &[bucket, count] : m_counts)
            std::cout << "gaps after a lapse from " << bucket * BucketMs << " ms: " << count
                      << "\n";
    }

private:
    static constexpr int64_t BucketMs = 250;
    std::map<int64_t, std::size_t> m_counts;
};

/** Plays one history: jobs, and faults of workers, leaders and store that overlap. */
class FaultHistory
{
public:
    FaultHistory(uint64_t seed, const HistoryOptions &options)
        : m_cell(seed)
        , m_forwarders(options.forwarders)
        , m_refusalRate(options.refusalRate)
        , m_hasPlacementLimits(options.hasPlacementLimits)
    {
        m_cell.terms.leaseLength = options.longestLease;
        m_cell.lateCommandsOutliveWorkers = options.lateCommandsOutliveWorkers;
        if (m_hasPlacementLimits)
            setPlacementLimits();
        for (std::size_t worker = 0; options.hasSlowClocks && worker < FirstOfSecondPool;
             worker += 2)
            m_cell.workers[worker].clockRate = SlowestClockRate;
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
        // Jobs that may use few of the workers run one after another. The state of those that have
        // ended can be queried for 120 s.
        m_cell.run(Duration(m_hasPlacementLimits ? 90'000 : 60'000));
    }

    void check()
    {
        for (const std::string &violation : m_cell.violations)
            FAIL_CHECK(violation);
        if (const auto smallest = m_cell.gaps.smallest(true)) {
            INFO(smallest->start);
            CHECK(smallest->time >= LeastGapAfterLapse);
        }
        for (const JobId &job : m_cell.accepted) {
            const bool isCancelled =
                m_cell.cancelRequested.contains(job) && m_cell.stateOf(job) == JobState::Cancelled;
            if (!isCancelled && m_cell.stateOf(job) != JobState::Done)
                FAIL_CHECK("job " << job.value() << " has not ended");
        }
    }

    const AttemptGaps &gaps() const { return m_cell.gaps; }

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

    /** Half of the workers have each label; the second pool is small. */
    void setPlacementLimits()
    {
        m_cell.stopTime = Duration(900);
        m_cell.configuration.teams.front().cap = {CpuMillis(40'000), MemoryMb(0),
                                                  AcceleratorCount(0)};
        for (std::size_t index = 0; index < m_cell.workers.size(); ++index) {
            FakeCellWorker &worker = m_cell.workers[index];
            worker.info.pool = index < FirstOfSecondPool ? "pool" : "second";
            worker.info.labels = {index % 2 == 0 ? "wide" : "narrow", "rack"};
            worker.entry = worker.info;
        }
    }

    void submitWithLimits()
    {
        WorkflowSpec spec;
        StepSpec &step = spec.steps.emplace_back();
        step.taskCount = 1 + below(6);
        step.estimate = m_cell.taskLength;
        step.isGang = below(4) == 0;
        step.need = step.isGang || below(2) == 0 ? Small : Large;
        if (!step.isGang && below(2) == 0)
            step.maxPerWorker = 1 + below(2);
        if (!step.isGang && below(3) == 0)
            step.requiredLabel = below(2) == 0 ? "wide" : "narrow";
        m_cell.submit(std::move(spec));
    }

    /** Takes a step that only histories with limits have. */
    void takeStepWithLimits()
    {
        switch (below(4)) {
        case 0:
            if (!m_cell.accepted.empty())
                m_cell.call(ClientCall::Cancel,
                            *std::next(m_cell.accepted.begin(),
                                       below(static_cast<uint32_t>(m_cell.accepted.size()))));
            break;
        case 1:
            m_cell.configuration.queues.front().pool = below(2) == 0 ? "pool" : "second";
            ++m_cell.configuration.version;
            break;
        default:
            submitWithLimits();
            break;
        }
    }

    /** Gives the next incarnation of a worker another label and capacity at times. */
    void changeKind(std::size_t index)
    {
        // Each pool keeps one worker of each kind, so that every job can end.
        const bool isFixed = index < 2 || index >= FirstOfSecondPool;
        if (!m_hasPlacementLimits || isFixed || below(2) == 0)
            return;
        CellWorker &info = m_cell.workers[index].info;
        const bool isWide = info.labels.front() == "wide";
        info.labels.front() = isWide ? "narrow" : "wide";
        info.capacity.cpu = CpuMillis(isWide ? 10'000 : 16'000);
    }

    void takeStep()
    {
        if (m_hasPlacementLimits && below(3) == 0)
            return takeStepWithLimits();
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
            if (m_hasPlacementLimits)
                return submitWithLimits();
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
            changeKind(index);
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

    /** Index of the first worker of the second pool. */
    static constexpr std::size_t FirstOfSecondPool = 4;
    /** From the platform's documentation of leases. */
    static constexpr double SlowestClockRate = 0.98;
    /** Least time between the lapse of an attempt and the start of the next one. */
    static constexpr Duration LeastGapAfterLapse{0};

    CellSimulation m_cell;
    std::size_t m_forwarders;
    double m_refusalRate;
    bool m_hasPlacementLimits;
};

void runFaultHistories(uint64_t defaultCount, const HistoryOptions &options)
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", defaultCount);
    const bool printsGaps = numberFromEnvironment("HISTORY_GAPS", 0) != 0;
    GapHistogram histogram;
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        FaultHistory history(seed, options);
        history.play();
        history.check();
        if (printsGaps)
            histogram.add(seed, history.gaps());
    }
    if (printsGaps)
        histogram.print();
}

} // namespace

TEST_CASE(
    "Random histories with frozen leaders, restarted workers and late commands lose no job and "
    "run no job twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, {});
}

TEST_CASE(
    "Random histories whose late commands reach a restarted worker lose no job and run no job "
    "twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, {.lateCommandsOutliveWorkers = true});
}

TEST_CASE(
    "Random histories with forwarders whose replies are delayed lose no job and run no job twice",
    "[cell][cellhistory]")
{
    runFaultHistories(150, {.forwarders = 2});
}

// Guards against a refusal that is taken for that of an earlier order, which is executed late.
TEST_CASE("Random histories whose workers refuse some starts and execute others late lose no job "
          "and run no job twice",
          "[cell][cellhistory]")
{
    runFaultHistories(100, {.refusalRate = 0.3});
}

// Guards against starts that a worker has no room for, that exceed a step's limit per worker or a
// team's limit, or that reach a worker without the label or in a pool that never was the queue's.
TEST_CASE("Random histories of jobs with limits on their placement break no limit and lose no job",
          "[cell][cellhistory]")
{
    runFaultHistories(100, {.refusalRate = 0.3, .hasPlacementLimits = true});
}

// Guards against a bound of the leases that is too short for a worker whose clock is slow.
TEST_CASE("Random histories of workers with slow clocks lose no job and run no job twice",
          "[cell][cellhistory]")
{
    runFaultHistories(100, {.hasSlowClocks = true});
}

// Guards against a bound of the leases that ignores what a worker grants after a restart, when its
// clock starts anew.
TEST_CASE("Random histories of workers that grant leases of 10 s lose no job and run no job twice",
          "[cell][cellhistory]")
{
    runFaultHistories(100, {.hasSlowClocks = true, .longestLease = Duration(10'000)});
}
