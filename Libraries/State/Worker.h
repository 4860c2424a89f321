#pragma once

#include "State/Ids.h"
#include "State/Resources.h"

#include <string>
#include <vector>

namespace Cranberrymount {

/** A TCP address by IP number. */
struct Endpoint
{
    std::string host;
    uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    bool isSet() const { return port != 0; }
    std::string text() const { return host + ":" + std::to_string(port); }
};

/** A worker instance as the platform lists it. */
struct WorkerInfo
{
    WorkerId id;
    ZoneId zone;
    RackId rack;
    Resources capacity;
    /** Base URL of the worker's own interface. */
    std::string url;
    /** Number of requests that its target serves at a time; 0 if it serves none. */
    uint32_t slots = 0;
    /** Number of connections that its target accepts at a time. */
    uint32_t connections = 0;
    /** True once the platform has announced that it will remove the instance. */
    bool leaving = false;

    bool operator==(const WorkerInfo &) const = default;
};

/** How an attempt of a task ended, as its worker reports it. */
enum class AttemptOutcome {
    Done,
    Failed,
    /** Stopped or checkpointed on request, or stopped because no lease covered it. */
    Stopped,
};

/** An attempt that a worker runs. */
struct RunningAttempt
{
    TaskId task;
    AttemptId attempt;
    TeamId team;
    Resources resources;
};

/** An attempt that ended on a worker and whose end the shard's owner has not acknowledged. */
struct EndedAttempt
{
    TaskId task;
    AttemptId attempt;
    AttemptOutcome outcome = AttemptOutcome::Done;
};

/** A worker's report on its attempts, sent when it grants or renews its lease. */
struct WorkerReport
{
    Epoch epoch;
    /** True if @c running lists all attempts that run. */
    bool complete = false;
    std::vector<RunningAttempt> running;
    /** Number of attempts that run; set even if @c running is not. */
    std::size_t runningCount = 0;
    std::vector<EndedAttempt> ended;
};

} // namespace Cranberrymount
