#include "CellFixture.h"
#include "TestEnvironment.h"

using namespace Cranberrymount;

TEST_CASE_METHOD(CellFixture, "Accepted job runs once and its state becomes done", "[cell]")
{
    const JobId job = m_cell.submit(5, Small, Duration(500));
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.accepted.contains(job));
    CHECK(m_cell.startCount == 5);
}

TEST_CASE_METHOD(CellFixture, "Job submitted again with the same id runs only once", "[cell]")
{
    const JobId job = m_cell.submit(2, Small, Duration(500));
    m_cell.run(Duration(100));
    CHECK(m_cell.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 2);
}

TEST_CASE_METHOD(CellFixture,
                 "Unknown key, unknown job and malformed id are refused with their own outcomes",
                 "[cell]")
{
    CHECK(m_cell.call(ClientCall::Status, JobId("00000000000000ff")).outcome
          == ClientReply::NoSuchJob);
    CHECK(m_cell.call(ClientCall::Status, JobId("00000000000000ff"), "stolen").outcome
          == ClientReply::UnknownKey);
    CHECK(m_cell.call(ClientCall::Status, JobId("short")).outcome == ClientReply::Malformed);
}

TEST_CASE_METHOD(CellFixture, "Tasks of a cancelled job are stopped and no more of them start",
                 "[cell]")
{
    m_cell.taskLength = Duration(5000);
    const JobId job = m_cell.submit(80, Small, Duration(5000));
    m_cell.run(Duration(500));
    CHECK(m_cell.call(ClientCall::Cancel, job).outcome == ClientReply::Cancelled);
    CHECK(m_cell.runUntil(
        [this] {
            return std::ranges::all_of(m_cell.workers, [](const FakeCellWorker &worker) {
                return worker.running.empty();
            });
        },
        Duration(2000)));
}

TEST_CASE_METHOD(CellFixture, "New leader finishes a killed leader's job and starts no task twice",
                 "[cell]")
{
    const JobId job = m_cell.submit(30, Small, Duration(500));
    m_cell.run(Duration(250));
    m_cell.killLeader();
    m_cell.run(Duration(300));
    m_cell.elect();
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 30);
}

