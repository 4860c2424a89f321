#include "Protocol/JournalCodec.h"

#include "Protocol/Generated/Journal_generated.h"
#include "Protocol/ProtocolError.h"

#include <zstd.h>

#include <algorithm>

namespace Cranberrymount {

namespace {

namespace Wire = JournalWire;
using Builder = flatbuffers::FlatBufferBuilder;
template <typename T> using Offset = flatbuffers::Offset<T>;

/** Limits of the FlatBuffers verifier for one segment: levels of nesting and number of tables. */
constexpr flatbuffers::uoffset_t MaxVerifierDepth = 64;
constexpr flatbuffers::uoffset_t MaxVerifierTables = 10'000'000;
constexpr int CompressionLevel = 1;
/** Limit on the size of a segment when it is decompressed. */
constexpr unsigned long long MaxSegmentBytes = 16ULL * 1024 * 1024;
/** Limit on the tasks, and on the steps, of all occurrences of a job; ten times what is accepted.
 */
constexpr uint64_t MaxTasksPerJob = 1'000'000;

int64_t toMillis(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime toWallTime(int64_t millis)
{
    return WallTime(Duration(millis));
}

std::string text(const flatbuffers::String *string)
{
    return string ? string->str() : std::string();
}

/** @return the value @p wire of an enumeration. @throws ProtocolError if it is above @p last. */
template <typename Value> Value unpackValue(uint8_t wire, Value last)
{
    if (wire > static_cast<uint8_t>(last))
        throw ProtocolError("journal record has an unknown outcome or state");
    return static_cast<Value>(wire);
}

/** @throws ProtocolError if a step waits for one that does not precede it, or the job is too large
 * to be kept. */
void checkSpec(const WorkflowSpec &spec)
{
    uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const StepSpec &step = spec.steps[index];
        tasks += step.taskCount;
        if (std::ranges::any_of(step.after, [index](uint32_t earlier) { return earlier >= index; }))
            throw ProtocolError("journal record has a step that waits for a later one");
    }
    const uint64_t largest = std::max<uint64_t>({tasks, spec.steps.size(), 1});
    if (largest > MaxTasksPerJob || spec.occurrences > MaxTasksPerJob / largest)
        throw ProtocolError("journal record has a job of too many tasks");
}

/** @throws ProtocolError if the snapshot's tasks are not those of its job. */
void checkSnapshot(const JobSnapshot &record)
{
    const std::vector<StepSpec> &steps = record.accepted.spec.steps;
    for (const auto &occurrence : record.tasks) {
        const auto hasCount = [](const auto &tasks, const StepSpec &step) {
            return tasks.size() == step.taskCount;
        };
        if (!std::ranges::equal(occurrence, steps, hasCount))
            throw ProtocolError("journal snapshot does not have the tasks of its job");
    }
}

/** Stores a string that recurs within a segment, such as an id, once; leaves out an empty one. */
Offset<flatbuffers::String> sharedString(Builder &builder, const std::string &string)
{
    return string.empty() ? Offset<flatbuffers::String>() : builder.CreateSharedString(string);
}

Offset<Wire::Step> packStep(Builder &builder, const StepSpec &step)
{
    const auto after = step.after.empty() ? Offset<flatbuffers::Vector<uint32_t>>()
                                          : builder.CreateVector(step.after);
    const auto label = sharedString(builder, step.requiredLabel);
    const auto rack = sharedString(builder, step.dataRack.value());
    return Wire::CreateStep(builder, step.taskCount, step.need.cpu.value(),
                            step.need.memory.value(), step.need.accelerators.value(),
                            step.estimate.count(), after, step.savesProgress, step.isGang,
                            step.wantsOneRack, step.mayRunCopies, step.isService,
                            step.usesLeftoverCapacity, label, rack, step.maxPerWorker);
}

StepSpec unpackStep(const Wire::Step &wire)
{
    StepSpec step;
    step.taskCount = wire.task_count();
    step.need = {CpuMillis(wire.cpu()), MemoryMb(wire.memory()),
                 AcceleratorCount(wire.accelerators())};
    step.estimate = Duration(wire.estimate_ms());
    if (wire.after())
        step.after.assign(wire.after()->begin(), wire.after()->end());
    step.savesProgress = wire.saves_progress();
    step.isGang = wire.is_gang();
    step.wantsOneRack = wire.wants_one_rack();
    step.mayRunCopies = wire.may_run_copies();
    step.isService = wire.is_service();
    step.usesLeftoverCapacity = wire.uses_leftover();
    step.requiredLabel = text(wire.required_label());
    step.dataRack = RackId(text(wire.data_rack()));
    step.maxPerWorker = wire.max_per_worker();
    return step;
}

Offset<Wire::Accepted> packAccepted(Builder &builder, const JobAccepted &record)
{
    std::vector<Offset<Wire::Step>> steps;
    steps.reserve(record.spec.steps.size());
    for (const StepSpec &step : record.spec.steps)
        steps.push_back(packStep(builder, step));
    const auto job = sharedString(builder, record.job.value());
    const auto queue = sharedString(builder, record.queue.value());
    const auto team = sharedString(builder, record.team.value());
    const auto pool = sharedString(builder, record.pool);
    const auto payload = builder.CreateString(record.spec.payload);
    return Wire::CreateAccepted(builder, job, queue, team, pool, toMillis(record.acceptedAt),
                                record.maxAttempts, record.isOverFairShare, payload,
                                builder.CreateVector(steps), record.spec.occurrences,
                                toMillis(record.spec.firstDue), record.spec.period.count());
}

JobAccepted unpackRecord(const Wire::Accepted &wire)
{
    JobAccepted record;
    record.job = JobId(text(wire.job()));
    record.queue = QueueId(text(wire.queue()));
    record.team = TeamId(text(wire.team()));
    record.pool = text(wire.pool());
    record.acceptedAt = toWallTime(wire.accepted_at_ms());
    record.maxAttempts = wire.max_attempts();
    record.isOverFairShare = wire.is_beyond_share();
    record.spec.payload = text(wire.payload());
    if (wire.steps()) {
        for (const auto *step : *wire.steps())
            record.spec.steps.push_back(unpackStep(*step));
    }
    record.spec.occurrences = wire.occurrences();
    record.spec.firstDue = toWallTime(wire.first_due_ms());
    record.spec.period = Duration(wire.period_ms());
    checkSpec(record.spec);
    return record;
}

Offset<void> packRecord(Builder &builder, const JobAccepted &record)
{
    return packAccepted(builder, record).Union();
}

Offset<void> packRecord(Builder &builder, const JobCancelled &record)
{
    return Wire::CreateCancelled(builder, sharedString(builder, record.job.value())).Union();
}

Offset<void> packRecord(Builder &builder, const RunAssigned &record)
{
    const auto job = sharedString(builder, record.task.job.value());
    const auto worker = sharedString(builder, record.worker.id.value());
    return Wire::CreateAssigned(builder, job, record.task.occurrence, record.task.step,
                                record.task.index, record.attempt, worker,
                                record.worker.startedAtMs)
        .Union();
}

Offset<void> packRecord(Builder &builder, const RunEnded &record)
{
    const auto job = sharedString(builder, record.task.job.value());
    const auto checkpoint = sharedString(builder, record.checkpoint);
    return Wire::CreateEnded(builder, job, record.task.occurrence, record.task.step,
                             record.task.index, record.attempt,
                             static_cast<uint8_t>(record.outcome), checkpoint)
        .Union();
}

Offset<Wire::Progress> packProgress(Builder &builder, const TaskProgress &task)
{
    const auto worker = sharedString(builder, task.worker.id.value());
    const auto checkpoint = sharedString(builder, task.checkpoint);
    return Wire::CreateProgress(builder, task.lastAttempt, task.failures, task.lastFailedAttempt,
                                task.isDone, task.isActive, worker, task.worker.startedAtMs,
                                checkpoint);
}

Offset<void> packRecord(Builder &builder, const JobSnapshot &record)
{
    std::vector<Offset<Wire::OccurrenceProgress>> occurrences;
    occurrences.reserve(record.tasks.size());
    for (const auto &occurrence : record.tasks) {
        std::vector<Offset<Wire::StepProgress>> steps;
        steps.reserve(occurrence.size());
        for (const auto &step : occurrence) {
            std::vector<Offset<Wire::Progress>> tasks;
            tasks.reserve(step.size());
            for (const TaskProgress &task : step)
                tasks.push_back(packProgress(builder, task));
            steps.push_back(Wire::CreateStepProgress(builder, builder.CreateVector(tasks)));
        }
        occurrences.push_back(Wire::CreateOccurrenceProgress(builder, builder.CreateVector(steps)));
    }
    const auto accepted = packAccepted(builder, record.accepted);
    return Wire::CreateSnapshot(builder, accepted, static_cast<uint8_t>(record.state),
                                toMillis(record.endedAt), builder.CreateVector(occurrences))
        .Union();
}

JournalRecord unpackRecord(const Wire::Assigned &wire)
{
    return RunAssigned{{JobId(text(wire.job())), wire.occurrence(), wire.step(), wire.index()},
                       wire.attempt(),
                       {WorkerId(text(wire.worker())), wire.born_ms()}};
}

JournalRecord unpackRecord(const Wire::Ended &wire)
{
    return RunEnded{{JobId(text(wire.job())), wire.occurrence(), wire.step(), wire.index()},
                    wire.attempt(),
                    unpackValue(wire.outcome(), RunOutcome::Lost),
                    text(wire.checkpoint())};
}

JournalRecord unpackRecord(const Wire::Snapshot &wire)
{
    JobSnapshot record;
    if (!wire.accepted() || !wire.occurrences())
        throw ProtocolError("journal snapshot has no job or no occurrences");
    record.accepted = unpackRecord(*wire.accepted());
    record.state = unpackValue(wire.state(), JobState::Cancelled);
    record.endedAt = toWallTime(wire.ended_at_ms());
    for (const auto *occurrence : *wire.occurrences()) {
        if (!occurrence->steps())
            throw ProtocolError("journal snapshot has an occurrence without steps");
        auto &steps = record.tasks.emplace_back();
        for (const auto *step : *occurrence->steps()) {
            if (!step->tasks())
                throw ProtocolError("journal snapshot has a step without tasks");
            auto &tasks = steps.emplace_back();
            for (const auto *task : *step->tasks())
                tasks.push_back({task->last_attempt(),
                                 task->failures(),
                                 task->last_failed_attempt(),
                                 task->is_done(),
                                 task->is_active(),
                                 {WorkerId(text(task->worker())), task->born_ms()},
                                 text(task->checkpoint())});
        }
    }
    checkSnapshot(record);
    return record;
}

JournalRecord unpackEntry(const Wire::Entry &entry)
{
    // The verifier accepts a type without its record.
    if (!entry.record())
        throw ProtocolError("journal entry has no record");
    switch (entry.record_type()) {
    case Wire::Record::Accepted:
        return unpackRecord(*entry.record_as_Accepted());
    case Wire::Record::Cancelled:
        return JobCancelled{JobId(text(entry.record_as_Cancelled()->job()))};
    case Wire::Record::Assigned:
        return unpackRecord(*entry.record_as_Assigned());
    case Wire::Record::Ended:
        return unpackRecord(*entry.record_as_Ended());
    case Wire::Record::Snapshot:
        return unpackRecord(*entry.record_as_Snapshot());
    case Wire::Record::NONE:
        break;
    }
    throw ProtocolError("journal record has an unknown type");
}

/** The union in the schema lists its members in the order of @c JournalRecord, after NONE. */
Wire::Record unionTypeOf(const JournalRecord &record)
{
    return static_cast<Wire::Record>(record.index() + 1);
}

std::string encode(const std::vector<JournalRecord> &records, Revision claim, uint64_t floor)
{
    Builder builder;
    std::vector<Offset<Wire::Entry>> entries;
    entries.reserve(records.size());
    for (const JournalRecord &record : records) {
        const auto packed = std::visit(
            [&builder](const auto &alternative) { return packRecord(builder, alternative); },
            record);
        entries.push_back(Wire::CreateEntry(builder, unionTypeOf(record), packed));
    }
    builder.Finish(
        Wire::CreateSegment(builder, builder.CreateVector(entries), claim.value(), floor));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

JournalSegment decode(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), MaxVerifierDepth, MaxVerifierTables);
    if (!Wire::VerifySegmentBuffer(verifier))
        throw ProtocolError("journal segment is not a well-formed FlatBuffer");
    const Wire::Segment *wire = Wire::GetSegment(data);
    JournalSegment segment{{}, Revision(wire->claim()), wire->floor()};
    const auto *entries = wire->entries();
    if (!entries)
        return segment;
    segment.records.reserve(entries->size());
    for (const auto *entry : *entries)
        segment.records.push_back(unpackEntry(*entry));
    return segment;
}

} // namespace

std::string encodeJournal(const std::vector<JournalRecord> &records)
{
    return encode(records, {}, 0);
}

std::vector<JournalRecord> decodeJournal(const std::string &bytes)
{
    return decode(bytes).records;
}

std::string encodeSegment(const JournalSegment &segment)
{
    std::string bytes = encode(segment.records, segment.claim, segment.floor);
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), bytes.data(),
                                           bytes.size(), CompressionLevel);
    // Readers accept uncompressed segments.
    if (ZSTD_isError(size))
        return bytes;
    compressed.resize(size);
    return compressed;
}

JournalSegment decodeSegment(const std::string &bytes)
{
    const unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR)
        return decode(bytes);
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size > MaxSegmentBytes)
        throw ProtocolError("journal segment is too large or names no size");
    std::string decompressed(size, '\0');
    if (ZSTD_decompress(decompressed.data(), decompressed.size(), bytes.data(), bytes.size())
        != size)
        throw ProtocolError("journal segment cannot be decompressed");
    return decode(decompressed);
}

} // namespace Cranberrymount
