#include "Decision/ShardScheduler.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Cranberrymount;

namespace {

const Resources OneCore{CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)};
const Resources FourCores{CpuMillis(4000), MemoryMb(4000), AcceleratorCount(0)};
const Resources Plenty{CpuMillis(1'000'000), MemoryMb(1'000'000), AcceleratorCount(100)};

/** Two idle workers on different racks, and two teams with equal shares. */
class SchedulerFixture
{
protected:
    SchedulerFixture()
    {
        view.now = Instant(Duration(1'000'000));
        for (int number = 0; number < 2; ++number) {
            view.workers.push_back({WorkerId("w" + std::to_string(number)),
                                    RackId("r" + std::to_string(number)), FourCores, FourCores});
        }
        view.teams[TeamId("red")] = {1.0, {}, Plenty};
        view.teams[TeamId("blue")] = {1.0, {}, Plenty};
    }

    void addWaitingJob(const std::string &job, const std::string &team, const WorkPolicy &policy,
                       uint32_t tasks, Duration waited)
    {
        WaitingGroup group;
        group.job = JobId(job);
        group.team = TeamId(team);
        group.policy = policy;
        group.perTask = OneCore;
        group.since = view.now - waited;
        for (uint32_t index = 0; index < tasks; ++index)
            group.indexes.push_back(index);
        view.waiting.push_back(std::move(group));
    }

    /** Fills both workers with batch tasks of @p team; the latest of them have run for @p ran. */
    void fillWithTasksOf(const std::string &team, Duration ran)
    {
        for (std::size_t number = 0; number < 2; ++number) {
            view.workers[number].free = Resources();
            for (uint32_t index = 0; index < 4; ++index) {
                RunningTask task;
                task.task = {JobId("old" + std::to_string(number)), index};
                task.team = TeamId(team);
                task.worker = view.workers[number].id;
                task.resources = OneCore;
                task.isBatch = true;
                task.since = view.now - ran * (index + 1);
                view.running.push_back(task);
            }
        }
        view.teams[TeamId(team)].used = OneCore.times(8);
    }

    std::size_t placedCount(const std::string &job) const
    {
        std::size_t count = 0;
        for (const Placement &placement : decision.placements)
            count += placement.task.job == JobId(job) ? 1 : 0;
        return count;
    }

    void decide() { decision = ShardScheduler().decide(view); }

    ShardView view;
    ShardDecision decision;
};

} // namespace

