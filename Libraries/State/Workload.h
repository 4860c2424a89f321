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

/** A point of time on the wall, in milliseconds since 1970; it may differ between machines. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/** One step of a job: tasks of one shape that may start once earlier steps are done. */
struct StepSpec
{
    uint32_t taskCount = 0;
    Resources need;
    /** Rough duration of one task; may be far off. */
    Duration estimate{0};
    /** Indices of earlier steps whose tasks must all be done first. */
    std::vector<uint32_t> after;
    /** Tasks save their progress and can resume from it. */
    bool savesProgress = false;
    /** Tasks work only while all of them are present, and end together. */
    bool isGang = false;
    /** Tasks are slower if they run on more than one rack. */
    bool wantsOneRack = false;
    bool mayRunCopies = false;
    /** Tasks run until the job is cancelled and are restarted however they end. */
    bool isService = false;
    /** Tasks use what others leave free and count against no capacity. */
    bool usesLeftover = false;
    /** Label that the worker must have; empty for none. */
    std::string requiredLabel;
    /** Rack that holds the data; empty for none. */
    RackId dataRack;
    /** Tasks of this step that one worker may run at a time; 0 for any number. */
    uint32_t maxPerWorker = 0;
};

/** A job as its submitter described it. */
struct WorkflowSpec
{
    /** Passed to workers as it is. */
    std::string payload;
    std::vector<StepSpec> steps;
    /** How many times the steps run; at least 1. */
    uint32_t occurrences = 1;
    /** When occurrence 0 is due; the epoch for "at once". */
    WallTime firstDue{};
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

/** One life of a worker: the same id may be used again by a later process. */
struct WorkerLife
{
    WorkerId id;
    /** When this life began, by the worker's own clock, in milliseconds since 1970. */
    int64_t bornMs = 0;

    auto operator<=>(const WorkerLife &) const = default;
};

/** How a run of a task ended. */
enum class RunOutcome : uint8_t {
    Done,
    /** Through a fault of the task or of its worker; counts against the attempt limit. */
    Failed,
    Stopped,
    /** The lease ran out. */
    Lapsed,
    /** Another member of its gang ended. */
    GangBroken,
    /** The other members of its gang did not come. */
    GangIncomplete,
    /** The worker ended, or the order provably never took effect. */
    Lost,
};

enum class JobState : uint8_t { Queued, Running, Done, Failed, Cancelled };

struct JobAccepted
{
    JobId job;
    QueueId queue;
    TeamId team;
    /** Name of the pool of workers that runs the job. */
    std::string pool;
    WallTime acceptedAt;
    uint32_t maxAttempts = 1;
    /** The team sends more than it is owed; the job goes behind all others. */
    bool isBeyondShare = false;
    WorkflowSpec spec;
};

struct JobCancelled
{
    JobId job;
};

/** A run was given to a worker; written before the order is sent. */
struct RunAssigned
{
    TaskKey task;
    uint32_t attempt = 0;
    WorkerLife worker;
};

struct RunEnded
{
    TaskKey task;
    uint32_t attempt = 0;
    RunOutcome outcome = RunOutcome::Done;
    /** Latest saved progress; empty for none. */
    std::string checkpoint;
};

/** Progress of one task, as it stands in a snapshot. */
struct TaskProgress
{
    uint32_t lastAttempt = 0;
    uint32_t failures = 0;
    uint32_t lastFailedAttempt = 0;
    bool isDone = false;
    /** True while a run may exist on @c worker. */
    bool isActive = false;
    WorkerLife worker;
    std::string checkpoint;
};

/** Whole state of one job; replaces all earlier records of it. */
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

template <> struct std::hash<Cranberrymount::WorkerLife>
{
    std::size_t operator()(const Cranberrymount::WorkerLife &incarnation) const noexcept
    {
        // Two lives of one worker are rarely known at a time.
        return std::hash<Cranberrymount::WorkerId>()(incarnation.id);
    }
};
