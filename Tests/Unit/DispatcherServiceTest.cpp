#include "DispatcherFixture.h"

using namespace Cranberrymount;

// Guards against service tasks that wait for ever for other services, because their job is old.
TEST_CASE_METHOD(DispatcherFixture,
                 "Ended service task starts in a pool of which other services use 85%",
                 "[dispatcher][service]")
{
    const JobId job = addServiceWithEndedTask();
    CHECK(startsOf(decide(), job) == 1);
}

// Guards against the same for a team that submits more than its share.
TEST_CASE_METHOD(DispatcherFixture,
                 "Ended service task over its team's share starts in a pool that is 85% used",
                 "[dispatcher][service]")
{
    const JobId job = addServiceWithEndedTask();
    m_jobs.find(job)->accepted.isOverFairShare = true;
    CHECK(startsOf(decide(), job) == 1);
}

// Guards against the same on a leader that knows the task only from a snapshot in the journal.
TEST_CASE_METHOD(DispatcherFixture,
                 "Ended service task starts in a pool that is 85% used after a change of leader",
                 "[dispatcher][service]")
{
    const JobId job = addServiceWithEndedTask();
    const JobSnapshot snapshot = m_jobs.snapshot(*m_jobs.find(job));
    m_jobs = JobTable();
    m_jobs.apply(snapshot, m_now);
    CHECK(startsOf(decide(), job) == 1);
}

// Guards against the same for a service whose first start found no room in time.
TEST_CASE_METHOD(DispatcherFixture,
                 "Service task that has never run starts in a pool that is 85% used, however old",
                 "[dispatcher][service]")
{
    addServiceWithEndedTask();
    const JobId inShare = addService(1);
    const JobId overShare = addService(1, false, true);
    CHECK(startsOf(decide(), inShare) == 1);
    CHECK(startsOf(decide(), overShare) == 0);
    for (const Duration wait : {Duration(9'000), Duration(60'000)}) {
        m_now += wait;
        const DispatchResult result = decide();
        CHECK(startsOf(result, inShare) == 1);
        CHECK(startsOf(result, overShare) == 1);
    }
}

// Guards against gangs whose reservations keep an ended service task waiting.
TEST_CASE_METHOD(DispatcherFixture,
                 "Ended service task starts on a worker that a gang has reserved",
                 "[dispatcher][service]")
{
    const JobId job = addServiceWithEndedTask();
    const JobId otherJob("x");
    for (std::size_t worker = 0; worker < 9; ++worker)
        m_workers[worker].allocations.push_back(
            {&otherJob, 0, 0, m_workers[worker].used, m_instant + Duration(300)});
    addJob("lookup", 10, 16'000, Duration(500), true);
    CHECK(startsOf(decide(), job) == 1);
}

// Guards against a gang that runs until it is cancelled and is never restarted.
TEST_CASE_METHOD(DispatcherFixture, "Ended gang of a service starts in a pool that is 85% used",
                 "[dispatcher][service]")
{
    addServiceWithEndedTask();
    // Takes the place of the late gang that has waited longest, which may use all of the pool.
    addJob("batch", 10, 16'000, Duration(30'000), true);
    m_now += Duration(60'000);
    const JobId gang = addService(2, true);
    m_jobs.apply(RunAssigned{{gang, 0, 0, 0}, 1, m_infos[0].incarnation}, m_now);
    m_jobs.apply(RunAssigned{{gang, 0, 0, 1}, 1, m_infos[0].incarnation}, m_now);
    m_now += Duration(60'000);
    m_jobs.apply(RunEnded{{gang, 0, 0, 0}, 1, RunOutcome::Failed, ""}, m_now);
    m_jobs.apply(RunEnded{{gang, 0, 0, 1}, 1, RunOutcome::GangBroken, ""}, m_now);
    CHECK(startsOf(decide(), gang) == 2);
}

// Guards against a service that is restarted as if it had waited since its job was accepted.
TEST_CASE_METHOD(DispatcherFixture, "Ended service task is due from its end",
                 "[dispatcher][service]")
{
    const JobId job = addServiceWithEndedTask();
    const StepKey step{job, 0, 0};
    const QueueSettings &queue = *m_configuration.findQueue(QueueId("batch"));
    const StepUrgency ended = Dispatcher::urgencyOf(*m_jobs.find(job), step, queue, m_now);
    CHECK(ended.slack > Duration(0));
    m_now += queue.startTarget;
    const StepUrgency late = Dispatcher::urgencyOf(*m_jobs.find(job), step, queue, m_now);
    CHECK(late.slack < Duration(0));
    CHECK(late.urgencyClass == StepUrgency::Immediate);
}

// Guards against waiting services that the load line leaves out since other tasks of theirs run.
TEST_CASE_METHOD(DispatcherFixture,
                 "Waiting tasks of a service are counted by the time since their end",
                 "[dispatcher][service]")
{
    addWorkers(1, 8'000);
    const JobId job = addService(2);
    runService(job, 0, Duration(60'000), RunOutcome::Failed);
    m_jobs.apply(RunAssigned{{job, 0, 0, 1}, 1, m_infos[0].incarnation}, m_now);
    m_workers[0].used = m_workers[0].info->capacity;
    CHECK(decide().waiting.olderThan3s == 0);
    m_now += Duration(4000);
    CHECK(decide().waiting.olderThan3s == 1);
    CHECK(decide().waiting.olderThan10s == 0);
}

// Guards against a service task that is sent again and again to a worker that refuses it.
TEST_CASE_METHOD(DispatcherFixture, "Refused service task starts on another worker next",
                 "[dispatcher][service]")
{
    addWorkers(3, 16'000);
    const JobId job = addService(1);
    const DispatchResult first = decide();
    REQUIRE(first.starts.size() == 1);
    const std::size_t refusing = first.starts[0].worker;
    const WorkerIncarnation &incarnation = m_infos[refusing].incarnation;
    m_jobs.apply(RunAssigned{{job, 0, 0, 0}, 1, incarnation}, m_now);
    m_jobs.apply(RunEnded{{job, 0, 0, 0}, 1, RunOutcome::Lost, ""}, m_now);
    const DispatchResult second = decide();
    REQUIRE(second.starts.size() == 1);
    CHECK(second.starts[0].worker != refusing);
}
