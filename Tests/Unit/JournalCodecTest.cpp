#include "Protocol/JournalCodec.h"
#include "Protocol/Generated/Journal_generated.h"
#include "Protocol/ProtocolError.h"
#include "State/JobTable.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace Cranberrymount;

namespace {

namespace Wire = JournalWire;
using Builder = flatbuffers::FlatBufferBuilder;

constexpr uint8_t UnknownValue = 200;

/** @return a segment of one entry. */
std::string segmentOf(Builder &builder, Wire::Record type, flatbuffers::Offset<void> record)
{
    const std::vector<flatbuffers::Offset<Wire::Entry>> entries{
        Wire::CreateEntry(builder, type, record)};
    builder.Finish(Wire::CreateSegmentDirect(builder, &entries));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/** A job of two steps, the second of which waits for the first. */
JobAccepted sampleJob()
{
    JobAccepted job;
    job.job = JobId("0123456789abcdef");
    job.queue = QueueId("queue");
    job.spec.steps.resize(2);
    job.spec.steps[0].taskCount = 3;
    job.spec.steps[1].taskCount = 1;
    job.spec.steps[1].after = {0};
    return job;
}

JobSnapshot sampleSnapshot()
{
    return {sampleJob(), JobState::Running, {}, {{std::vector<TaskProgress>(3), {TaskProgress()}}}};
}

std::vector<JournalRecord> sampleRecords()
{
    const TaskKey task{sampleJob().job, 0, 0, 1};
    return {sampleJob(), RunAssigned{task, 1, {WorkerId("worker"), 5}},
            RunEnded{task, 1, RunOutcome::Failed, "checkpoint"}, sampleSnapshot(),
            JobCancelled{sampleJob().job}};
}

} // namespace

// Guards against a crash of each new leader over a segment whose optional fields are missing.
TEST_CASE("Journal segment that lacks a record, steps or tasks is refused", "[journalcodec]")
{
    Builder builder;
    const auto type = GENERATE(Wire::Record::Accepted, Wire::Record::Cancelled,
                               Wire::Record::Assigned, Wire::Record::Ended, Wire::Record::Snapshot);
    CHECK_THROWS_AS(decodeJournal(segmentOf(builder, type, 0)), ProtocolError);
    const bool hasSteps = GENERATE(false, true);
    Builder snapshot;
    const auto step = Wire::CreateStepProgress(snapshot);
    const auto steps = snapshot.CreateVector(&step, 1);
    const auto occurrence = hasSteps ? Wire::CreateOccurrenceProgress(snapshot, steps)
                                     : Wire::CreateOccurrenceProgress(snapshot);
    const auto record = Wire::CreateSnapshot(snapshot, Wire::CreateAccepted(snapshot), 0, 0,
                                             snapshot.CreateVector(&occurrence, 1));
    CHECK_THROWS_AS(decodeJournal(segmentOf(snapshot, Wire::Record::Snapshot, record.Union())),
                    ProtocolError);
}

// Guards against outcomes and states that no code expects.
TEST_CASE("Journal record with an unknown outcome or state is refused", "[journalcodec]")
{
    Builder ended;
    const auto end = Wire::CreateEnded(ended, 0, 0, 0, 0, 1, UnknownValue);
    CHECK_THROWS_AS(decodeJournal(segmentOf(ended, Wire::Record::Ended, end.Union())),
                    ProtocolError);
    Builder snapshot;
    const std::vector<flatbuffers::Offset<Wire::OccurrenceProgress>> none;
    const auto record = Wire::CreateSnapshot(snapshot, Wire::CreateAccepted(snapshot), UnknownValue,
                                             0, snapshot.CreateVector(none));
    CHECK_THROWS_AS(decodeJournal(segmentOf(snapshot, Wire::Record::Snapshot, record.Union())),
                    ProtocolError);
}

// Guards against a leader that ends for lack of memory or reads beyond a job's steps.
TEST_CASE("Journal record of a job that cannot exist is refused", "[journalcodec]")
{
    JobAccepted job = sampleJob();
    SECTION("too many tasks")
    {
        job.spec.steps[0].taskCount = UINT32_MAX;
    }
    SECTION("too many occurrences")
    {
        job.spec.occurrences = UINT32_MAX;
    }
    SECTION("a step that waits for itself")
    {
        job.spec.steps[1].after = {1};
    }
    SECTION("a step that waits for one that is missing")
    {
        job.spec.steps[0].after = {7};
    }
    CHECK_THROWS_AS(decodeJournal(encodeJournal({job})), ProtocolError);
}

// Guards against reads beyond the steps and tasks that a snapshot names.
TEST_CASE("Journal snapshot that does not fit its job is refused", "[journalcodec]")
{
    JobSnapshot snapshot = sampleSnapshot();
    CHECK_NOTHROW(decodeJournal(encodeJournal({snapshot})));
    SECTION("a step is missing")
    {
        snapshot.tasks[0].pop_back();
    }
    SECTION("a step too many")
    {
        snapshot.tasks[0].emplace_back();
    }
    SECTION("a task is missing")
    {
        snapshot.tasks[0][0].pop_back();
    }
    CHECK_THROWS_AS(decodeJournal(encodeJournal({snapshot})), ProtocolError);
}

// Guards against a process that a damaged segment ends.
TEST_CASE("Damaged journal segment is refused or read, and can be applied", "[journalcodec]")
{
    constexpr int Cases = 20'000;
    const std::string plain = encodeJournal(sampleRecords());
    const std::string stored = encodeSegment({sampleRecords(), Revision(3), 2});
    pcg32 random(7);
    int refused = 0;
    for (int count = 0; count < Cases; ++count) {
        std::string bytes = count % 2 == 0 ? plain : stored;
        for (uint32_t changes = 1 + random(3); changes > 0; --changes)
            bytes[random(static_cast<uint32_t>(bytes.size()))] = static_cast<char>(random(256));
        if (random(4) == 0)
            bytes.resize(random(static_cast<uint32_t>(bytes.size())));
        try {
            JobTable table;
            for (const JournalRecord &record : decodeSegment(bytes).records)
                table.apply(record, WallTime());
        } catch (const ProtocolError &) {
            ++refused;
        }
    }
    CHECK(refused > Cases / 10);
    CHECK(refused < Cases);
}
