#pragma once

#include "State/Ids.h"
#include "State/Resources.h"
#include "State/Time.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Cranberrymount {

/** Independent tasks; each ends by itself. */
struct BatchPolicy
{
    auto operator<=>(const BatchPolicy &) const = default;
};

/** All tasks start together or none does; one that fails restarts all. */
struct GangPolicy
{
    auto operator<=>(const GangPolicy &) const = default;
};

/** Replicas that run until cancelled; one that ends is replaced. */
struct ServicePolicy
{
    auto operator<=>(const ServicePolicy &) const = default;
};

/** How the tasks of a job depend on each other. */
using WorkPolicy = std::variant<BatchPolicy, GangPolicy, ServicePolicy>;

/** What a submitter declares. */
struct JobSpec
{
    JobId id;
    TeamId team;
    WorkPolicy policy;
    uint32_t tasks = 1;
    Resources perTask;
    /** Urgent work goes before all other work. */
    bool urgent = false;
    /** Seconds since the Unix epoch by which the job has to end; 0 for none. */
    int64_t deadline = 0;
    /** Passed to the worker unread, for instance a command line. */
    std::string payload;

    bool operator==(const JobSpec &) const = default;
};

/** What is kept of a task in the store; where it runs is known by its worker alone. */
enum class TaskPhase : char {
    /** Not ended; runs on a worker or waits for one. */
    Open = 'o',
    Done = 'd',
    Failed = 'f',
    Cancelled = 'c',
};

/** One task as its home shard records it. */
struct TaskRecord
{
    uint32_t index = 0;
    TaskPhase phase = TaskPhase::Open;
    uint32_t failures = 0;

    bool operator==(const TaskRecord &) const = default;
};

/** The tasks of one job that have their home in one shard. */
struct Portion
{
    JobSpec spec;
    /** In order of index. */
    std::vector<TaskRecord> tasks;
    bool cancelled = false;

    /** @return the task, or null if its home is elsewhere. */
    TaskRecord *find(uint32_t index);
    const TaskRecord *find(uint32_t index) const;
    /** Takes tasks in that come from another shard. */
    void add(const std::vector<TaskRecord> &newTasks);

    bool operator==(const Portion &) const = default;
};

/** A portion on its way to another shard; kept until that shard has recorded it. */
struct OutgoingMove
{
    /** Counts the moves from this shard to @c target, from 1. */
    uint64_t sequence = 0;
    ShardId target;
    Portion portion;

    bool operator==(const OutgoingMove &) const = default;
};

} // namespace Cranberrymount
