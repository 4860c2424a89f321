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

/** What a scheduler may use of one worker. */
struct WorkerRoom
{
    WorkerId id;
    RackId rack;
    Resources capacity;
    Resources free;
    /** False if the worker takes no new task: lease about to lapse, leaving, or set aside. */
    bool usable = true;
};

/** @return where each worker stands in @p workers, by its name; valid as long as they are. */
std::unordered_map<std::string_view, std::size_t>
positionsByName(const std::vector<WorkerRoom> &workers);

/** Waiting tasks of one job; all have the same size. */
struct WaitingGroup
{
    JobId job;
    TeamId team;
    WorkPolicy policy;
    Resources perTask;
    std::vector<uint32_t> indexes;
    bool urgent = false;
    /** Seconds since the Unix epoch; 0 for none. */
    int64_t deadline = 0;
    Instant since = {};
    /** Replicas of the same job that already run, by rack. */
    std::map<RackId, uint32_t> runningByRack = {};
    /** Learned from tasks of the same job that ended; nothing if none did. */
    std::optional<Duration> runTime = {};
};

/** What one team may still use in this shard. */
struct TeamRoom
{
    double share = 1.0;
    Resources used;
    /** Upper bound of @c used in this shard. */
    Resources slice;
};

/** A running task that a scheduler may move aside. */
struct RunningTask
{
    TaskId task;
    TeamId team;
    WorkerId worker;
    Resources resources;
    bool urgent = false;
    bool isBatch = false;
    Instant since;
    bool isService = false;
    /** Its checkpoint is ordered already. */
    bool isStopping = false;
    /** From learned run times; nothing if nothing is known. */
    std::optional<Instant> expectedEnd = {};
};

/** Everything that one scheduling pass sees. */
struct ShardView
{
    Instant now;
    std::vector<WorkerRoom> workers;
    std::vector<WaitingGroup> waiting;
    std::map<TeamId, TeamRoom> teams;
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
    std::vector<TaskId> checkpoints;
    std::map<JobId, WaitReason> reasons;
};

} // namespace Cranberrymount