TEST_CASE_METHOD(CellFixture, "Busy leader on a slow store hands over without delay", "[cell]")
{
    m_cell.store.latency = Duration(110);
    for (int count = 0; count < 100; ++count) {
        m_cell.submit(1, Small, Duration(150));
        m_cell.run(Duration(20));
    }
    bool isDone = false;
    m_cell.leader().quiesce([&isDone] { isDone = true; });
    // Ends keep arriving, so the journal never becomes empty.
    m_cell.run(Duration(100));
    CHECK(isDone);
    m_cell.elect();
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(2000)));
    for (const JobId &job : m_cell.accepted)
        CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Leader reads each list once per interval", "[cell]")
{
    m_cell.viewReads = 0;
    m_cell.run(Duration(7'000));
    // Two lists, each read every 0.7 s.
    CHECK(m_cell.viewReads >= 18);
    CHECK(m_cell.viewReads <= 20);
}

TEST_CASE_METHOD(CellFixture,
                 "Superseded leader neither accepts nor stores a job, and sends no command",
                 "[cell]")
{
    CellScheduler &old = m_cell.leader();
    const LeaderProcess &former = m_cell.leaderProcess();
    // Its runs and waiting tasks would give the former leader reasons for all kinds of commands.
    m_cell.submit(60, Small, Duration(1500));
    m_cell.run(Duration(500));
    REQUIRE(former.startsSent > 0);
    m_cell.elect();
    m_cell.run(Duration(1000));
    const std::size_t commands = former.commandsSent;
    const JobId job("00000000000000aa");
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.host = "host";
    call.path = "/queue/" + job.value();
    call.key = "key";
    call.spec.steps.resize(1);
    call.spec.steps[0].taskCount = 1;
    bool isAccepted = false;
    old.handle(call, [&](const ClientReply &reply) {
        isAccepted = reply.outcome == ClientReply::Accepted;
    });
    m_cell.run(Duration(3000));
    CHECK_FALSE(isAccepted);
    CHECK(m_cell.call(ClientCall::Status, job).outcome == ClientReply::NoSuchJob);
    CHECK(former.commandsSent == commands);
}

TEST_CASE_METHOD(CellFixture, "Job is refused at once while the store is down", "[cell]")
{
    m_cell.store.isDown = true;
    // The first job detects the outage; later ones are refused at once.
    m_cell.submit(1, Small, Duration(100));
    m_cell.run(Duration(200));
    const JobId job = m_cell.submit(1, Small, Duration(100));
    CHECK(m_cell.refused.contains(job));
    m_cell.store.isDown = false;
    m_cell.run(Duration(3000));
    CHECK(m_cell.call(ClientCall::Status, job).outcome == ClientReply::NoSuchJob);
}

TEST_CASE_METHOD(CellFixture,
                 "Retried submission is not refused while its record is in flight to the store",
                 "[cell]")
{
    // The store executes the commit, but its response is lost: the job may already be stored.
    m_cell.store.lostResponseRate = 1;
    const JobId job = m_cell.submit(1, Small, Duration(100));
    m_cell.run(Duration(4000));
    ClientCall again;
    again.kind = ClientCall::Submit;
    again.host = "host";
    again.path = "/queue/" + job.value();
    again.key = "key";
    bool isRefused = false;
    m_cell.leader().handle(again, [&isRefused](const ClientReply &reply) {
        isRefused = reply.outcome == ClientReply::Unavailable;
    });
    m_cell.run(Duration(500));
    CHECK_FALSE(isRefused);
    m_cell.store.lostResponseRate = 0;
    CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(
    CellFixture,
    "Retried submission of an accepted job is accepted during an outage and a handover", "[cell]")
{
    const JobId job = m_cell.submit(1, Small, Duration(60'000));
    m_cell.run(Duration(500));
    m_cell.store.isDown = true;
    m_cell.run(Duration(4000));
    CHECK(m_cell.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
    m_cell.store.isDown = false;
    m_cell.run(Duration(1000));
    m_cell.leader().quiesce([] {});
    CHECK(m_cell.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
}

TEST_CASE_METHOD(CellFixture,
                 "Job that ends while the store is down runs once and is done when it is back",
                 "[cell]")
{
    const JobId job = m_cell.submit(4, Small, Duration(1000));
    const JobId longJob = m_cell.submit(1, Small, Duration(9000));
    m_cell.run(Duration(500));
    m_cell.store.isDown = true;
    CHECK(learnsUnwrittenEnds(4));
    CHECK(m_cell.stateOf(job) == JobState::Running);
    // The workers keep the ends and their leases until the store is back.
    m_cell.run(Duration(5000));
    m_cell.killLeader();
    m_cell.store.isDown = false;
    m_cell.elect();
    CHECK(reachesState(job, JobState::Done));
    CHECK(reachesState(longJob, JobState::Done));
    CHECK(m_cell.startCount == 5);
}

TEST_CASE_METHOD(CellFixture,
                 "Job that ended while the store was down runs once although its workers "
                 "crash and a new leader takes over",
                 "[cell]")
{
    const JobId job = m_cell.submit(4, Small, Duration(1000));
    m_cell.run(Duration(500));
    m_cell.store.isDown = true;
    REQUIRE(learnsUnwrittenEnds(4));
    const std::vector<RunEnded> leftoverEnds = m_cell.leader().unwrittenEnds();
    for (std::size_t worker = 0; worker < m_cell.workers.size(); ++worker)
        m_cell.crash(worker);
    m_cell.store.isDown = false;
    m_cell.elect().adoptEnds(leftoverEnds);
    CHECK(reachesState(job, JobState::Done));
    m_cell.run(Duration(20'000));
    CHECK(m_cell.startCount == 4);
}

TEST_CASE_METHOD(CellFixture,
                 "Workers whose ends are not written yet are polled at most about once a second",
                 "[cell]")
{
    m_cell.submit(24, Small, Duration(500));
    m_cell.run(Duration(300));
    m_cell.store.isDown = true;
    REQUIRE(learnsUnwrittenEnds(24));
    const std::size_t before = m_cell.holdCount;
    m_cell.run(Duration(4000));
    CHECK(m_cell.holdCount - before <= 5 * m_cell.workers.size());
}

// Guards against a leader that polls its workers without a pause once it may extend no leases.
TEST_CASE_METHOD(CellFixture, "Workers are polled once a second in a long outage of the store",
                 "[cell]")
{
    m_cell.submit(6, Small, Duration(500));
    m_cell.run(Duration(300));
    m_cell.store.isDown = true;
    m_cell.run(Duration(7000));
    const std::size_t before = m_cell.holdCount;
    m_cell.run(Duration(4000));
    CHECK(m_cell.holdCount - before <= 5 * m_cell.workers.size());
}

// Guards against a leader that takes the time in which it was frozen for a stall of all runs.
TEST_CASE_METHOD(CellFixture, "Leader that resumes does not stop runs that make progress", "[cell]")
{
    const JobId job = m_cell.submit(6, Small, Duration(12'000));
    m_cell.run(Duration(2000));
    m_cell.leaderProcess().freeze();
    m_cell.run(Duration(4000));
    m_cell.leaderProcess().thaw();
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 6);
}

// Guards against a job that the next leader runs again although its cancellation was confirmed.
TEST_CASE_METHOD(CellFixture,
                 "Cancellation of a job is not confirmed before the end of its run is written",
                 "[cell]")
{
    const JobId job = m_cell.submit(1, Small, Duration(500));
    m_cell.run(Duration(300));
    m_cell.store.isDown = true;
    REQUIRE(learnsUnwrittenEnds(1));
    CHECK(m_cell.call(ClientCall::Cancel, job).outcome == ClientReply::Unavailable);
    m_cell.store.isDown = false;
    m_cell.run(Duration(1000));
    CHECK(m_cell.call(ClientCall::Cancel, job).outcome == ClientReply::Cancelled);
}

// Guards against submissions that wait for a whole timeout after the store has recovered.
TEST_CASE_METHOD(CellFixture,
                 "Submissions that wait for an unresponsive store are answered once it recovers",
                 "[cell]")
{
    const Duration outage(GENERATE(range(1100, 2600, 100)));
    m_cell.store.isUnresponsive = true;
    const Instant end = m_cell.events.now() + outage;
    std::vector<JobId> jobs;
    while (m_cell.events.now() < end) {
        if (m_cell.leader().storeOutageDuration() == Duration(0))
            jobs.push_back(m_cell.submit(1, Small, Duration(400)));
        m_cell.run(Duration(25));
    }
    m_cell.store.isUnresponsive = false;
    const auto allAnswered = [&] {
        return m_cell.accepted.size() + m_cell.refused.size() == jobs.size();
    };
    CHECK(m_cell.runUntil(allAnswered, Duration(300)));
}

// Guards against callers that wait until their deadline for an unresponsive store.
TEST_CASE_METHOD(CellFixture, "Submission never sent to an unresponsive store is refused at once",
                 "[cell]")
{
    m_cell.run(Duration(500));
    m_cell.store.isUnresponsive = true;
    std::vector<JobId> jobs;
    for (int count = 0; count < 40; ++count) {
        jobs.push_back(m_cell.submit(1, Small, Duration(400)));
        m_cell.run(Duration(10));
    }
    m_cell.run(Duration(150));
    // The first jobs are in commits whose outcome is unknown.
    CHECK(m_cell.refused.size() >= 20);
    CHECK(m_cell.accepted.empty());
    m_cell.run(Duration(2000));
    m_cell.store.isUnresponsive = false;
    m_cell.run(Duration(3000));
    CHECK(m_cell.accepted.size() + m_cell.refused.size() == jobs.size());
    CHECK(m_cell.startCount == m_cell.accepted.size());
    for (const JobId &id : m_cell.refused)
        CHECK(m_cell.call(ClientCall::Status, id).outcome == ClientReply::NoSuchJob);
}

// Guards against an interval between commits that grows with the duration of the outage.
TEST_CASE_METHOD(CellFixture, "Submission after the store has recovered is stored without delay",
                 "[cell]")
{
    m_cell.store.isUnresponsive = true;
    for (int count = 0; count < 6; ++count) {
        m_cell.submit(1, Small, Duration(400));
        m_cell.run(Duration(30));
    }
    m_cell.run(Duration(GENERATE(range(2300, 2900, 50))));
    m_cell.store.isUnresponsive = false;
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().storeOutageDuration() == Duration(0); },
                            Duration(500)));
    for (int count = 0; count < 20; ++count) {
        const JobId job = m_cell.submit(1, Small, Duration(400));
        CHECK(m_cell.runUntil([&] { return m_cell.accepted.contains(job); }, Duration(100)));
    }
}

// Guards against commits that find no free connection once the store has recovered.
TEST_CASE_METHOD(CellFixture, "Calls that hang on an unresponsive store leave connections free",
                 "[cell]")
{
    // The node has 24 connections to each host; its other reads and its commits need some of them.
    constexpr std::size_t MaxHangingCalls = 14;
    m_cell.store.isUnresponsive = true;
    for (int count = 0; count < 50; ++count) {
        m_cell.submit(1, Small, Duration(400));
        m_cell.run(Duration(100));
    }
    CHECK(m_cell.store.maxHangingCalls <= MaxHangingCalls);
}

TEST_CASE_METHOD(CellFixture, "Slow store is not taken for an unresponsive one", "[cell]")
{
    m_cell.store.latency = Duration(240);
    for (int count = 0; count < 40; ++count) {
        m_cell.submit(1, Small, Duration(400));
        m_cell.run(Duration(25));
        CHECK(m_cell.leader().storeOutageDuration() == Duration(0));
    }
    m_cell.run(Duration(1500));
    CHECK(m_cell.accepted.size() == 40);
}

TEST_CASE("Leader notices within 150 ms that an unresponsive store has recovered", "[cell]")
{
    // The range covers different times at which the last hanging call began.
    const Duration outage(GENERATE(range(2000, 3200, 100)));
    CellSimulation cell(1);
    cell.elect();
    REQUIRE(cell.runUntil([&cell] { return cell.leader().isReady(); }, Duration(1000)));
    cell.store.isUnresponsive = true;
    cell.submit(1, {CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)}, Duration(100));
    cell.run(outage);
    CHECK(cell.leader().storeOutageDuration() > Duration(0));
    cell.store.isUnresponsive = false;
    cell.run(Duration(150));
    CHECK(cell.leader().storeOutageDuration() == Duration(0));
}

TEST_CASE_METHOD(CellFixture,
                 "Tasks of unreachable workers run elsewhere only after their leases expire",
                 "[cell]")
{
    m_cell.taskLength = Duration(20'000);
    const JobId job = m_cell.submit(12, Large, Duration(20'000));
    m_cell.run(Duration(500));
    for (FakeCellWorker &worker : m_cell.workers)
        worker.isUnreachable = worker.info.zone == ZoneId("a");
    m_cell.run(Duration(5000));
    const std::size_t before = m_cell.startCount;
    m_cell.taskLength = Duration(500);
    CHECK(reachesState(job, JobState::Done, Duration(60'000)));
    CHECK(m_cell.startCount > before);
}

TEST_CASE_METHOD(CellFixture, "Unanswered start command is resolved before its task runs elsewhere",
                 "[cell]")
{
    for (FakeCellWorker &worker : m_cell.workers)
        worker.losesReplies = true;
    const JobId job = m_cell.submit(4, Small, Duration(500));
    m_cell.run(Duration(300));
    for (FakeCellWorker &worker : m_cell.workers)
        worker.losesReplies = false;
    CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Tasks run again after all workers have crashed", "[cell]")
{
    m_cell.taskLength = Duration(2000);
    const JobId job = m_cell.submit(20, Small, Duration(2000));
    m_cell.run(Duration(500));
    for (std::size_t index = 0; index < m_cell.workers.size(); ++index)
        m_cell.crash(index);
    CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Team's limit applies across all workers", "[cell]")
{
    m_cell.configuration.version = 2;
    m_cell.configuration.teams.front().cap = {CpuMillis(10'000), MemoryMb(0), AcceleratorCount(0)};
    m_cell.run(Duration(1500));
    const JobId job = m_cell.submit(20, Small, Duration(500));
    CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Zone out of service gets no start", "[cell]")
{
    m_cell.evacuated = {ZoneId("a")};
    m_cell.run(Duration(1500));
    const JobId job = m_cell.submit(12, Small, Duration(500));
    m_cell.run(Duration(400));
    for (const FakeCellWorker &worker : m_cell.workers)
        CHECK((worker.info.zone == ZoneId("b") || worker.running.empty()));
    CHECK(reachesState(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Task that takes longer than estimated does not count as stalled",
                 "[cell]")
{
    m_cell.taskLength = Duration(12'000);
    m_cell.estimatedLength = Duration(4'000);
    const JobId job = m_cell.submit(2, Small, Duration(4'000));
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 2);
}

TEST_CASE_METHOD(CellFixture, "Task without progress is started again", "[cell]")
{
    m_cell.isProgressStalled = true;
    m_cell.taskLength = Duration(60'000);
    const JobId job = m_cell.submit(1, Small, Duration(1'000));
    m_cell.run(Duration(500));
    m_cell.taskLength = Duration(1'000);
    CHECK(reachesState(job, JobState::Done));
    CHECK(m_cell.startCount == 2);
}

TEST_CASE_METHOD(CellFixture,
                 "Gang with a member that could not start completes once all workers are reachable",
                 "[cell]")
{
    m_cell.workers[0].isUnreachable = true;
    const JobId job = m_cell.submit(6, Large, Duration(500), true);
    m_cell.run(Duration(2000));
    m_cell.workers[0].isUnreachable = false;
    CHECK(reachesState(job, JobState::Done));
}

// Guards against gang members that wait in vain because a start command of the gang was lost.
TEST_CASE_METHOD(CellFixture,
                 "Gang with an unanswered start is stopped before its workers end it as incomplete",
                 "[cell]")
{
    for (FakeCellWorker &worker : m_cell.workers)
        worker.maxStartsInFlight = 1;
    const JobId job = m_cell.submit(12, Small, Duration(500), true);
    m_cell.run(Duration(15'000));
    CHECK(m_cell.incompleteGangRuns == 0);
    for (FakeCellWorker &worker : m_cell.workers)
        worker.maxStartsInFlight = SIZE_MAX;
    CHECK(reachesState(job, JobState::Done));
}

// Guards against a gang that is placed again and again on a worker that its commands don't reach.
TEST_CASE_METHOD(CellFixture, "Gang with an unanswered start is started on another worker",
                 "[cell]")
{
    const JobId first = m_cell.submit(2, Small, Duration(500), true);
    m_cell.run(Duration(100));
    const auto hasRuns = [](const FakeCellWorker &worker) { return !worker.running.empty(); };
    const auto chosen = std::ranges::find_if(m_cell.workers, hasRuns);
    REQUIRE(chosen != m_cell.workers.end());
    REQUIRE(chosen->running.size() == 2);
    REQUIRE(reachesState(first, JobState::Done));
    chosen->maxStartsInFlight = 1;
    const JobId second = m_cell.submit(2, Small, Duration(500), true);
    CHECK(reachesState(second, JobState::Done, Duration(6000)));
    CHECK(m_cell.incompleteGangRuns == 0);
}

TEST_CASE_METHOD(CellFixture, "Journal stays short and a new leader still knows every job",
                 "[cell]")
{
    std::vector<JobId> jobs;
    const JobId longJob = m_cell.submit(1, Small, Duration(40'000));
    for (int count = 0; count < 700; ++count) {
        jobs.push_back(m_cell.submit(1, Small, Duration(100)));
        m_cell.run(Duration(30));
    }
    m_cell.run(Duration(1000));
    CHECK(m_cell.store.keyCount(SegmentPrefix) < 500);
    m_cell.killLeader();
    m_cell.elect();
    REQUIRE(m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(1000)));
    for (const JobId &job : jobs)
        CHECK(m_cell.stateOf(job) == JobState::Done);
    CHECK(m_cell.stateOf(longJob) == JobState::Running);
    CHECK(reachesState(longJob, JobState::Done, Duration(60'000)));
    CHECK(m_cell.startCount == 701);
}

TEST_CASE_METHOD(CellFixture, "Snapshot taken while an end is being written does not undo it",
                 "[cell]")
{
    // Commits are slow, so that ends are often in flight when segments are replaced.
    m_cell.store.latency = Duration(22);
    for (int count = 0; count < 1200; ++count) {
        // Short jobs fill segments; long jobs end when their first segment is replaced.
        m_cell.submit(1, Small, Duration(100));
        if (count % 12 == 0)
            m_cell.submit(1, Small, Duration(9'000 + 10 * count));
        m_cell.run(Duration(40));
        if (count % 150 == 149) {
            m_cell.killLeader();
            m_cell.elect();
            m_cell.runUntil([this] { return m_cell.leader().isReady(); }, Duration(3000));
        }
    }
    m_cell.run(Duration(30'000));
    for (const JobId &job : m_cell.accepted)
        CHECK(m_cell.stateOf(job) == JobState::Done);
}

namespace {

/** Runs histories with random failures; each is checked after all failures have been repaired. */
void runRandomHistories(uint64_t defaultCount, std::size_t forwarders,
                        const std::vector<std::string> &foreignPools = {})
{
    const uint64_t first = numberFromEnvironment("HISTORY_SEED", 1);
    const uint64_t count = numberFromEnvironment("HISTORY_COUNT", defaultCount);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        CellSimulation cell(seed);
        if (forwarders > 0)
            cell.addForwarders(forwarders);
        for (const std::string &pool : foreignPools)
            cell.addForeignWorker(pool);
        cell.configuration.teams.front().cap = {CpuMillis(60'000), MemoryMb(0),
                                                AcceleratorCount(0)};
        cell.elect();
        cell.runUntil([&] { return cell.leader().isReady(); }, Duration(1000));
        const auto randomBelow = [&](uint32_t bound) { return cell.random(bound); };
        for (int step = 0; step < 60; ++step) {
            cell.taskLength = Duration(100 + randomBelow(1500));
            if (forwarders > 0 && randomBelow(5) == 0)
                cell.setForwarderFaulty(randomBelow(static_cast<uint32_t>(forwarders)),
                                        Duration(randomBelow(4000)));
            FakeCellWorker &worker = cell.workers[randomBelow(6)];
            switch (randomBelow(12)) {
            case 0:
                worker.isUnreachable = !worker.isUnreachable;
                break;
            case 1:
                worker.losesReplies = !worker.losesReplies;
                break;
            case 2: {
                // A worker's next incarnation begins some time after the last one ended.
                const std::size_t index = randomBelow(6);
                cell.crash(index);
                cell.workers[index].isUnreachable = true;
                cell.run(Duration(600));
                cell.workers[index].isUnreachable = false;
                break;
            }
            case 3:
                cell.store.isDown = !cell.store.isDown;
                break;
            case 4:
                cell.store.lostResponseRate = randomBelow(2) * 0.3;
                break;
            case 5:
                if (randomBelow(2) == 0)
                    cell.killLeader();
                cell.elect();
                break;
            case 6:
                if (!cell.accepted.empty())
                    cell.call(ClientCall::Cancel,
                              *std::next(cell.accepted.begin(),
                                         randomBelow(static_cast<uint32_t>(cell.accepted.size()))));
                break;
            default:
                // A gang of six large tasks is the largest that the team's limit allows.
                cell.submit(1 + randomBelow(6), randomBelow(3) == 0 ? Large : Small,
                            cell.taskLength, randomBelow(4) == 0);
                break;
            }
            cell.run(Duration(randomBelow(1500)));
        }
        // All failures are repaired: every accepted job must end.
        cell.store.isDown = false;
        cell.store.lostResponseRate = 0;
        for (FakeCellWorker &worker : cell.workers)
            worker.isUnreachable = worker.losesReplies = false;
        cell.elect();
        cell.run(Duration(60'000));
        const JobId last = cell.submit(1, Small, cell.taskLength);
        cell.run(Duration(5000));
        if (!cell.accepted.contains(last))
            FAIL_CHECK("no job is accepted although all failures are repaired");
        for (const std::string &violation : cell.violations)
            FAIL_CHECK(violation);
        for (const JobId &job : cell.accepted) {
            const JobState state = cell.stateOf(job);
            const bool mayBeCancelled = cell.cancelRequested.contains(job);
            const bool mayBeDone = !cell.cancelled.contains(job) || state != JobState::Cancelled;
            const bool isExpected = (state == JobState::Done && mayBeDone)
                || (state == JobState::Cancelled && mayBeCancelled);
            if (!isExpected)
                FAIL_CHECK("job " << job.value() << " ends in state " << static_cast<int>(state));
        }
    }
}

} // namespace

TEST_CASE("Random histories of a cell lose no job and run no job twice", "[cell][cellhistory]")
{
    runRandomHistories(150, 0);
}

TEST_CASE(
    "Random histories of a cell whose followers forward commands lose no job and run no job twice",
    "[cell][cellhistory]")
{
    runRandomHistories(100, 3);
}

// Guards against a cell that workers of another system bring to a halt, and against a start that
// such a worker's refusal should have prevented.
TEST_CASE("Random histories of a cell that lists foreign workers lose no job and run no job twice",
          "[cell][cellhistory]")
{
    runRandomHistories(100, 0, {"pool", "pool", "unnamed"});
}
