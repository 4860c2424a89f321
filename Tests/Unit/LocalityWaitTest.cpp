#include "DispatcherFixture.h"

#include "Decision/LocalityWait.h"

#include <random>

using namespace Cranberrymount;

namespace {

/** Racks a and b of three workers each. */
class LocalityFixture : public DispatcherFixture
{
protected:
    LocalityFixture()
    {
        addRack("a", 3);
        addRack("b", 3);
    }

    JobId addDataJob(const char *queue, uint32_t tasks, int64_t cpu)
    {
        JobId job = addJob(queue, tasks, cpu, Duration(1000));
        stepOf(job).dataRack = RackId("a");
        return job;
    }

    JobId addRackGang(const char *queue, uint32_t members, int64_t cpu)
    {
        JobId job = addJob(queue, members, cpu, Duration(1000), true);
        stepOf(job).wantsOneRack = true;
        return job;
    }

    /** Uses 7 of the 10 cores of each worker of rack a for @p endsInA, and of b for 20 s: a gang of
     * two members of 3 cores fits on any rack, one of four members or of two with 4 cores on none.
     */
    void fillRacks(Duration endsInA)
    {
        addRunOnRack("a", 7'000, endsInA, Duration(1000));
        addRunOnRack("b", 7'000, Duration(20'000), Duration(20'000));
    }

    void removeRuns()
    {
        for (DispatchWorker &worker : m_workers) {
            worker.used = {};
            worker.allocations.clear();
        }
    }

    /** Advances both clocks. */
    void pass(Duration time)
    {
        m_now += time;
        m_instant += time;
    }

    /** Lets the advisor allow the job on these workers, with tickets that last 10 s. */
    void allow(const JobId &job, const std::vector<std::size_t> &workers)
    {
        std::vector<WorkerIncarnation> asked;
        std::map<WorkerId, std::string> tickets;
        for (const CellWorker &info : m_infos)
            asked.push_back(info.incarnation);
        for (const std::size_t worker : workers)
            tickets.emplace(m_infos[worker].incarnation.id, "ticket");
        m_advice.recordAnswer({job, 0, 0}, asked, tickets, m_instant + Duration(10'000));
    }

    std::size_t startsOnRack(const DispatchResult &result, const JobId &job, const char *rack)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(result.starts, [&](const StartDecision &start) {
                return start.task.job == job && m_infos[start.worker].rack.value() == rack;
            }));
    }
};

} // namespace

TEST_CASE("Wait for a local placement pays off below break-even, slack and total bound",
          "[locality]")
{
    const auto isWorth = [](double factor, int slack, int waited, int expectedWait) {
        return isWorthWaiting({Duration(1000), factor, Duration(slack), Duration(waited)},
                              Duration(expectedWait));
    };
    CHECK(isWorth(1.5, 5'000, 0, 499));
    CHECK_FALSE(isWorth(1.5, 5'000, 0, 500));
    CHECK(isWorth(3, 5'000, 0, 1'999));
    CHECK_FALSE(isWorth(3, 5'000, 0, 2'000));
    CHECK_FALSE(isWorth(3, 800, 0, 800));
    CHECK_FALSE(isWorth(3, -1, 0, 0));
    CHECK(isWorth(3, 5'000, 1'500, 499));
    CHECK_FALSE(isWorth(3, 5'000, 1'500, 500));
    CHECK_FALSE(isWorth(3, 5'000, 9'000, 0));
    CHECK_FALSE(isWorth(1, 5'000, 0, 0));
    CHECK_FALSE(isWorth(0.5, 5'000, 0, 0));
}

// Guards against waits that rest on estimates which are wrong for a whole queue.
TEST_CASE("Run lengths follow the queue's runs once enough have ended", "[locality]")
{
    const QueueId queue("q");
    RunLengths lengths;
    for (int run = 0; run < 19; ++run)
        lengths.recordRun(queue, Duration(1000), Duration(2000));
    lengths.recordRun(queue, Duration(0), Duration(2000));
    CHECK(lengths.expectedLength(queue, Duration(300)) == Duration(300));
    lengths.recordRun(queue, Duration(1000), Duration(2000));
    CHECK(lengths.expectedLength(queue, Duration(300)) == Duration(600));
    CHECK(lengths.expectedLength(QueueId("other"), Duration(300)) == Duration(300));
    lengths.recordRun(queue, Duration(1000), Duration(60'000));
    CHECK(lengths.expectedLength(queue, Duration(300)) < Duration(640));
}

TEST_CASE_METHOD(LocalityFixture, "Step with a data rack waits by a factor of 3 and not of 1.5",
                 "[dispatcher][locality]")
{
    const JobId job = addDataJob("batch", 3, 3'500);
    addRunOnRack("a", 10'000, Duration(800), Duration(1000));
    m_remoteFactor = 3;
    const DispatchResult waiting = decide();
    CHECK(startsOf(waiting, job) == 0);
    CHECK(waiting.waiting.forLocality == 1);
    CHECK(m_counts["locality_waits"] == 1);
    m_remoteFactor = 1.5;
    const DispatchResult result = decide();
    CHECK(startsOnRack(result, job, "b") == 3);
    CHECK(std::ranges::all_of(result.starts, &StartDecision::isRemote));
    CHECK(m_counts["locality_waits_given_up"] == 1);
}

// Guards against a step that waits as a whole although only some of its tasks get a local place.
TEST_CASE_METHOD(LocalityFixture, "Only as many tasks wait for a data rack as soon fit there",
                 "[dispatcher][locality]")
{
    addRunOnRack("a", 5'000, Duration(800), Duration(1000));
    addRunOnRack("a", 4'000, Duration(9'000), Duration(9'000));
    const JobId first = addDataJob("batch", 2, 4'000);
    const JobId second = addDataJob("batch", 3, 4'000);
    m_remoteFactor = 3;
    const DispatchResult result = decide();
    CHECK(startsOf(result, first) == 0);
    // The first step takes two of the three places.
    CHECK(startsOnRack(result, second, "b") == 2);
}

TEST_CASE_METHOD(LocalityFixture, "Gang waits for one rack by a factor of 3 and not of 1.5",
                 "[dispatcher][gang][locality]")
{
    fillRacks(Duration(800));
    const JobId gang = addRackGang("batch", 4, 3'000);
    m_remoteFactor = 1.5;
    CHECK(startsOf(decide(), gang) == 4);
    m_remoteFactor = 3;
    CHECK(startsOf(decide(), gang) == 0);
    pass(Duration(800));
    removeRuns();
    addRunOnRack("b", 7'000, Duration(20'000), Duration(20'000));
    const DispatchResult result = decide();
    CHECK(startsOnRack(result, gang, "a") == 4);
    CHECK(std::ranges::none_of(result.starts, &StartDecision::isRemote));
    CHECK(m_counts["locality_waits_paid_off"] == 1);
    CHECK(m_counts["locality_waits_given_up"] == 0);
}

// Guards against a gang that waits for something that can't happen.
TEST_CASE_METHOD(LocalityFixture, "Gang that can never fit one rack starts at once",
                 "[dispatcher][gang][locality]")
{
    fillRacks(Duration(100));
    m_remoteFactor = 3;
    SECTION("because of its size")
    {
        const JobId gang = addRackGang("batch", 4, 3'000);
        stepOf(gang).maxPerWorker = 1;
        CHECK(startsOf(decide(), gang) == 4);
    }
    SECTION("because of its label")
    {
        const JobId gang = addRackGang("batch", 4, 3'000);
        stepOf(gang).requiredLabel = "fast";
        stepOf(gang).maxPerWorker = 1;
        for (const std::size_t worker : {0, 1, 3, 4})
            m_infos[worker].labels = {"fast"};
        CHECK(startsOf(decide(), gang) == 4);
    }
    SECTION("because of the workers that the advisor allows")
    {
        const JobId gang = addRackGang("advised", 4, 3'000);
        stepOf(gang).maxPerWorker = 1;
        allow(gang, {0, 1, 3, 4});
        CHECK(startsOf(decide(), gang) == 4);
    }
}

// Guards against a wait whose end moves on with each overdue run.
TEST_CASE_METHOD(LocalityFixture, "Wait ends when the runs that it rests on are overdue",
                 "[dispatcher][gang][locality]")
{
    const bool isGang = GENERATE(false, true);
    const JobId job = isGang ? addRackGang("batch", 4, 3'000) : addDataJob("batch", 1, 4'000);
    m_remoteFactor = 1.5;
    Duration waited(0);
    for (; waited < Duration(5'000); waited += Duration(20)) {
        removeRuns();
        addRunOnRack("a", 7'000, Duration(200) - waited, Duration(1000));
        addRunOnRack("b", isGang ? 7'000 : 0, Duration(20'000), Duration(20'000));
        if (startsOf(decide(), job) > 0)
            break;
        pass(Duration(20));
    }
    CHECK(waited > Duration(200));
    CHECK(waited <= Duration(500));
}

TEST_CASE_METHOD(LocalityFixture, "Wait ends when the step's slack is used up",
                 "[dispatcher][gang][locality]")
{
    m_remoteFactor = 10;
    const JobId gang = addRackGang("batch", 4, 3'000);
    const auto startsAfter = [&](Duration waited) {
        pass(waited);
        removeRuns();
        fillRacks(Duration(3'500));
        return startsOf(decide(), gang);
    };
    // The objective allows a start after 3,940 ms: 4 x 1,000 + 1,000 - 1,000 - 60.
    CHECK(startsAfter(Duration(0)) == 0);
    CHECK(startsAfter(Duration(400)) == 0);
    CHECK(startsAfter(Duration(100)) == 4);
}

// Guards against waits of an hour because the submitter estimated one.
TEST_CASE_METHOD(LocalityFixture, "Wait depends on measured run lengths, not on the estimate",
                 "[dispatcher][gang][locality]")
{
    fillRacks(Duration(800));
    const JobId gang = addRackGang("batch", 4, 3'000);
    m_remoteFactor = 3;
    CHECK(startsOf(decide(), gang) == 0);
    for (int run = 0; run < 20; ++run)
        m_runLengths.recordRun(QueueId("batch"), Duration(1000), Duration(300));
    CHECK(startsOf(decide(), gang) == 4);
}

// Guards against a waiting gang that keeps the capacity for which it has tickets idle.
TEST_CASE_METHOD(LocalityFixture, "Gang that waits for a rack leaves the other racks to others",
                 "[dispatcher][gang][locality]")
{
    fillRacks(Duration(800));
    const JobId gang = addRackGang("advised", 4, 3'000);
    allow(gang, {0, 1, 2, 3, 4, 5});
    m_remoteFactor = 3;
    CHECK(startsOf(decide(), gang) == 0);
    const JobId other = addJob("batch", 6, 2'000, Duration(5'000));
    const DispatchResult result = decide();
    CHECK(startsOnRack(result, other, "b") == 3);
    CHECK(startsOnRack(result, other, "a") <= 1);
}

// Guards against gangs that could start, but take all reservations from one that can't.
TEST_CASE_METHOD(LocalityFixture, "Gangs that wait for a rack leave a reservation to other gangs",
                 "[dispatcher][gang][locality]")
{
    addRack("c", 3);
    addRunOnRack("c", 7'000, Duration(900), Duration(1000));
    fillRacks(Duration(800));
    m_remoteFactor = 3;
    const JobId first = addRackGang("batch", 4, 3'000);
    const JobId second = addRackGang("batch", 4, 3'000);
    const JobId large = addJob("batch", 3, 10'000, Duration(2'000), true);
    const JobId other = addJob("batch", 9, 1'000, Duration(5'000));
    m_infos[6].labels = m_infos[7].labels = m_infos[8].labels = {"c"};
    stepOf(large).requiredLabel = stepOf(other).requiredLabel = "c";
    const DispatchResult result = decide();
    CHECK(startsOf(result, first) + startsOf(result, second) + startsOf(result, large) == 0);
    CHECK(startsOf(result, other) == 0);
}

// Guards against calls that spread over all racks, so that no rack is known to hold the gang.
TEST_CASE_METHOD(LocalityFixture, "Gang that wants one rack asks about one rack in the same calls",
                 "[dispatcher][gang][locality]")
{
    for (const char *rack : {"c", "d", "e", "f"})
        addRack(rack, 12);
    const JobId gang = addRackGang("advised", 3, 4'000);
    const std::vector<AdviceDecision> before = decide().advice;
    m_remoteFactor = 3;
    const std::vector<AdviceDecision> calls = decide().advice;
    REQUIRE(calls.size() == 1);
    CHECK(before.size() == 1);
    CHECK(before[0].workers.size() >= calls[0].workers.size());
    CHECK(calls[0].workers.size() > 1);
    std::set<RackId> racks;
    for (const CellWorker &info : m_infos) {
        if (std::ranges::count(calls[0].workers, info.incarnation) > 0)
            racks.insert(info.rack);
    }
    CHECK(racks.size() == 1);
}

TEST_CASE_METHOD(LocalityFixture, "Step with a data rack asks about its workers first",
                 "[dispatcher][locality]")
{
    for (const char *rack : {"c", "d", "e", "f"})
        addRack(rack, 12);
    addDataJob("advised", 3, 4'000);
    m_remoteFactor = 3;
    const std::vector<AdviceDecision> calls = decide().advice;
    REQUIRE(calls.size() == 1);
    for (std::size_t worker = 0; worker < 3; ++worker)
        CHECK(std::ranges::count(calls[0].workers, m_infos[worker].incarnation) == 1);
}

namespace {

/** Runs a random mix of jobs whose runs take up to three times as long as expected. */
class LocalityMix : public LocalityFixture
{
protected:
    struct Run
    {
        TaskKey task;
        uint32_t attempt = 0;
        std::size_t worker = 0;
        Resources need;
        Instant expectedEnd;
        Instant end;
    };

    std::size_t choose(std::size_t count) { return m_random() % count; }

    JobId addRandomJob(bool withGangs)
    {
        const char *const queue = choose(3) == 0 ? "lookup" : "batch";
        const auto tasks = static_cast<uint32_t>(1 + choose(6));
        const auto cpu = static_cast<int64_t>(1'000 * (1 + choose(5)));
        const Duration estimate(static_cast<int64_t>(100 + choose(1'500)));
        const bool isGang = withGangs && choose(2) == 0;
        JobId job = addJob(queue, tasks, cpu, estimate, isGang);
        stepOf(job).wantsOneRack = isGang && choose(4) > 0;
        if (choose(2) == 0)
            stepOf(job).dataRack = RackId(choose(2) == 0 ? "a" : "b");
        return job;
    }

    /** @return true if the run is away from its data rack, or its gang is on several racks. */
    bool isRemote(const StartDecision &start, const std::vector<StartDecision> &starts)
    {
        const StepSpec &spec = stepOf(start.task.job);
        return std::ranges::any_of(starts, [&](const StartDecision &other) {
            const RackId &rack = m_infos[other.worker].rack;
            const bool isAway = !spec.dataRack.isEmpty() && rack != spec.dataRack;
            return other.task.job == start.task.job
                && ((spec.wantsOneRack && rack != m_infos[start.worker].rack)
                    || (isAway && (spec.isGang || other.task == start.task)));
        });
    }

    /** @param factor run time of remote runs as a multiple of that of local ones. */
    void apply(const DispatchResult &result, double factor)
    {
        for (const StartDecision &start : result.starts) {
            const StepSpec &spec = stepOf(start.task.job);
            const Duration length =
                spec.estimate + localityGain({spec.estimate, start.isRemote ? factor : 1});
            m_jobs.apply(RunAssigned{start.task, start.attempt, m_infos[start.worker].incarnation},
                         m_now);
            m_runs.push_back({start.task, start.attempt, start.worker, spec.need,
                              m_instant + length,
                              m_instant + length * static_cast<int64_t>(1 + choose(30)) / 10});
        }
    }

    void endRuns()
    {
        std::erase_if(m_runs, [this](const Run &run) {
            if (run.end > m_instant)
                return false;
            m_jobs.apply(RunEnded{run.task, run.attempt, RunOutcome::Done, ""}, m_now);
            return true;
        });
    }

    void setAllocations()
    {
        removeRuns();
        for (const Run &run : m_runs) {
            DispatchWorker &worker = m_workers[run.worker];
            worker.used += run.need;
            worker.allocations.push_back(
                {&run.task.job, 0, 0, run.need,
                 expectedRelease(m_instant, run.expectedEnd, Duration(1000))});
        }
    }

    std::minstd_rand m_random{1};
    std::vector<Run> m_runs;
};

} // namespace

// Guards against steps that wait without bound, or for other reasons than a local placement, while
// there is room.
TEST_CASE_METHOD(LocalityMix, "No step of a random mix waits past its bound while there is room",
                 "[dispatcher][gang][locality]")
{
    const bool withGangs = GENERATE(false, true);
    m_random.seed(static_cast<uint32_t>(GENERATE(1, 2, 3, 4, 5, 6)));
    addRack("c", 4);
    m_remoteFactor = 3;
    std::map<JobId, Instant> firstWaits;
    std::size_t waitingRounds = 0;
    for (int round = 0; round < 1'500; ++round) {
        if (round < 800 && choose(8) == 0)
            addRandomJob(withGangs);
        endRuns();
        setAllocations();
        const DispatchResult result = decide();
        apply(result, m_remoteFactor);
        std::set<JobId> waiting;
        for (const LocalityDecision &decision : result.localityDecisions) {
            if (decision.waitingTasks == 0)
                continue;
            ++waitingRounds;
            waiting.insert(decision.step.job);
            const Instant since = firstWaits.emplace(decision.step.job, m_instant).first->second;
            CHECK(m_instant - since < 2 * stepOf(decision.step.job).estimate);
        }
        setAllocations();
        m_remoteFactor = 1;
        for (const StartDecision &start : decide().starts)
            CHECK((withGangs || waiting.contains(start.task.job)));
        m_remoteFactor = 3;
        pass(Duration(50));
    }
    CHECK(waitingRounds > 50);
    CHECK(m_jobs.startableSteps(m_now).empty());
    CHECK(m_counts["locality_waits_paid_off"] > 0);
    CHECK(m_counts["locality_waits"]
          == m_counts["locality_waits_paid_off"] + m_counts["locality_waits_given_up"]);
}

// Prints the figures of docs/design/LocalityWait.md.
TEST_CASE_METHOD(LocalityMix, "Figures of waits for a local placement", "[.][localityfigures]")
{
    const double factor = GENERATE(1.5, 3.0);
    const std::size_t jobsPerMinute = GENERATE(60U, 120U, 180U);
    const bool waits = GENERATE(false, true);
    m_remoteFactor = waits ? factor : 1;
    addRack("c", 3);
    std::map<JobId, Duration> objectives;
    double coreSeconds = 0;
    for (int round = 0; round < 8'000; ++round) {
        if (round < 6'000 && choose(1'200) < jobsPerMinute) {
            const JobId job = addRandomJob(true);
            objectives[job] = 4 * stepOf(job).estimate + Duration(1000);
        }
        endRuns();
        setAllocations();
        DispatchResult result = decide();
        for (StartDecision &start : result.starts)
            start.isRemote = isRemote(start, result.starts);
        const std::size_t known = m_runs.size();
        apply(result, factor);
        for (std::size_t run = known; run < m_runs.size(); ++run)
            coreSeconds += static_cast<double>(m_runs[run].need.cpu.value())
                * static_cast<double>((m_runs[run].end - m_instant) / Duration(1)) / 1e6;
        pass(Duration(50));
    }
    double seconds = 0;
    std::size_t inTime = 0;
    for (const auto &[id, objective] : objectives) {
        const JobRecord &job = *m_jobs.find(id);
        const auto took = job.endedAt - job.accepted.acceptedAt;
        seconds += static_cast<double>(took / Duration(1)) / 1000;
        inTime += took <= objective;
    }
    const auto jobs = static_cast<double>(objectives.size());
    CHECK(m_jobs.openJobs().empty());
    WARN(fmt::format("factor {} jobs/min {} waits {}: {} jobs, mean {:.2f} s, in time {:.3f}, "
                     "core-seconds {:.0f}, paid off {}, given up {}",
                     factor, jobsPerMinute, waits, jobs, seconds / jobs,
                     static_cast<double>(inTime) / jobs, coreSeconds,
                     m_counts["locality_waits_paid_off"], m_counts["locality_waits_given_up"]));
}
