#include "DispatcherFixture.h"

#include "Decision/StartLatency.h"
#include "Decision/WorkerSpeeds.h"

using namespace Cranberrymount;

TEST_CASE_METHOD(DispatcherFixture, "Lookups go first when a burst fills the pool", "[dispatcher]")
{
    addWorkers(2, 10'000);
    const JobId batch = addJob("batch", 30, 1'000, Duration(2000));
    const JobId lookup = addJob("lookup", 20, 1'000, Duration(500));
    const DispatchResult result = decide();
    CHECK(startsOf(result, lookup) == 20);
    CHECK(startsOf(result, batch) == 0);
}

TEST_CASE_METHOD(DispatcherFixture, "Excess work of one team leaves capacity for a burst of others",
                 "[dispatcher]")
{
    addWorkers(10, 10'000);
    const JobId excess = addJob("lookup", 200, 1'000, Duration(500), false, true);
    CHECK(startsOf(decide(), excess) == 80);
    const JobId inShare = addJob("lookup", 30, 1'000, Duration(500));
    const DispatchResult result = decide();
    CHECK(startsOf(result, inShare) == 30);
    CHECK(startsOf(result, excess) == 50);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "Work that will be late anyway yields to work that can finish in time",
                 "[dispatcher]")
{
    addWorkers(1, 10'000);
    const JobId late = addJob("batch", 10, 1'000, Duration(1000));
    m_now += Duration(6000);
    const JobId inTime = addJob("batch", 9, 1'000, Duration(1000));
    const DispatchResult result = decide();
    CHECK(startsOf(result, inTime) == 9);
    CHECK(startsOf(result, late) == 0);
}

TEST_CASE_METHOD(DispatcherFixture, "Job whose team has been removed starts without limit",
                 "[dispatcher]")
{
    addWorkers(1, 10'000);
    const JobId single = addJob("batch", 3, 1'000, Duration(1000));
    const JobId gang = addJob("batch", 2, 1'000, Duration(1000), true);
    // The dispatcher finds no team, as for a job that was submitted to an open queue without a key.
    m_configuration.teams.clear();
    const DispatchResult result = decide();
    CHECK(startsOf(result, single) == 3);
    CHECK(startsOf(result, gang) == 2);
}

TEST_CASE_METHOD(DispatcherFixture, "Gang starts whole or not at all", "[dispatcher]")
{
    addWorkers(3, 10'000);
    const JobId wide = addJob("batch", 4, 6'000, Duration(1000), true);
    const JobId narrow = addJob("batch", 3, 6'000, Duration(1000), true);
    const DispatchResult result = decide();
    CHECK(startsOf(result, wide) == 0);
    CHECK(startsOf(result, narrow) == 3);
}

TEST_CASE_METHOD(DispatcherFixture, "Gang that waits reserves its workers against other batch work",
                 "[dispatcher]")
{
    addWorkers(2, 10'000);
    // A run on each worker leaves too little free capacity for the gang until the run ends.
    const JobId otherJob("x");
    for (DispatchWorker &worker : m_workers) {
        worker.used = {CpuMillis(5'000), MemoryMb(0), AcceleratorCount(0)};
        worker.allocations.push_back({&otherJob, 0, 0, worker.used, m_instant + Duration(300)});
    }
    const JobId gang = addJob("batch", 2, 8'000, Duration(500), true);
    const JobId other = addJob("batch", 6, 1'000, Duration(5000));
    const DispatchResult result = decide();
    CHECK(startsOf(result, gang) == 0);
    CHECK(startsOf(result, other) == 0);
}

// Guards against a gang that waits for the end of tasks that last and keeps all workers for good.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang that only fits beside no task that lasts reserves nothing and says why",
                 "[dispatcher][gang]")
{
    addWorkers(2, 10'000);
    addRunEverywhere(2'500, Duration(-20'000), Duration(1000), true);
    const JobId gang = addJob("batch", 2, 10'000, Duration(5000), true);
    const JobId other = addJob("batch", 6, 1'000, Duration(5000));
    for (const Duration waited : {Duration(0), Duration(30'000), Duration(600'000)}) {
        m_now += waited;
        const DispatchResult result = decide();
        CHECK(startsOf(result, other) == 6);
        REQUIRE(result.blockedGangs.size() == 1);
        CHECK(result.blockedGangs[0].step.job == gang);
        CHECK(result.blockedGangs[0].obstacle == GangObstacle::EndlessRuns);
    }
    // It is looked at again when these tasks are gone.
    for (DispatchWorker &worker : m_workers) {
        worker.used = {};
        worker.allocations.clear();
    }
    const DispatchResult result = decide();
    CHECK(startsOf(result, gang) == 2);
    CHECK(result.blockedGangs.empty());
}

// Guards against a reservation that rests for minutes on runs whose estimate was far too low.
TEST_CASE_METHOD(DispatcherFixture, "Reservation does not rest on a run that is long overdue",
                 "[dispatcher][gang]")
{
    addWorkers(2, 10'000);
    addJob("batch", 2, 10'000, Duration(60'000), true);
    const JobId other = addJob("batch", 2, 1'000, Duration(60'000));
    const auto startsBesideOverdueRuns = [&](Duration overdue, Duration length) {
        for (DispatchWorker &worker : m_workers) {
            worker.used = {};
            worker.allocations.clear();
        }
        addRunEverywhere(2'500, -overdue, length);
        return startsOf(decide(), other);
    };
    CHECK(startsBesideOverdueRuns(Duration(900), Duration(0)) == 0);
    CHECK(startsBesideOverdueRuns(Duration(1'100), Duration(0)) == 2);
    CHECK(startsBesideOverdueRuns(Duration(3'900), Duration(2'000)) == 0);
    CHECK(startsBesideOverdueRuns(Duration(4'100), Duration(2'000)) == 2);
    CHECK(startsBesideOverdueRuns(Duration(9'900), Duration(60'000)) == 0);
    CHECK(startsBesideOverdueRuns(Duration(10'100), Duration(60'000)) == 2);
}

// Guards against gangs that starve because an older one, which can never be placed, is the only one
// that may reserve workers.
TEST_CASE_METHOD(DispatcherFixture,
                 "Late gang reserves workers although an older one can't be placed",
                 "[dispatcher][gang]")
{
    addWorkers(4, 10'000);
    const bool isAtTeamsLimit = GENERATE(false, true);
    const JobId hopeless = addJob("batch", 5, 10'000, Duration(1000), true);
    if (isAtTeamsLimit) {
        m_configuration.teams.push_back(
            {TeamId("full"), {}, 10, {CpuMillis(20'000), MemoryMb(0), AcceleratorCount(0)}});
        m_teamUse[TeamId("full")] = {CpuMillis(5'000), MemoryMb(0), AcceleratorCount(0)};
        m_jobs.find(hopeless)->accepted.team = TeamId("full");
        stepOf(hopeless).taskCount = 2;
        m_jobs.find(hopeless)->occurrences[0][0].tasks.resize(2);
    }
    m_now += Duration(10);
    addJob("batch", 4, 8'000, Duration(1000), true);
    m_now += Duration(30'000);
    addRunEverywhere(5'000, Duration(300), Duration(1000));
    const JobId other = addJob("batch", 8, 1'000, Duration(5000));
    CHECK(startsOf(decide(), other) == 0);
}

// Guards against a reservation for more members on a worker than the step allows there.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang that its limit per worker keeps from being placed reserves nothing",
                 "[dispatcher][gang]")
{
    addWorkers(2, 10'000);
    const JobId gang = addJob("batch", 4, 5'000, Duration(5000), true);
    stepOf(gang).maxPerWorker = 1;
    const JobId other = addJob("batch", 6, 1'000, Duration(5000));
    const DispatchResult result = decide();
    CHECK(startsOf(result, other) == 6);
    REQUIRE(result.blockedGangs.size() == 1);
    CHECK(result.blockedGangs[0].obstacle == GangObstacle::TooLarge);
}

// Guards against starvation of a gang that needs room for several members on a worker.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang reserves a worker on which several runs have to end for its members",
                 "[dispatcher][gang]")
{
    addWorkers(1, 10'000);
    addRunEverywhere(2'500, Duration(300), Duration(500));
    addRunEverywhere(2'500, Duration(400), Duration(500));
    addRunEverywhere(2'500, Duration(500), Duration(500));
    addJob("batch", 2, 5'000, Duration(1000), true);
    const JobId other = addJob("batch", 1, 1'000, Duration(5000));
    CHECK(startsOf(decide(), other) == 0);
}

// Guards against a gang that waits for ever for the workers that it knows, on which tasks last.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang whose allowed workers are taken by tasks that last asks about others",
                 "[dispatcher][gang]")
{
    addWorkers(4, 10'000);
    addRunEverywhere(5'000, Duration(-20'000), Duration(1000), true);
    addWorkers(4, 10'000);
    for (std::size_t index = 4; index < 8; ++index)
        m_workers[index].used = m_workers[index].info->capacity;
    addJob("advised", 2, 8'000, Duration(5000), true);
    std::vector<WorkerIncarnation> known;
    std::map<WorkerId, std::string> tickets;
    for (std::size_t index = 0; index < 4; ++index) {
        known.push_back(m_infos[index].incarnation);
        tickets.emplace(known.back().id, "ticket");
    }
    m_advice.recordAnswer(m_jobs.startableSteps(m_now).at(0), known, tickets,
                          m_instant + Duration(1500));
    const DispatchResult result = decide();
    REQUIRE(result.advice.size() == 1);
    CHECK(std::ranges::find(result.advice[0].workers, m_infos[4].incarnation)
          != result.advice[0].workers.end());
}

// Guards against short jobs and tasks that last that wait beside free capacity for the end of a
// long run that a gang waits for.
TEST_CASE_METHOD(DispatcherFixture,
                 "Work that ends before a gang can start, and a service, use its reserved room",
                 "[dispatcher][gang]")
{
    addWorkers(2, 10'000);
    addRunEverywhere(5'000, Duration(3000), Duration(20'000));
    const JobId gang = addJob("batch", 2, 8'000, Duration(0), true);
    const JobId brief = addJob("batch", 2, 1'000, Duration(2500));
    const JobId longer = addJob("batch", 2, 1'000, Duration(3000));
    const JobId unknown = addJob("batch", 2, 1'000, Duration(0));
    const JobId service = addJob("batch", 2, 1'000, Duration(60'000));
    stepOf(service).isService = true;
    const DispatchResult result = decide();
    CHECK(startsOf(result, gang) == 0);
    CHECK(startsOf(result, brief) == 2);
    CHECK(startsOf(result, longer) == 0);
    CHECK(startsOf(result, unknown) == 0);
    CHECK(startsOf(result, service) == 2);
}

// Guards against late jobs that never start because tasks that last use most of the pool.
TEST_CASE_METHOD(DispatcherFixture,
                 "Leftover work starts beside tasks that last, and in an idle pool", "[dispatcher]")
{
    addWorkers(4, 10'000);
    addRunEverywhere(8'500, Duration(-20'000), Duration(1000), true);
    const JobId leftover = addJob("batch", 10, 1'000, Duration(500), false, true);
    CHECK(startsOf(decide(), leftover) == 4);
    for (DispatchWorker &worker : m_workers)
        worker.acceptsWork = false;
    addWorkers(1, 10'000);
    m_jobs.discard(leftover);
    const JobId whole = addJob("batch", 1, 10'000, Duration(500), false, true);
    CHECK(startsOf(decide(), whole) == 1);
}

TEST_CASE_METHOD(DispatcherFixture, "Gang that can't be placed says why", "[dispatcher][gang]")
{
    const auto obstacle = [this](const JobId &gang) {
        const DispatchResult result = decide();
        REQUIRE(startsOf(result, gang) == 0);
        REQUIRE(result.blockedGangs.size() == 1);
        CHECK(result.blockedGangs[0].step.job == gang);
        m_jobs.discard(gang);
        return result.blockedGangs[0].obstacle;
    };
    CHECK(obstacle(addJob("batch", 2, 8'000, Duration(1000), true)) == GangObstacle::NoWorkers);
    addWorkers(2, 10'000);
    CHECK(obstacle(addJob("batch", 3, 8'000, Duration(1000), true)) == GangObstacle::TooLarge);
    m_configuration.teams.front().cap = {CpuMillis(15'000), MemoryMb(0), AcceleratorCount(0)};
    CHECK(obstacle(addJob("batch", 2, 8'000, Duration(1000), true)) == GangObstacle::TeamLimit);
    m_configuration.teams.clear();
    const JobId advised = addJob("advised", 2, 8'000, Duration(1000), true);
    m_advice.recordAnswer(m_jobs.startableSteps(m_now).at(0),
                          {m_infos[0].incarnation, m_infos[1].incarnation},
                          {{m_infos[0].incarnation.id, "ticket"}}, m_instant + Duration(1500));
    CHECK(obstacle(advised) == GangObstacle::Advice);
    // A gang that has to wait for its room only is not blocked.
    addRunEverywhere(2'500, Duration(1000), Duration(1000));
    addJob("batch", 2, 8'000, Duration(1000), true);
    CHECK(decide().blockedGangs.empty());
}

TEST_CASE_METHOD(DispatcherFixture, "Team's limit caps its starts", "[dispatcher]")
{
    addWorkers(2, 10'000);
    m_configuration.teams.front().cap = {CpuMillis(5'000), MemoryMb(0), AcceleratorCount(0)};
    m_teamUse[TeamId("team")] = {CpuMillis(2'000), MemoryMb(0), AcceleratorCount(0)};
    const JobId job = addJob("lookup", 10, 1'000, Duration(500));
    CHECK(startsOf(decide(), job) == 3);
}

TEST_CASE_METHOD(
    DispatcherFixture,
    "Advised step asks about workers with free capacity, then starts on the allowed one",
    "[dispatcher]")
{
    addWorkers(4, 10'000);
    m_workers[0].used = m_workers[0].info->capacity;
    const JobId job = addJob("advised", 4, 1'000, Duration(500));
    DispatchResult result = decide();
    CHECK(result.starts.empty());
    REQUIRE(result.advice.size() == 1);
    CHECK(std::ranges::find(result.advice[0].workers, m_workers[0].info->incarnation)
          == result.advice[0].workers.end());
    m_advice.recordAnswer(result.advice[0].step, result.advice[0].workers,
                          {{WorkerId("w2"), "ticket"}}, m_instant + Duration(1500));
    result = decide();
    CHECK(startsOf(result, job) == 4);
    for (const StartDecision &start : result.starts)
        CHECK(m_workers[start.worker].info->incarnation.id == WorkerId("w2"));
    // After the ticket expired no task starts, and only the allowed worker is asked about again.
    m_instant += Duration(2000);
    result = decide();
    CHECK(result.starts.empty());
    REQUIRE(result.advice.size() == 1);
    CHECK(result.advice[0].workers == std::vector{m_workers[2].info->incarnation});
}

TEST_CASE_METHOD(DispatcherFixture, "Wide gang on a big pool asks about enough workers at once",
                 "[dispatcher]")
{
    addWorkers(200, 10'000);
    const JobId job = addJob("advised", 40, 6'000, Duration(5000), true);
    DispatchResult result = decide();
    // Without any answers half of the workers are assumed allowed, so 120 workers have 60 places.
    // The fixed cost of a call equals that of 100 workers, so two calls suffice.
    CHECK(result.advice.size() == 2);
    std::set<WorkerIncarnation> asked;
    for (const AdviceDecision &advice : result.advice) {
        asked.insert(advice.workers.begin(), advice.workers.end());
        m_advice.beginCall(advice.step, advice.workers);
    }
    CHECK(asked.size() >= 120);
    CHECK(asked.size() <= 130);
    CHECK(decide().advice.empty());
    // The advisor allows only a quarter, which is too few, so the other workers are asked about.
    for (const AdviceDecision &advice : result.advice) {
        std::map<WorkerId, std::string> tickets;
        for (std::size_t index = 0; index < advice.workers.size(); index += 4)
            tickets.emplace(advice.workers[index].id, "ticket");
        m_advice.recordAnswer(advice.step, advice.workers, tickets, m_instant + Duration(1500));
    }
    result = decide();
    CHECK(startsOf(result, job) == 0);
    REQUIRE_FALSE(result.advice.empty());
    for (const AdviceDecision &advice : result.advice) {
        for (const WorkerIncarnation &worker : advice.workers)
            CHECK_FALSE(asked.contains(worker));
    }
}

TEST_CASE_METHOD(DispatcherFixture, "First call of a step goes before a gang's second one",
                 "[dispatcher]")
{
    addWorkers(100, 10'000);
    addJob("slowly-advised", 40, 6'000, Duration(1000), true);
    const JobId single = addJob("advised", 1, 1'000, Duration(5000));
    const DispatchResult result = decide();
    REQUIRE(result.advice.size() > 2);
    CHECK(result.advice[1].step.job == single);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "Gang renews tickets that would expire before the missing one arrives",
                 "[dispatcher]")
{
    addWorkers(3, 10'000);
    // A call about 30 workers costs 13 ms and a start takes 60 ms, so the ticket that expires in
    // 70 ms does not last until the missing one can be used.
    addJob("advised", 3, 6'000, Duration(5000), true);
    const StepKey step = m_jobs.startableSteps(m_now).at(0);
    const Duration ticketLifetimes[] = {Duration(-500), Duration(70), Duration(1000)};
    for (std::size_t worker = 0; worker < 3; ++worker) {
        const WorkerIncarnation &incarnation = m_infos[worker].incarnation;
        m_advice.recordAnswer(step, {incarnation}, {{incarnation.id, "ticket"}},
                              m_instant + ticketLifetimes[worker]);
    }
    const DispatchResult result = decide();
    CHECK(result.starts.empty());
    REQUIRE(result.advice.size() == 1);
    CHECK(result.advice[0].workers == std::vector{m_infos[0].incarnation, m_infos[1].incarnation});
}

// Guards against other work that takes a gang's capacity each time before its tickets arrive.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang reserves the capacity that it requests tickets for until they arrive",
                 "[dispatcher]")
{
    addWorkers(4, 10'000);
    const JobId gang = addJob("advised", 4, 8'000, Duration(60'000), true);
    const StepKey step = m_jobs.startableSteps(m_now).at(0);
    std::vector<WorkerIncarnation> incarnations;
    std::map<WorkerId, std::string> tickets;
    for (const CellWorker &info : m_infos) {
        incarnations.push_back(info.incarnation);
        tickets.emplace(info.incarnation.id, "ticket");
    }
    // The advisor has allowed all workers, but the tickets have expired.
    m_advice.recordAnswer(step, incarnations, tickets, m_instant - Duration(1));
    REQUIRE(decide().advice.size() == 1);
    m_advice.beginCall(step, incarnations);
    // More urgent batch work must not take the reserved capacity; a burst of lookups may.
    const JobId batch = addJob("batch", 12, 3'000, Duration(2000));
    const DispatchResult beforeAnswer = decide();
    CHECK(startsOf(beforeAnswer, batch) == 0);
    m_advice.recordAnswer(step, incarnations, tickets, m_instant + Duration(1500));
    const DispatchResult result = decide();
    CHECK(startsOf(result, gang) == 4);
    const JobId lookup = addJob("lookup", 8, 5'000, Duration(500));
    CHECK(startsOf(decide(), lookup) == 8);
}

// Guards against short calls that wait behind long calls for which no caller is free.
TEST_CASE_METHOD(DispatcherFixture, "Short call is made although gangs wait for callers",
                 "[dispatcher]")
{
    addWorkers(200, 10'000);
    for (int gang = 0; gang < 15; ++gang)
        addJob("slowly-advised", 20, 6'000, Duration(100), true);
    const JobId single = addJob("advised", 1, 1'000, Duration(5000));
    m_adviceCapacity = {0, 20};
    const DispatchResult result = decide();
    REQUIRE(result.advice.size() == 1);
    CHECK(result.advice[0].step.job == single);
}

// Guards against gangs that use up the callers with the fixed costs of small calls, and whose first
// tickets expire before the last call is made.
TEST_CASE_METHOD(DispatcherFixture, "Gang makes few large calls, and all of them together",
                 "[dispatcher]")
{
    addWorkers(200, 10'000);
    addJob("slowly-advised", 40, 8'000, Duration(5000), true);
    // The fixed cost of a call equals that of 62 workers, and about 125 workers are needed.
    DispatchResult result = decide();
    REQUIRE(result.advice.size() == 3);
    for (const AdviceDecision &advice : result.advice)
        CHECK(advice.workers.size() == result.advice[0].workers.size());
    CHECK(result.advice[0].workers.size() >= 40);
    // While too few callers are free none is used, also not by a less urgent gang.
    addJob("slowly-advised", 4, 8'000, Duration(60'000), true);
    m_adviceCapacity = {2, 20};
    CHECK(decide().advice.empty());
    // A cell with a single caller cannot make more than one call at a time.
    m_adviceCapacity = {1, 20, 1};
    result = decide();
    REQUIRE(result.advice.size() == 1);
    CHECK(result.advice[0].workers.size() == 100);
}

// Guards against gangs that get tickets for the same workers, of which only one can start there.
TEST_CASE_METHOD(DispatcherFixture, "Gangs that ask at the same time ask about different workers",
                 "[dispatcher]")
{
    addWorkers(200, 10'000);
    addJob("slowly-advised", 20, 6'000, Duration(5000), true);
    addJob("slowly-advised", 20, 6'000, Duration(5000), true);
    std::set<WorkerIncarnation> asked;
    std::size_t named = 0;
    for (const AdviceDecision &advice : decide().advice) {
        asked.insert(advice.workers.begin(), advice.workers.end());
        named += advice.workers.size();
    }
    CHECK(named >= 120);
    CHECK(asked.size() == named);
}

// Guards against calls whose tickets can't be used because the pool has no room.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang without room asks only until it knows enough workers to wait for",
                 "[dispatcher]")
{
    addWorkers(200, 10'000);
    for (DispatchWorker &worker : m_workers)
        worker.used = worker.info->capacity;
    addJob("slowly-advised", 20, 6'000, Duration(5000), true);
    const DispatchResult first = decide();
    // 40 places are to be known, and half of the workers are assumed allowed, with a place each.
    REQUIRE(first.advice.size() == 2);
    for (const AdviceDecision &advice : first.advice)
        m_advice.beginCall(advice.step, advice.workers);
    CHECK(decide().advice.empty());
    for (const AdviceDecision &advice : first.advice) {
        std::map<WorkerId, std::string> tickets;
        for (const WorkerIncarnation &worker : advice.workers)
            tickets.emplace(worker.id, "ticket");
        m_advice.recordAnswer(advice.step, advice.workers, tickets, m_instant - Duration(1));
    }
    CHECK(decide().advice.empty());
}

// Guards against gangs that ask about too few workers because most lookups are allowed everywhere.
TEST_CASE("Fraction of allowed workers is learned for each queue", "[dispatcher]")
{
    AdviceCache advice;
    const StepKey step{JobId("job"), 0, 0};
    std::vector<WorkerIncarnation> asked;
    std::map<WorkerId, std::string> tickets;
    for (int index = 0; index < 100; ++index) {
        asked.push_back({WorkerId(fmt::format("w{}", index)), 1});
        if (index % 4 == 0)
            tickets.emplace(asked.back().id, "ticket");
    }
    advice.recordAnswer(step, asked, tickets, Instant(), QueueId("gang"));
    CHECK(advice.allowedFraction(QueueId("gang")) == Approx(0.25).margin(0.03));
    CHECK(advice.allowedFraction(QueueId("lookup")) == Approx(0.5));
    // A renewed ticket says nothing about the other workers.
    for (int renewal = 0; renewal < 10; ++renewal)
        advice.recordAnswer(step, {asked[0]}, tickets, Instant(), QueueId("gang"));
    CHECK(advice.allowedFraction(QueueId("gang")) == Approx(0.25).margin(0.03));
}

TEST_CASE_METHOD(DispatcherFixture, "Gang asks for more tickets than it has members",
                 "[dispatcher]")
{
    addWorkers(12, 10'000);
    addJob("advised", 4, 8'000, Duration(5000), true);
    const StepKey step = m_jobs.startableSteps(m_now).at(0);
    for (const CellWorker &info : m_infos)
        m_advice.recordAnswer(step, {info.incarnation}, {{info.incarnation.id, "ticket"}},
                              m_instant - Duration(1));
    const DispatchResult result = decide();
    REQUIRE(result.advice.size() == 1);
    CHECK(result.advice[0].workers.size() >= 6);
}

// Guards against starvation of a gang by smaller jobs that keep arriving.
TEST_CASE_METHOD(DispatcherFixture,
                 "Gang that is late gets its capacity although other work keeps arriving",
                 "[dispatcher]")
{
    addWorkers(4, 10'000);
    const JobId gang = addJob("batch", 4, 8'000, Duration(1000), true);
    m_now += Duration(30'000);
    constexpr Duration Step{100};
    constexpr Duration RunLength{500};
    struct Run
    {
        TaskKey task;
        uint32_t attempt;
        std::size_t worker;
        Instant ends;
    };
    std::deque<Run> runs;
    bool hasStarted = false;
    for (int round = 0; round < 100 && !hasStarted; ++round) {
        // Twice as many tasks as fit at a time.
        addJob("batch", 4, 2'500, RunLength);
        addJob("batch", 4, 2'500, RunLength);
        const DispatchResult result = decide();
        hasStarted = startsOf(result, gang) == 4;
        for (const StartDecision &start : result.starts) {
            const WorkerIncarnation &incarnation = m_infos[start.worker].incarnation;
            m_jobs.apply(RunAssigned{start.task, start.attempt, incarnation}, m_now);
            runs.push_back({start.task, start.attempt, start.worker, m_instant + RunLength});
        }
        m_now += Step;
        m_instant += Step;
        while (!runs.empty() && runs.front().ends <= m_instant) {
            m_jobs.apply(RunEnded{runs.front().task, runs.front().attempt, RunOutcome::Done, ""},
                         m_now);
            runs.pop_front();
        }
        for (DispatchWorker &worker : m_workers) {
            worker.used = {};
            worker.allocations.clear();
        }
        for (const Run &run : runs) {
            const Resources need{CpuMillis(2'500), MemoryMb(1), AcceleratorCount(0)};
            m_workers[run.worker].used += need;
            m_workers[run.worker].allocations.push_back({&run.task.job, 0, 0, need, run.ends});
        }
    }
    CHECK(hasStarted);
}

TEST_CASE_METHOD(DispatcherFixture,
                 "Lookup prefers a fast worker, and every task avoids a very slow one",
                 "[dispatcher]")
{
    addWorkers(3, 10'000);
    m_workers[0].slowness = 1.3;
    m_workers[1].slowness = 5;
    m_workers[0].used = m_workers[1].used = {CpuMillis(5'000), MemoryMb(0), AcceleratorCount(0)};
    addJob("lookup", 1, 1'000, Duration(500));
    addJob("batch", 1, 1'000, Duration(500));
    const DispatchResult result = decide();
    REQUIRE(result.starts.size() == 2);
    CHECK(result.starts[0].worker == 2);
    CHECK(result.starts[1].worker == 0);
}

TEST_CASE("Speeds of workers are learned by comparing runs of the same step", "[dispatcher]")
{
    WorkerSpeeds speeds;
    const WorkerIncarnation fast{WorkerId("fast"), 1};
    const WorkerIncarnation slow{WorkerId("slow"), 1};
    for (uint32_t job = 0; job < 40; ++job) {
        const StepKey step{JobId(fmt::format("{:016x}", job)), 0, 0};
        const Duration work(500 + 37 * (job % 11));
        speeds.recordRun(step, job % 2 ? fast : slow, job % 2 ? work : work * 13 / 10);
        speeds.recordRun(step, job % 2 ? slow : fast, job % 2 ? work * 13 / 10 : work);
    }
    CHECK(speeds.slownessOf(slow) / speeds.slownessOf(fast) == Approx(1.3).margin(0.05));
}

// Guards against starts that a worker refuses, and gangs that break, because a busy leader's start
// commands arrive after the ticket expired.
TEST_CASE_METHOD(DispatcherFixture, "No task starts with a ticket that a slow start outlasts",
                 "[dispatcher]")
{
    addWorkers(1, 10'000);
    const JobId job = addJob("advised", 1, 1'000, Duration(500));
    const StepKey step = m_jobs.startableSteps(m_now).at(0);
    const WorkerIncarnation &incarnation = m_infos[0].incarnation;
    m_advice.recordAnswer(step, {incarnation}, {{incarnation.id, "ticket"}},
                          m_instant + Duration(150));
    CHECK(startsOf(decide(), job) == 1);
    StartLatency latency;
    for (int start = 0; start < 200; ++start)
        latency.record(Duration(start % 2 ? 60 : 140));
    m_startDelay = latency.upperEstimate();
    CHECK(m_startDelay > Duration(150));
    CHECK(startsOf(decide(), job) == 0);
    for (int start = 0; start < 1000; ++start)
        latency.record(Duration(start % 2 ? 10 : 20));
    CHECK(latency.upperEstimate() == Duration(60));
}

TEST_CASE_METHOD(DispatcherFixture, "Waiting steps are counted by the age of their jobs",
                 "[dispatcher]")
{
    addWorkers(1, 10'000);
    m_workers[0].used = m_workers[0].info->capacity;
    addJob("batch", 1, 1'000, Duration(500));
    m_now += Duration(8'000);
    addJob("batch", 1, 1'000, Duration(500));
    m_now += Duration(4'000);
    addJob("batch", 1, 1'000, Duration(500));
    const WaitingSteps waiting = decide().waiting;
    CHECK(waiting.olderThan3s == 2);
    CHECK(waiting.olderThan10s == 1);
}
