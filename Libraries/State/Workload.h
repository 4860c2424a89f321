#pragma once

#include "State/Ids.h"
#include "State/Resources.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** Wall-clock time in milliseconds since 1970; the clocks of different machines may differ. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** One step of a job: tasks of the same size that may start once earlier steps are done. */
struct StepSpec
{
    uint32_t taskCount = 0;
    /** Resources that one task needs. */
    Resources need;
    /** The submitter's estimate of the duration of one task; may be far off. */
    Duration estimate{0};
    /** Indexes of earlier steps whose tasks must all be done first. */
    std::vector<uint32_t> after;
    /** Tasks save their progress and can resume from a checkpoint. */
    bool savesProgress = false;
    /** Tasks form a gang: they progress only while all of them run, and end together. */
    bool isGang = false;
    /** Tasks are slower if they run on more than one rack. */
    bool wantsOneRack = false;
    /** A second copy of a running task may be started speculatively; the scheduler starts none. */
    bool mayRunCopies = false;
    /** Tasks run until the job is cancelled and are restarted whenever they end. */
    bool isService = false;
    /** Tasks use only leftover capacity and do not count against any capacity.
     * FIXME: The scheduler ignores this and treats the tasks like all others. */
    bool usesLeftoverCapacity = false;
    /** Label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** Rack that holds the tasks' data; empty for none. */
    RackId dataRack;
    /** Limit on tasks of this step that one worker runs at a time; 0 for no limit. */
    uint32_t maxPerWorker = 0;
};

/** The steps of a job as its submitter described them, and when they run. */
struct WorkflowSpec
{
    /** Passed to workers unchanged. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How many times the steps run; at least 1. */
    uint32_t occurrences = 1;
    /** When occurrence 0 is due; the Unix epoch for "at once". */
    WallTime firstDue{};
    /** Time from the due time of one occurrence to that of the next. */
    Duration period{0};
};

/** One task of one occurrence of a job. */
struct TaskKey
{
    JobId job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskKey &) const = default;
};

/** One incarnation of a worker: a later process may use the same id again. */
struct WorkerIncarnation
{
    WorkerId id;
    /** When this incarnation started, by the worker's own clock, in milliseconds since 1970. */
    int64_t startedAtMs = 0;

    auto operator<=>(const WorkerIncarnation &) const = default;
};

/** How a run of a task ended. */
enum class RunOutcome : uint8_t {
    Done,
    /** A fault of the task or of its worker ended the run; counts against the attempt limit. */
    Failed,
    Stopped,
    /** The lease expired. */
    Lapsed,
    /** Another member of its gang ended. */
    GangBroken,
    /** The other members of its gang did not start. */
    GangIncomplete,
    /** The worker ended, or the start command provably never took effect. */
    Lost,
};

enum class JobState : uint8_t { Queued, Running, Done, Failed, Cancelled };

/** A job was accepted; written before the submitter gets its response. */
struct JobAccepted
{
    JobId job;
    QueueId queue;
    TeamId team;
    /** Name of the pool of workers that runs the job. */
    std::string pool;
    WallTime acceptedAt;
    uint32_t maxAttempts = 1;
    /** The team submits over its fair share; the job is placed after all others. */
    bool isOverFairShare = false;
    WorkflowSpec spec;
};

/** A job was cancelled. */
struct JobCancelled
{
    JobId job;
};

/** A run was assigned to a worker; written before the start command is sent. */
struct RunAssigned
{
    TaskKey task;
    uint32_t attempt = 0;
    WorkerIncarnation worker;
};

/** A run ended. */
struct RunEnded
{
    TaskKey task;
    uint32_t attempt = 0;
    RunOutcome outcome = RunOutcome::Done;
    /** The task's latest checkpoint; empty for none. */
    std::string checkpoint;
};

/** Progress of one task, as a snapshot records it. */
struct TaskProgress
{
    uint32_t lastAttempt = 0;
    uint32_t failures = 0;
    uint32_t lastFailedAttempt = 0;
    bool isDone = false;
    /** True while a run may exist on @c worker. */
    bool isActive = false;
    WorkerIncarnation worker;
    std::string checkpoint;
    /** When the end of the last run was applied; not recorded, so a new leader knows only the time
     * at which it read the end, and the epoch after a snapshot. */
    WallTime endedAt{};
};

/** The whole state of one job; replaces all earlier records of the job. */
struct JobSnapshot
{
    JobAccepted accepted;
    JobState state = JobState::Queued;
    WallTime endedAt{};
    /** By occurrence, then step, then index. */
    std::vector<std::vector<std::vector<TaskProgress>>> tasks;
};

/** One entry of the journal. */
using JournalRecord = std::variant<JobAccepted, JobCancelled, RunAssigned, RunEnded, JobSnapshot>;

} // namespace Cranberrymount

template <> struct std::hash<Cranberrymount::WorkerIncarnation>
{
    std::size_t operator()(const Cranberrymount::WorkerIncarnation &incarnation) const noexcept
    {
        // Two incarnations of one worker are rarely known at a time, so hashing the id alone
        // causes few collisions.
        return std::hash<Cranberrymount::WorkerId>()(incarnation.id);
    }
};
