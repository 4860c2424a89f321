#pragma once

#include "State/Job.h"
#include "State/Time.h"
#include "State/Worker.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cranberrymount {

/** The capacity of one worker that a scheduler may use. */
struct WorkerCapacity
{
    WorkerId id;
    RackId rack;
    Resources capacity;
    Resources free;
    /** False if the worker takes no new tasks: its lease is about to expire, it is leaving, or it
     * is quarantined. */
    bool usable = true;
};

/** @return the index of each worker in @p workers by its name; valid as long as @p workers. */
std::unordered_map<std::string_view, std::size_t>
positionsByName(const std::vector<WorkerCapacity> &workers);

/** Waiting tasks of one job; all have the same size. */
struct WaitingGroup
{
    JobId job;
    TeamId team;
    WorkPolicy policy;
    Resources perTask;
    /** Indexes of the waiting tasks within the job. */
    std::vector<uint32_t> indexes;
    bool urgent = false;
    /** Seconds since the Unix epoch; 0 for none. */
    int64_t deadline = 0;
    /** When the tasks began to wait. */
    Instant since = {};
    /** Number of running tasks of the same job, by rack. */
    std::map<RackId, uint32_t> runningByRack = {};
    /** Expected run time, learned from ended tasks of the same job; nothing if none has ended. */
    std::optional<Duration> runTime = {};
};

/** What one team uses and may use in this shard. */
struct TeamQuota
{
    double share = 1.0;
    Resources used;
    /** Upper bound of @c used in this shard. */
    Resources slice;
};

/** A running task; a scheduler may preempt it if it is a batch task. */
struct RunningTask
{
    TaskId task;
    TeamId team;
    WorkerId worker;
    Resources resources;
    bool urgent = false;
    bool isBatch = false;
    /** When the task started. */
    Instant since;
    bool isService = false;
    /** Whether the command to checkpoint the task was given already. */
    bool isStopping = false;
    /** Derived from learned run times; nothing if none are known. */
    std::optional<Instant> expectedEnd = {};
};

/** Everything that one scheduling pass depends on. */
struct ShardView
{
    Instant now;
    std::vector<WorkerCapacity> workers;
    std::vector<WaitingGroup> waiting;
    std::map<TeamId, TeamQuota> teams;
    std::vector<RunningTask> running;
};

/** A task and the worker that it starts on. */
struct Placement
{
    TaskId task;
    WorkerId worker;
    Resources resources;
};

/** Why waiting tasks of a job were not placed. */
enum class WaitReason {
    NoCapacity,
    TeamLimit,
    GangIncomplete,
    BehindReservation,
};

/** @return an English sentence for @p reason. */
const char *describe(WaitReason reason);

/** The outcome of one scheduling pass. */
struct ShardDecision
{
    std::vector<Placement> placements;
    /** Running tasks to preempt by a checkpoint. */
    std::vector<TaskId> checkpoints;
    /** By job with tasks that were not placed. */
    std::map<JobId, WaitReason> reasons;
};

} // namespace Cranberrymount
