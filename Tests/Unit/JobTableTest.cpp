#include "State/JobTable.h"
#include "Protocol/JournalCodec.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

namespace {

/** A table with one job of two steps: two tasks, then one that needs both. */
class JobTableFixture
{
protected:
    JobTableFixture()
    {
        JobAccepted job;
        job.job = m_job;
        job.queue = QueueId("queue");
        job.team = TeamId("team");
        job.maxAttempts = 2;
        job.spec.steps.resize(2);
        job.spec.steps[0].taskCount = 2;
        job.spec.steps[1].taskCount = 1;
        job.spec.steps[1].after = {0};
        apply(job);
    }

    void apply(const JournalRecord &record)
    {
        m_records.push_back(record);
        m_table.apply(record, m_now);
    }
    void assign(uint32_t step, uint32_t index, uint32_t attempt)
    {
        apply(RunAssigned{{m_job, 0, step, index}, attempt, {WorkerId("w"), 1}});
    }
    void end(uint32_t step, uint32_t index, uint32_t attempt, RunOutcome outcome)
    {
        apply(RunEnded{{m_job, 0, step, index}, attempt, outcome, ""});
    }
    JobState state() const { return m_table.find(m_job)->state; }

    const JobId m_job{"0123456789abcdef"};
    const WallTime m_now{Duration(1000)};
    JobTable m_table;
    std::vector<JournalRecord> m_records;
};

} // namespace

TEST_CASE_METHOD(JobTableFixture,
                 "Cancelled job is no longer open and its active runs are listed for stopping",
                 "[jobtable]")
{
    assign(0, 0, 1);
    apply(JobCancelled{m_job});
    CHECK(m_table.openJobs().empty());
    CHECK(m_table.endedWithActiveRuns().contains(m_job));
    CHECK(m_table.startableSteps(m_now).empty());
}

TEST_CASE_METHOD(JobTableFixture,
                 "Job stays queued until a worker has started a run, also after a lost run",
                 "[jobtable]")
{
    assign(0, 0, 1);
    CHECK(m_table.pendingCount(QueueId("queue")) == 1);
    end(0, 0, 1, RunOutcome::Lost);
    CHECK(m_table.pendingCount(QueueId("queue")) == 1);
    CHECK(state() == JobState::Queued);
    assign(0, 0, 2);
    m_table.markStarted(m_job);
    CHECK(m_table.pendingCount(QueueId("queue")) == 0);
    CHECK(state() == JobState::Running);
}

TEST_CASE_METHOD(JobTableFixture,
                 "Step becomes startable only when all tasks of earlier steps are done",
                 "[jobtable]")
{
    assign(0, 0, 1);
    assign(0, 1, 1);
    end(0, 0, 1, RunOutcome::Done);
    CHECK(m_table.startableSteps(m_now).empty());
    end(0, 1, 1, RunOutcome::Done);
    REQUIRE(m_table.startableSteps(m_now).size() == 1);
    CHECK(m_table.startableSteps(m_now).front().step == 1);
    assign(1, 0, 1);
    end(1, 0, 1, RunOutcome::Done);
    CHECK(state() == JobState::Done);
}

TEST_CASE_METHOD(JobTableFixture, "Only failures count against the attempt limit", "[jobtable]")
{
    uint32_t attempt = 0;
    for (const RunOutcome outcome : {RunOutcome::Lost, RunOutcome::Stopped, RunOutcome::Lapsed,
                                     RunOutcome::Failed, RunOutcome::Lost}) {
        assign(0, 0, ++attempt);
        end(0, 0, attempt, outcome);
    }
    CHECK(state() == JobState::Running);
    assign(0, 0, ++attempt);
    end(0, 0, attempt, RunOutcome::Failed);
    CHECK(state() == JobState::Failed);
}

TEST_CASE_METHOD(JobTableFixture, "End of a superseded attempt changes nothing", "[jobtable]")
{
    assign(0, 0, 1);
    end(0, 0, 1, RunOutcome::Lost);
    assign(0, 0, 2);
    end(0, 0, 1, RunOutcome::Done);
    CHECK(m_table.findTask({m_job, 0, 0, 0})->isActive);
    CHECK_FALSE(m_table.findTask({m_job, 0, 0, 0})->isDone);
}