TEST_CASE_METHOD(SchedulerFixture, "Gang that has waited long is placed only once", "[scheduler]")
{
    addWaitingJob("gang", "red", GangPolicy(), 4, Duration(60'000));
    decide();
    std::set<TaskId> tasks;
    for (const Placement &placement : decision.placements)
        tasks.insert(placement.task);
    CHECK(decision.placements.size() == 4);
    CHECK(tasks.size() == 4);
}

TEST_CASE_METHOD(SchedulerFixture, "Gang that does not fit is not started in part", "[scheduler]")
{
    addWaitingJob("gang", "red", GangPolicy(), 9, Duration(0));
    decide();
    CHECK(placedCount("gang") == 0);
    CHECK(decision.reasons.at(JobId("gang")) == WaitReason::GangIncomplete);
}

TEST_CASE_METHOD(SchedulerFixture, "Waiting gang keeps batch work off its reserved capacity",
                 "[scheduler]")
{
    view.workers[0].free = OneCore;
    view.workers[1].free = OneCore;
    addWaitingJob("gang", "red", GangPolicy(), 8, Duration(60'000));
    addWaitingJob("batch", "blue", BatchPolicy(), 8, Duration(1000));
    decide();
    CHECK(placedCount("batch") == 0);
    CHECK(decision.reasons.at(JobId("batch")) == WaitReason::BehindReservation);
}

// Guards against gangs that starve because an older one, which can never be placed, is the only one
// that may reserve workers.
TEST_CASE_METHOD(SchedulerFixture, "Gang reserves workers although an older one can't be placed",
                 "[scheduler]")
{
    view.workers[0].free = OneCore;
    view.workers[1].free = OneCore;
    addWaitingJob("hopeless", "red", GangPolicy(), 9, Duration(90'000));
    addWaitingJob("gang", "red", GangPolicy(), 8, Duration(60'000));
    addWaitingJob("batch", "blue", BatchPolicy(), 8, Duration(1000));
    decide();
    CHECK(placedCount("batch") == 0);
    CHECK(decision.reasons.at(JobId("batch")) == WaitReason::BehindReservation);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "Capacity reserved for a gang may be used by work that ends in time",
                 "[scheduler]")
{
    // The gang needs all of both workers; the last task on them ends in 10 s.
    view.workers[0].free = FourCores - OneCore;
    RunningTask task;
    task.task = {JobId("old"), 0};
    task.team = TeamId("blue");
    task.worker = view.workers[0].id;
    task.resources = OneCore;
    task.since = view.now;
    task.expectedEnd = view.now + Duration(10'000);
    view.running.push_back(task);
    addWaitingJob("gang", "red", GangPolicy(), 8, Duration(60'000));
    addWaitingJob("short", "blue", BatchPolicy(), 2, Duration(1000));
    view.waiting.back().runTime = Duration(9000);
    addWaitingJob("long", "blue", BatchPolicy(), 2, Duration(1000));
    view.waiting.back().runTime = Duration(11'000);
    addWaitingJob("unknown", "blue", BatchPolicy(), 2, Duration(1000));
    decide();
    CHECK(placedCount("short") == 2);
    CHECK(placedCount("long") == 0);
    CHECK(placedCount("unknown") == 0);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "Full shard is divided among the teams, and the larger share gets at least half",
                 "[scheduler]")
{
    view.teams[TeamId("red")].share = 3.0;
    addWaitingJob("much", "red", BatchPolicy(), 20, Duration(1000));
    addWaitingJob("more", "blue", BatchPolicy(), 20, Duration(9000));
    decide();
    CHECK(placedCount("much") + placedCount("more") == 8);
    CHECK(placedCount("much") >= 4);
    CHECK(placedCount("more") >= 1);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "Full shard is divided by the teams' shares but for the tasks of one turn",
                 "[scheduler]")
{
    constexpr int TasksPerTurn = 4;
    for (int number = 2; number < 20; ++number)
        view.workers.push_back({WorkerId("w" + std::to_string(number)),
                                RackId("r" + std::to_string(number)), FourCores, FourCores});
    view.teams[TeamId("red")].share = 3.0;
    addWaitingJob("much", "red", BatchPolicy(), 100, Duration(1000));
    addWaitingJob("more", "blue", BatchPolicy(), 100, Duration(9000));
    decide();
    CHECK(placedCount("much") + placedCount("more") == 80);
    CHECK(std::abs(static_cast<int>(placedCount("much")) - 60) <= TasksPerTurn);
}

TEST_CASE_METHOD(SchedulerFixture, "Team stays within its slice", "[scheduler]")
{
    view.teams[TeamId("red")].slice = OneCore.times(3);
    addWaitingJob("batch", "red", BatchPolicy(), 8, Duration(1000));
    decide();
    CHECK(placedCount("batch") == 3);
    CHECK(decision.reasons.at(JobId("batch")) == WaitReason::TeamLimit);
}

TEST_CASE_METHOD(SchedulerFixture,
                 "Urgent task on a full shard checkpoints the batch task that started last",
                 "[scheduler]")
{
    fillWithTasksOf("blue", Duration(1000));
    addWaitingJob("now", "red", BatchPolicy(), 1, Duration(1000));
    view.waiting.back().urgent = true;
    decide();
    REQUIRE(decision.checkpoints.size() == 1);
    // The task that has run for the shortest time loses the least work.
    CHECK(decision.checkpoints.front().index == 0);
}

TEST_CASE_METHOD(SchedulerFixture, "Service replicas spread over racks", "[scheduler]")
{
    addWaitingJob("service", "red", ServicePolicy(), 2, Duration(1000));
    decide();
    REQUIRE(decision.placements.size() == 2);
    CHECK(decision.placements[0].worker != decision.placements[1].worker);
}

TEST_CASE_METHOD(SchedulerFixture, "Borrowed share is reclaimed by checkpoint", "[scheduler]")
{
    fillWithTasksOf("blue", Duration(20'000));
    addWaitingJob("owed", "red", BatchPolicy(), 8, Duration(6000));
    decide();
    REQUIRE(decision.checkpoints.size() == 1);
    CHECK(decision.checkpoints.front().index == 0);

    // Half of the shard is blue's share.
    view.teams[TeamId("blue")].used = OneCore.times(4);
    view.teams[TeamId("red")].used = OneCore.times(4);
    decide();
    CHECK(decision.checkpoints.empty());
}

TEST_CASE_METHOD(SchedulerFixture,
                 "Task that has just started is not checkpointed to restore shares", "[scheduler]")
{
    fillWithTasksOf("blue", Duration(1000));
    addWaitingJob("owed", "red", BatchPolicy(), 8, Duration(6000));
    decide();
    CHECK(decision.checkpoints.empty());
}
