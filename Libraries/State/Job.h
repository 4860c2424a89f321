#pragma once

#include "State/Ids.h"
#include "State/Resources.h"
#include "State/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** Independent tasks; each one ends on its own. */
struct BatchPolicy
{
    auto operator<=>(const BatchPolicy &) const = default;
};

/** All tasks start together or none does; if one fails, all of them are restarted. */
struct GangPolicy
{
    auto operator<=>(const GangPolicy &) const = default;
};

/** Replicas that run until the job is cancelled; a replica that ends is replaced. */
struct ServicePolicy
{
    auto operator<=>(const ServicePolicy &) const = default;
};

/** How the tasks of a job depend on each other. */
using WorkPolicy = std::variant<BatchPolicy, GangPolicy, ServicePolicy>;

/** A job as its submitter declares it. */
struct JobSpec
{
    JobId id;
    TeamId team;
    WorkPolicy policy;
    uint32_t tasks = 1;
    Resources perTask;
    /** Urgent jobs are placed before all other jobs. */
    bool urgent = false;
    /** Seconds since the Unix epoch by which the job has to end; 0 for none. */
    int64_t deadline = 0;
    /** Passed to the worker without being interpreted, for instance a command line. */
    std::string payload;

    bool operator==(const JobSpec &) const = default;
};

/** Phase of a task as stored; only its worker knows whether and where it runs. */
enum class TaskPhase : char {
    /** Not ended: the task runs on a worker or waits for one. */
    Open = 'o',
    Done = 'd',
    Failed = 'f',
    Cancelled = 'c',
};

/** One task as its home shard, the shard that stores it, records it. */
struct TaskRecord
{
    uint32_t index = 0;
    TaskPhase phase = TaskPhase::Open;
    uint32_t failures = 0;

    bool operator==(const TaskRecord &) const = default;
};

/** The tasks of one job whose home is one shard. */
struct JobPortion
{
    JobSpec spec;
    /** Sorted by index. */
    std::vector<TaskRecord> tasks;
    bool cancelled = false;

    /** @return the task, or null if its home is another shard. */
    TaskRecord *find(uint32_t index);
    const TaskRecord *find(uint32_t index) const;
    /** Adds tasks that were moved here from another shard. */
    void add(const std::vector<TaskRecord> &newTasks);

    bool operator==(const JobPortion &) const = default;
};

/** A portion that is being moved to another shard; kept until that shard has recorded it. */
struct OutgoingMove
{
    /** Number of the move among those from this shard to @c target; counts from 1. */
    uint64_t sequence = 0;
    ShardId target;
    JobPortion portion;

    bool operator==(const OutgoingMove &) const = default;
};

} // namespace Cranberrymount