// Guards against a task that is started again after its end, whose assignment could not be read.
TEST_CASE_METHOD(JobTableFixture, "End counts if the assignment of its attempt is missing",
                 "[jobtable]")
{
    const bool isEarlierAttemptActive = GENERATE(false, true);
    if (isEarlierAttemptActive)
        assign(0, 0, 1);
    end(0, 0, 2, RunOutcome::Done);
    const TaskProgress &task = *m_table.findTask({m_job, 0, 0, 0});
    CHECK(task.isDone);
    CHECK_FALSE(task.isActive);
    CHECK(task.lastAttempt == 2);
    CHECK(m_table.find(m_job)->activeRuns == 0);
    CHECK(m_table.findStep({m_job, 0, 0})->waitingCount() == 1);
}

// Guards against a run that nobody counts, because the end of the attempt before could not be read.
TEST_CASE_METHOD(JobTableFixture, "Assignment counts if the end of the attempt before is missing",
                 "[jobtable]")
{
    assign(0, 0, 1);
    apply(RunAssigned{{m_job, 0, 0, 0}, 2, {WorkerId("other"), 1}});
    const TaskProgress &task = *m_table.findTask({m_job, 0, 0, 0});
    CHECK(task.isActive);
    CHECK(task.lastAttempt == 2);
    CHECK(task.worker.id == WorkerId("other"));
    CHECK(m_table.find(m_job)->activeRuns == 1);
    end(0, 0, 2, RunOutcome::Lost);
    CHECK(m_table.find(m_job)->activeRuns == 0);
}

TEST_CASE_METHOD(JobTableFixture,
                 "Replaying a snapshot gives the same table as replaying the whole journal",
                 "[jobtable]")
{
    assign(0, 0, 1);
    assign(0, 1, 1);
    end(0, 0, 1, RunOutcome::Failed);
    assign(0, 0, 2);
    end(0, 1, 1, RunOutcome::Done);
    JobTable replayed;
    for (const JournalRecord &record : decodeJournal(encodeJournal(m_records)))
        replayed.apply(record, m_now);
    JobTable restored;
    const JobSnapshot snapshot = m_table.snapshot(*m_table.find(m_job));
    for (const JournalRecord &record : decodeJournal(encodeJournal({snapshot})))
        restored.apply(record, m_now);
    for (const JobTable *table : {&replayed, &restored}) {
        const std::string expected = encodeJournal({snapshot});
        CHECK(encodeJournal({table->snapshot(*table->find(m_job))}) == expected);
        CHECK(table->find(m_job)->activeRuns == 1);
        CHECK(table->pendingCount(QueueId("queue")) == 0);
    }
}

TEST_CASE("Success of one gang member completes the gang, and failures count once per attempt",
          "[jobtable]")
{
    JobTable table;
    JobAccepted job;
    job.job = JobId("0123456789abcdef");
    job.maxAttempts = 2;
    job.spec.steps.resize(1);
    job.spec.steps[0].taskCount = 3;
    job.spec.steps[0].isGang = true;
    const WallTime now{Duration(1)};
    table.apply(job, now);
    const auto assignAll = [&](uint32_t attempt) {
        for (uint32_t index = 0; index < 3; ++index)
            table.apply(RunAssigned{{job.job, 0, 0, index}, attempt, {WorkerId("w"), 1}}, now);
    };
    assignAll(1);
    table.apply(RunEnded{{job.job, 0, 0, 0}, 1, RunOutcome::Failed, ""}, now);
    table.apply(RunEnded{{job.job, 0, 0, 1}, 1, RunOutcome::Failed, ""}, now);
    table.apply(RunEnded{{job.job, 0, 0, 2}, 1, RunOutcome::GangBroken, ""}, now);
    CHECK(table.find(job.job)->state == JobState::Running);
    assignAll(2);
    table.apply(RunEnded{{job.job, 0, 0, 1}, 2, RunOutcome::Done, ""}, now);
    CHECK(table.find(job.job)->state == JobState::Done);
    CHECK(table.find(job.job)->activeRuns == 0);
}

TEST_CASE("Occurrence becomes startable only when it is due", "[jobtable]")
{
    JobTable table;
    JobAccepted job;
    job.job = JobId("0123456789abcdef");
    job.spec.steps.resize(1);
    job.spec.steps[0].taskCount = 1;
    job.spec.occurrences = 3;
    job.spec.firstDue = WallTime(Duration(10'000));
    job.spec.period = Duration(1000);
    table.apply(job, WallTime(Duration(1)));
    CHECK(table.startableSteps(WallTime(Duration(9'999))).empty());
    CHECK(table.startableSteps(WallTime(Duration(10'000))).size() == 1);
    CHECK(table.startableSteps(WallTime(Duration(12'000))).size() == 3);
}
