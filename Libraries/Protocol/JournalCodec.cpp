#include "Protocol/JournalCodec.h"

#include "Protocol/ProtocolError.h"

#include <nlohmann/json.hpp>

namespace Cranberrymount {

namespace {

using Json = nlohmann::json;

/** First element of an encoded record; part of the stored format, so values never change. */
enum RecordKind : int { Accepted = 1, Cancelled = 2, Assigned = 3, Ended = 4, Snapshot = 5 };

int64_t toMillis(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime fromMillis(const Json &value)
{
    return WallTime(std::chrono::milliseconds(value.get<int64_t>()));
}

Json toJson(const StepSpec &step)
{
    const int flags = (step.savesProgress ? 1 : 0) | (step.isGang ? 2 : 0)
        | (step.wantsOneRack ? 4 : 0) | (step.mayRunCopies ? 8 : 0) | (step.isService ? 16 : 0)
        | (step.usesLeftover ? 32 : 0);
    return Json::array({step.taskCount, step.need.cpu.value(), step.need.memory.value(),
                        step.need.accelerators.value(), step.estimate.count(), step.after, flags,
                        step.requiredLabel, step.dataRack.value(), step.maxPerWorker});
}

StepSpec stepFrom(const Json &json)
{
    StepSpec step;
    step.taskCount = json.at(0);
    step.need = {CpuMillis(json.at(1)), MemoryMb(json.at(2)), AcceleratorCount(json.at(3))};
    step.estimate = Duration(json.at(4).get<int64_t>());
    step.after = json.at(5).get<std::vector<uint32_t>>();
    const int flags = json.at(6);
    step.savesProgress = flags & 1;
    step.isGang = flags & 2;
    step.wantsOneRack = flags & 4;
    step.mayRunCopies = flags & 8;
    step.isService = flags & 16;
    step.usesLeftover = flags & 32;
    step.requiredLabel = json.at(7);
    step.dataRack = RackId(json.at(8));
    step.maxPerWorker = json.at(9);
    return step;
}

Json toJson(const TaskKey &task)
{
    return Json::array({task.job.value(), task.occurrence, task.step, task.index});
}

TaskKey taskFrom(const Json &json)
{
    return {JobId(json.at(0)), json.at(1), json.at(2), json.at(3)};
}

Json toJson(const JobAccepted &record)
{
    Json steps = Json::array();
    for (const StepSpec &step : record.spec.steps)
        steps.push_back(toJson(step));
    return Json::array({Accepted, record.job.value(), record.queue.value(), record.team.value(),
                        record.pool, toMillis(record.acceptedAt), record.maxAttempts,
                        record.spec.payload, steps, record.spec.occurrences,
                        toMillis(record.spec.firstDue), record.spec.period.count(),
                        record.isBeyondShare});
}

JobAccepted acceptedFrom(const Json &json)
{
    JobAccepted record;
    record.job = JobId(json.at(1));
    record.queue = QueueId(json.at(2));
    record.team = TeamId(json.at(3));
    record.pool = json.at(4);
    record.acceptedAt = fromMillis(json.at(5));
    record.maxAttempts = json.at(6);
    record.spec.payload = json.at(7);
    for (const Json &step : json.at(8))
        record.spec.steps.push_back(stepFrom(step));
    record.spec.occurrences = json.at(9);
    record.spec.firstDue = fromMillis(json.at(10));
    record.spec.period = Duration(json.at(11).get<int64_t>());
    record.isBeyondShare = json.at(12);
    return record;
}

Json toJson(const JobCancelled &record)
{
    return Json::array({Cancelled, record.job.value()});
}

Json toJson(const RunAssigned &record)
{
    return Json::array({Assigned, toJson(record.task), record.attempt, record.worker.id.value(),
                        record.worker.bornMs});
}

Json toJson(const RunEnded &record)
{
    return Json::array({Ended, toJson(record.task), record.attempt,
                        static_cast<int>(record.outcome), record.checkpoint});
}

Json toJson(const TaskProgress &task)
{
    return Json::array({task.lastAttempt, task.failures, task.lastFailedAttempt, task.isDone,
                        task.isActive, task.worker.id.value(), task.worker.bornMs,
                        task.checkpoint});
}

TaskProgress progressFrom(const Json &json)
{
    return {json.at(0), json.at(1), json.at(2),
            json.at(3), json.at(4), {WorkerId(json.at(5)), json.at(6)},
            json.at(7)};
}

Json toJson(const JobSnapshot &record)
{
    Json occurrences = Json::array();
    for (const auto &steps : record.tasks) {
        Json stepList = Json::array();
        for (const auto &tasks : steps) {
            Json taskList = Json::array();
            for (const TaskProgress &task : tasks)
                taskList.push_back(toJson(task));
            stepList.push_back(std::move(taskList));
        }
        occurrences.push_back(std::move(stepList));
    }
    return Json::array({Snapshot, toJson(record.accepted), static_cast<int>(record.state),
                        toMillis(record.endedAt), std::move(occurrences)});
}

JobSnapshot snapshotFrom(const Json &json)
{
    JobSnapshot record;
    record.accepted = acceptedFrom(json.at(1));
    record.state = static_cast<JobState>(json.at(2).get<int>());
    record.endedAt = fromMillis(json.at(3));
    for (const Json &steps : json.at(4)) {
        auto &stepList = record.tasks.emplace_back();
        for (const Json &tasks : steps) {
            auto &taskList = stepList.emplace_back();
            for (const Json &task : tasks)
                taskList.push_back(progressFrom(task));
        }
    }
    return record;
}

JournalRecord recordFrom(const Json &json)
{
    switch (json.at(0).get<int>()) {
    case Accepted:
        return acceptedFrom(json);
    case Cancelled:
        return JobCancelled{JobId(json.at(1))};
    case Assigned:
        return RunAssigned{taskFrom(json.at(1)), json.at(2), {WorkerId(json.at(3)), json.at(4)}};
    case Ended:
        return RunEnded{taskFrom(json.at(1)), json.at(2),
                        static_cast<RunOutcome>(json.at(3).get<int>()), json.at(4)};
    case Snapshot:
        return snapshotFrom(json);
    default:
        throw ProtocolError("the journal holds a record of an unknown kind");
    }
}

} // namespace

std::string encodeJournal(const std::vector<JournalRecord> &records)
{
    Json list = Json::array();
    for (const JournalRecord &record : records)
        list.push_back(std::visit([](const auto &one) { return toJson(one); }, record));
    std::string bytes;
    Json::to_msgpack(list, bytes);
    return bytes;
}

std::vector<JournalRecord> decodeJournal(const std::string &bytes)
{
    try {
        std::vector<JournalRecord> records;
        for (const Json &record : Json::from_msgpack(bytes))
            records.push_back(recordFrom(record));
        return records;
    } catch (const Json::exception &error) {
        throw ProtocolError(std::string("the journal cannot be read: ") + error.what());
    }
}

} // namespace Cranberrymount
