#include "CellWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace Cranberrymount;

namespace {

const Resources Small{CpuMillis(2'000), MemoryMb(4'000), AcceleratorCount(0)};
const Resources Large{CpuMillis(9'000), MemoryMb(4'000), AcceleratorCount(0)};

class CellFixture
{
protected:
    CellFixture()
    {
        m_world.elect();
        REQUIRE(m_world.runUntil([this] { return m_world.leader().isReady(); }, Duration(1000)));
        m_world.run(Duration(200));
    }
    ~CellFixture()
    {
        for (const std::string &violation : m_world.violations)
            FAIL_CHECK(violation);
    }

    bool ends(const JobId &id, JobState state, Duration limit = Duration(20'000))
    {
        return m_world.runUntil([&] { return m_world.stateOf(id) == state; }, limit);
    }

    CellWorld m_world{1};
};

uint64_t environmentNumber(const char *name, uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST_CASE_METHOD(CellFixture, "Accepted job runs once and is shown as done", "[cell]")
{
    const JobId job = m_world.submit(5, Small, Duration(500));
    CHECK(ends(job, JobState::Done));
    CHECK(m_world.accepted.contains(job));
    CHECK(m_world.startCount == 5);
}

TEST_CASE_METHOD(CellFixture, "Job submitted again with its id stays one job", "[cell]")
{
    const JobId job = m_world.submit(2, Small, Duration(500));
    m_world.run(Duration(100));
    CHECK(m_world.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
    CHECK(ends(job, JobState::Done));
    CHECK(m_world.startCount == 2);
}

TEST_CASE_METHOD(CellFixture, "Unknown key and unknown job are refused for what they are", "[cell]")
{
    CHECK(m_world.call(ClientCall::Status, JobId("00000000000000ff")).outcome
          == ClientReply::NoSuchJob);
    CHECK(m_world.call(ClientCall::Status, JobId("00000000000000ff"), "stolen").outcome
          == ClientReply::UnknownKey);
    CHECK(m_world.call(ClientCall::Status, JobId("short")).outcome == ClientReply::Malformed);
}

TEST_CASE_METHOD(CellFixture, "Cancelled job stops and starts nothing more", "[cell]")
{
    m_world.taskLength = Duration(5000);
    const JobId job = m_world.submit(80, Small, Duration(5000));
    m_world.run(Duration(500));
    CHECK(m_world.call(ClientCall::Cancel, job).outcome == ClientReply::Cancelled);
    CHECK(m_world.runUntil(
        [this] {
            return std::ranges::all_of(m_world.workers, [](const CellTestWorker &worker) {
                return worker.running.empty();
            });
        },
        Duration(2000)));
}

TEST_CASE_METHOD(CellFixture, "New leader finishes what the killed one began", "[cell]")
{
    const JobId job = m_world.submit(30, Small, Duration(500));
    m_world.run(Duration(250));
    m_world.killLeader();
    m_world.run(Duration(300));
    m_world.elect();
    CHECK(ends(job, JobState::Done));
    CHECK(m_world.startCount == 30);
}

TEST_CASE_METHOD(CellFixture, "Busy leader on a slow store hands over without delay", "[cell]")
{
    m_world.store.latency = Duration(110);
    for (int count = 0; count < 100; ++count) {
        m_world.submit(1, Small, Duration(150));
        m_world.run(Duration(20));
    }
    bool isDone = false;
    m_world.leader().quiesce([&isDone] { isDone = true; });
    // Ends go on coming in, so that the journal is never empty.
    m_world.run(Duration(100));
    CHECK(isDone);
    m_world.elect();
    REQUIRE(m_world.runUntil([this] { return m_world.leader().isReady(); }, Duration(2000)));
    for (const JobId &job : m_world.accepted)
        CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Leader reads each list once an interval", "[cell]")
{
    m_world.viewReads = 0;
    m_world.run(Duration(7'000));
    // Two lists, each every 0.7 s.
    CHECK(m_world.viewReads >= 18);
    CHECK(m_world.viewReads <= 20);
}

TEST_CASE_METHOD(CellFixture, "Superseded leader writes nothing and orders nothing", "[cell]")
{
    CellScheduler &old = m_world.leader();
    m_world.elect();
    m_world.run(Duration(1000));
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
    m_world.run(Duration(3000));
    CHECK_FALSE(isAccepted);
    CHECK(m_world.call(ClientCall::Status, job).outcome == ClientReply::NoSuchJob);
}

TEST_CASE_METHOD(CellFixture, "Job is refused at once while the store is down", "[cell]")
{
    m_world.store.isDown = true;
    // One job finds out; what follows is told at once.
    m_world.submit(1, Small, Duration(100));
    m_world.run(Duration(200));
    const JobId job = m_world.submit(1, Small, Duration(100));
    CHECK(m_world.refused.contains(job));
    m_world.store.isDown = false;
    m_world.run(Duration(3000));
    CHECK(m_world.call(ClientCall::Status, job).outcome == ClientReply::NoSuchJob);
}

TEST_CASE_METHOD(CellFixture, "Job on its way to the store is refused to no later try", "[cell]")
{
    // The store takes the call, but its answer is lost: the job may be stored at any moment.
    m_world.store.lostAnswers = 1;
    const JobId job = m_world.submit(1, Small, Duration(100));
    m_world.run(Duration(4000));
    ClientCall again;
    again.kind = ClientCall::Submit;
    again.host = "host";
    again.path = "/queue/" + job.value();
    again.key = "key";
    bool isRefused = false;
    m_world.leader().handle(again, [&isRefused](const ClientReply &reply) {
        isRefused = reply.outcome == ClientReply::Unavailable;
    });
    m_world.run(Duration(500));
    CHECK_FALSE(isRefused);
    m_world.store.lostAnswers = 0;
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Accepted job is refused to no later try, whatever the store does",
                 "[cell]")
{
    const JobId job = m_world.submit(1, Small, Duration(60'000));
    m_world.run(Duration(500));
    m_world.store.isDown = true;
    m_world.run(Duration(4000));
    CHECK(m_world.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
    m_world.store.isDown = false;
    m_world.run(Duration(1000));
    m_world.leader().quiesce([] {});
    CHECK(m_world.call(ClientCall::Submit, job).outcome == ClientReply::Accepted);
}

TEST_CASE_METHOD(CellFixture, "Job that ends while the store is down is shown, and runs once",
                 "[cell]")
{
    const JobId job = m_world.submit(4, Small, Duration(1000));
    const JobId longJob = m_world.submit(1, Small, Duration(9000));
    m_world.run(Duration(500));
    m_world.store.isDown = true;
    CHECK(ends(job, JobState::Done, Duration(1500)));
    // The workers keep the ends and their leases until the store is back.
    m_world.run(Duration(5000));
    m_world.killLeader();
    m_world.store.isDown = false;
    m_world.elect();
    CHECK(ends(job, JobState::Done));
    CHECK(ends(longJob, JobState::Done));
    CHECK(m_world.startCount == 5);
}

TEST_CASE_METHOD(CellFixture,
                 "Job shown as done while the store is down runs once, though its worker "
                 "leaves with its leader",
                 "[cell]")
{
    const JobId job = m_world.submit(4, Small, Duration(1000));
    m_world.run(Duration(500));
    m_world.store.isDown = true;
    REQUIRE(ends(job, JobState::Done, Duration(1500)));
    const std::vector<RunEnded> left = m_world.leader().unwrittenEnds();
    for (std::size_t worker = 0; worker < m_world.workers.size(); ++worker)
        m_world.crash(worker);
    m_world.store.isDown = false;
    m_world.elect().learnEnds(left);
    CHECK(ends(job, JobState::Done));
    m_world.run(Duration(20'000));
    CHECK(m_world.startCount == 4);
}

TEST_CASE_METHOD(CellFixture, "Workers whose ends wait for the store are asked about once a second",
                 "[cell]")
{
    const JobId job = m_world.submit(24, Small, Duration(500));
    m_world.run(Duration(300));
    m_world.store.isDown = true;
    REQUIRE(ends(job, JobState::Done, Duration(1500)));
    const std::size_t before = m_world.holdCount;
    m_world.run(Duration(4000));
    CHECK(m_world.holdCount - before <= 5 * m_world.workers.size());
}

// Guards against a job that runs again, under the next leader, after its cancellation was
// confirmed.
TEST_CASE_METHOD(CellFixture, "Job whose end waits for the store is not confirmed as cancelled",
                 "[cell]")
{
    const JobId job = m_world.submit(1, Small, Duration(500));
    m_world.run(Duration(300));
    m_world.store.isDown = true;
    REQUIRE(ends(job, JobState::Done));
    CHECK(m_world.call(ClientCall::Cancel, job).outcome == ClientReply::Unavailable);
    m_world.store.isDown = false;
    m_world.run(Duration(1000));
    CHECK(m_world.call(ClientCall::Cancel, job).outcome == ClientReply::Cancelled);
}

// Guards against submissions that wait out a whole time-out after the store has come back.
TEST_CASE_METHOD(CellFixture, "Everything that waits for a silent store is written once it is back",
                 "[cell]")
{
    const Duration silence(GENERATE(range(1100, 2600, 100)));
    m_world.store.isSilent = true;
    const Instant end = m_world.events.now() + silence;
    std::vector<JobId> jobs;
    while (m_world.events.now() < end) {
        if (m_world.leader().storeLostFor() == Duration(0))
            jobs.push_back(m_world.submit(1, Small, Duration(400)));
        m_world.run(Duration(25));
    }
    m_world.store.isSilent = false;
    const auto areAnswered = [&] {
        return m_world.accepted.size() + m_world.refused.size() == jobs.size();
    };
    CHECK(m_world.runUntil(areAnswered, Duration(300)));
}

// Guards against callers that wait out their deadline for a store that has fallen silent.
TEST_CASE_METHOD(CellFixture, "Submission that a silent store was never sent is refused at once",
                 "[cell]")
{
    m_world.run(Duration(500));
    m_world.store.isSilent = true;
    std::vector<JobId> jobs;
    for (int count = 0; count < 40; ++count) {
        jobs.push_back(m_world.submit(1, Small, Duration(400)));
        m_world.run(Duration(10));
    }
    m_world.run(Duration(150));
    // The first ones are in commits whose fate is open.
    CHECK(m_world.refused.size() >= 20);
    CHECK(m_world.accepted.empty());
    m_world.run(Duration(2000));
    m_world.store.isSilent = false;
    m_world.run(Duration(3000));
    CHECK(m_world.accepted.size() + m_world.refused.size() == jobs.size());
    CHECK(m_world.startCount == m_world.accepted.size());
    for (const JobId &id : m_world.refused)
        CHECK(m_world.call(ClientCall::Status, id).outcome == ClientReply::NoSuchJob);
}

// Guards against commits that are spaced out by how long the store was away.
TEST_CASE_METHOD(CellFixture, "Submission after the store's return is stored without delay",
                 "[cell]")
{
    m_world.store.isSilent = true;
    for (int count = 0; count < 6; ++count) {
        m_world.submit(1, Small, Duration(400));
        m_world.run(Duration(30));
    }
    m_world.run(Duration(GENERATE(range(2300, 2900, 50))));
    m_world.store.isSilent = false;
    REQUIRE(m_world.runUntil([this] { return m_world.leader().storeLostFor() == Duration(0); },
                             Duration(500)));
    for (int count = 0; count < 20; ++count) {
        const JobId job = m_world.submit(1, Small, Duration(400));
        CHECK(m_world.runUntil([&] { return m_world.accepted.contains(job); }, Duration(100)));
    }
}

// Guards against commits that find no free connection once the store is back.
TEST_CASE_METHOD(CellFixture, "Calls that hang on a silent store leave connections free", "[cell]")
{
    // The node has 24 to each host; its other reads and its commits need some.
    constexpr std::size_t MostHanging = 14;
    m_world.store.isSilent = true;
    for (int count = 0; count < 50; ++count) {
        m_world.submit(1, Small, Duration(400));
        m_world.run(Duration(100));
    }
    CHECK(m_world.store.mostHangingCalls <= MostHanging);
}

TEST_CASE_METHOD(CellFixture, "Slow store is not taken for a silent one", "[cell]")
{
    m_world.store.latency = Duration(240);
    for (int count = 0; count < 40; ++count) {
        m_world.submit(1, Small, Duration(400));
        m_world.run(Duration(25));
        CHECK(m_world.leader().storeLostFor() == Duration(0));
    }
    m_world.run(Duration(1500));
    CHECK(m_world.accepted.size() == 40);
}

TEST_CASE("Store that was silent is used as soon as it is back", "[cell]")
{
    // Whenever the last call before its return began to hang.
    const Duration silence(GENERATE(range(2000, 3200, 100)));
    CellWorld world(1);
    world.elect();
    REQUIRE(world.runUntil([&world] { return world.leader().isReady(); }, Duration(1000)));
    world.store.isSilent = true;
    world.submit(1, {CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)}, Duration(100));
    world.run(silence);
    CHECK(world.leader().storeLostFor() > Duration(0));
    world.store.isSilent = false;
    world.run(Duration(150));
    CHECK(world.leader().storeLostFor() == Duration(0));
}

TEST_CASE_METHOD(CellFixture, "Tasks of a cut-off worker run elsewhere only after its leases",
                 "[cell]")
{
    m_world.taskLength = Duration(20'000);
    const JobId job = m_world.submit(12, Large, Duration(20'000));
    m_world.run(Duration(500));
    for (CellTestWorker &worker : m_world.workers)
        worker.isCut = worker.info.zone == ZoneId("a");
    m_world.run(Duration(5000));
    const std::size_t before = m_world.startCount;
    m_world.taskLength = Duration(500);
    CHECK(ends(job, JobState::Done, Duration(60'000)));
    CHECK(m_world.startCount > before);
}

TEST_CASE_METHOD(CellFixture, "Order without an answer is settled before its task goes elsewhere",
                 "[cell]")
{
    for (CellTestWorker &worker : m_world.workers)
        worker.isMute = true;
    const JobId job = m_world.submit(4, Small, Duration(500));
    m_world.run(Duration(300));
    for (CellTestWorker &worker : m_world.workers)
        worker.isMute = false;
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Crashed worker's tasks run again in its next life", "[cell]")
{
    m_world.taskLength = Duration(2000);
    const JobId job = m_world.submit(20, Small, Duration(2000));
    m_world.run(Duration(500));
    for (std::size_t index = 0; index < m_world.workers.size(); ++index)
        m_world.crash(index);
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Team's limit holds over all workers", "[cell]")
{
    m_world.configuration.version = 2;
    m_world.configuration.teams.front().cap = {CpuMillis(10'000), MemoryMb(0), AcceleratorCount(0)};
    m_world.run(Duration(1500));
    const JobId job = m_world.submit(20, Small, Duration(500));
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Zone that was taken out gets no start", "[cell]")
{
    m_world.evacuated = {ZoneId("a")};
    m_world.run(Duration(1500));
    const JobId job = m_world.submit(12, Small, Duration(500));
    m_world.run(Duration(400));
    for (const CellTestWorker &worker : m_world.workers)
        CHECK((worker.info.zone == ZoneId("b") || worker.running.empty()));
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture,
                 "Task that takes longer than estimated is not taken for a stalled one", "[cell]")
{
    m_world.taskLength = Duration(12'000);
    m_world.estimatedLength = Duration(4'000);
    const JobId job = m_world.submit(2, Small, Duration(4'000));
    CHECK(ends(job, JobState::Done));
    CHECK(m_world.startCount == 2);
}

TEST_CASE_METHOD(CellFixture, "Task that stands still is started again", "[cell]")
{
    m_world.isStandingStill = true;
    m_world.taskLength = Duration(60'000);
    const JobId job = m_world.submit(1, Small, Duration(1'000));
    m_world.run(Duration(500));
    m_world.taskLength = Duration(1'000);
    CHECK(ends(job, JobState::Done));
    CHECK(m_world.startCount == 2);
}

TEST_CASE_METHOD(CellFixture, "Gang whose member cannot start is started whole again", "[cell]")
{
    m_world.workers[0].isCut = true;
    const JobId job = m_world.submit(6, Large, Duration(500), true);
    m_world.run(Duration(2000));
    m_world.workers[0].isCut = false;
    CHECK(ends(job, JobState::Done));
}

TEST_CASE_METHOD(CellFixture, "Journal stays short and a new leader still knows every job",
                 "[cell]")
{
    std::vector<JobId> jobs;
    const JobId longJob = m_world.submit(1, Small, Duration(40'000));
    for (int count = 0; count < 700; ++count) {
        jobs.push_back(m_world.submit(1, Small, Duration(100)));
        m_world.run(Duration(30));
    }
    m_world.run(Duration(1000));
    CHECK(m_world.store.keyCount(SegmentPrefix) < 500);
    m_world.killLeader();
    m_world.elect();
    REQUIRE(m_world.runUntil([this] { return m_world.leader().isReady(); }, Duration(1000)));
    for (const JobId &job : jobs)
        CHECK(m_world.stateOf(job) == JobState::Done);
    CHECK(m_world.stateOf(longJob) == JobState::Running);
    CHECK(ends(longJob, JobState::Done, Duration(60'000)));
    CHECK(m_world.startCount == 701);
}

TEST_CASE_METHOD(CellFixture, "Snapshot taken while an end is being written does not undo it",
                 "[cell]")
{
    // Commits take long, so that ends are often under way when segments are replaced.
    m_world.store.latency = Duration(22);
    for (int count = 0; count < 1200; ++count) {
        // Short jobs fill segments; the long ones end when the first of theirs is replaced.
        m_world.submit(1, Small, Duration(100));
        if (count % 12 == 0)
            m_world.submit(1, Small, Duration(9'000 + 10 * count));
        m_world.run(Duration(40));
        if (count % 150 == 149) {
            m_world.killLeader();
            m_world.elect();
            m_world.runUntil([this] { return m_world.leader().isReady(); }, Duration(3000));
        }
    }
    m_world.run(Duration(30'000));
    for (const JobId &job : m_world.accepted)
        CHECK(m_world.stateOf(job) == JobState::Done);
}

namespace {

/** Plays histories in which things fail at random, each judged when everything is mended. */
void playHistories(uint64_t defaultCount, std::size_t carriers)
{
    const uint64_t first = environmentNumber("HISTORY_SEED", 1);
    const uint64_t count = environmentNumber("HISTORY_COUNT", defaultCount);
    for (uint64_t seed = first; seed < first + count; ++seed) {
        CAPTURE(seed);
        CellWorld world(seed);
        if (carriers > 0)
            world.addCarriers(carriers);
        world.configuration.teams.front().cap = {CpuMillis(60'000), MemoryMb(0),
                                                 AcceleratorCount(0)};
        world.elect();
        world.runUntil([&] { return world.leader().isReady(); }, Duration(1000));
        const auto pick = [&](uint32_t bound) { return world.random(bound); };
        for (int step = 0; step < 60; ++step) {
            world.taskLength = Duration(100 + pick(1500));
            if (carriers > 0 && pick(5) == 0)
                world.disturbCarrier(pick(static_cast<uint32_t>(carriers)), Duration(pick(4000)));
            CellTestWorker &worker = world.workers[pick(6)];
            switch (pick(12)) {
            case 0:
                worker.isCut = !worker.isCut;
                break;
            case 1:
                worker.isMute = !worker.isMute;
                break;
            case 2: {
                // A worker's next life begins some time after the last one ended.
                const std::size_t index = pick(6);
                world.crash(index);
                world.workers[index].isCut = true;
                world.run(Duration(600));
                world.workers[index].isCut = false;
                break;
            }
            case 3:
                world.store.isDown = !world.store.isDown;
                break;
            case 4:
                world.store.lostAnswers = pick(2) * 0.3;
                break;
            case 5:
                if (pick(2) == 0)
                    world.killLeader();
                world.elect();
                break;
            case 6:
                if (!world.accepted.empty())
                    world.call(ClientCall::Cancel,
                               *std::next(world.accepted.begin(),
                                          pick(static_cast<uint32_t>(world.accepted.size()))));
                break;
            default:
                // A gang of six large tasks is the widest that the team's limit allows.
                world.submit(1 + pick(6), pick(3) == 0 ? Large : Small, world.taskLength,
                             pick(4) == 0);
                break;
            }
            world.run(Duration(pick(1500)));
        }
        // Everything is mended: all that was accepted has to end.
        world.store.isDown = false;
        world.store.lostAnswers = 0;
        for (CellTestWorker &worker : world.workers)
            worker.isCut = worker.isMute = false;
        world.elect();
        world.run(Duration(60'000));
        for (const std::string &violation : world.violations)
            FAIL_CHECK(violation);
        for (const JobId &job : world.accepted) {
            const JobState state = world.stateOf(job);
            const bool mayBeCancelled = world.cancelTried.contains(job);
            const bool mayBeDone = !world.cancelled.contains(job) || state != JobState::Cancelled;
            const bool isExpected = (state == JobState::Done && mayBeDone)
                || (state == JobState::Cancelled && mayBeCancelled);
            if (!isExpected)
                FAIL_CHECK("job " << job.value() << " ends in state " << static_cast<int>(state));
        }
    }
}

} // namespace

TEST_CASE("Random histories of a cell lose no job and run none twice", "[cell][cellhistory]")
{
    playHistories(150, 0);
}

TEST_CASE("Random histories of a cell whose followers carry orders lose no job and run none twice",
          "[cell][cellhistory]")
{
    playHistories(100, 3);
}
